//! What operators call, as gRPC. The schema is `proto/operator.proto`.

#[expect(clippy::derive_partial_eq_without_eq, reason = "generated")]
mod generated;

pub use generated::*;

/// Paths of the calls.
pub mod path {
    /// Publishes a configuration.
    pub const APPLY: &str = "/hibiscusgw.v1.Operator/Apply";
    /// What became of a change.
    pub const OUTCOME: &str = "/hibiscusgw.v1.Operator/Outcome";
    /// The configuration in force.
    pub const GET: &str = "/hibiscusgw.v1.Operator/Get";
    /// Which nodes are at which version.
    pub const STATUS: &str = "/hibiscusgw.v1.Operator/Status";
    /// The whole state of a process.
    pub const STATE: &str = "/hibiscusgw.v1.Operator/State";
}

/// Largest message of a call: a document and some room.
pub const MAX_MESSAGE: usize = 4 * 1024 * 1024;
