//! Messages between nodes, to upstreams, to the platform and to operators.
//!
//! - [`peer`]: between nodes, as CBOR over WebSocket.
//! - [`upstream`]: to model engines and plain services, as JSON over HTTP.
//! - [`operator`]: from operators, as gRPC.
//! - [`platform`]: to the log service and the list of VMs, as JSON over HTTP.

pub mod operator;
pub mod peer;
pub mod platform;
pub mod upstream;
