//! Heartbeats, the live view and rendezvous hashing.
