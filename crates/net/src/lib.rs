//! Threads for callers, peers, upstreams, platform and operators.
//!
//! [`start`] runs a [`Machine`](hgw_node::Machine): it turns what comes over sockets into events and carries its actions
//! out. Each duty has a thread, joined to the control thread by bounded rings. Chunks of answers
//! pass from the upstreams' or peers' thread to the callers' by a bounded ring for each stream and
//! never through the control thread.

mod attempts;
mod callers;
mod control;
mod error;
mod inbox;
mod lifecycle;
mod meter;
mod operator_port;
mod operators;
mod peers;
mod platform;
mod process;
mod secret;
mod settings;
mod shared;
mod streams;
mod timer;
mod upstreams;

pub use error::{Error, Result};
pub use operator_port::{OperatorPort, ReplyFuture};
pub use operators::Operators;
pub use process::{Addrs, Bound, Exit, Running, Stopper, bind, start};
pub use settings::{CallerLimits, PeerLimits, PlatformLimits, Settings, UpstreamLimits};
