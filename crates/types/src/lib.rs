//! Newtypes for ids, sizes, rates and times.
//!
//! Each type has a text form, used in configuration and logs, that `Display` writes and `FromStr` parses.

mod error;
mod id;
mod quantity;
mod time;

pub use error::{ParseError, Result};
pub use id::{
    AdapterId, AttemptId, ClassId, DomainId, IdempotencyKey, ModelId, NodeId, RecordId, RegionId,
    RequestId, Scope, ServiceId, StreamName, UpstreamId, VersionId,
};
pub use quantity::{Generation, MemSize, Offset, Rate, Term, Tokens};
pub use time::Time;
