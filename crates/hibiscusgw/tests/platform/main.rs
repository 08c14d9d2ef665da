//! Nodes as real processes on the users' platform, which small stand-ins play: what must always hold.

mod apart;
mod calls;
mod fixture;
mod orders;
mod session;
mod settings;
mod stopping;
mod streams;
