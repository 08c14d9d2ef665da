//! The node as one state machine: events in, actions out.
