//! Newtypes for ids, sizes, rates and times.
//!
//! Every other library of the workspace speaks in these types. Each one prints with `Display` and
//! reads back with `FromStr`; the text forms are what operators write and what logs show.

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
