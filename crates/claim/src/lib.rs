//! Leader election by leases in an append-only log.
//!
//! Each scope has one log stream. A claim record acquires the scope's lease: its offset is the
//! *term*, which serves as fencing token. The latest valid claim decides who is leader. A leader
//! acts only on its own records that it has read back under its term. Every reader ignores records
//! of an older term after a newer claim, so a paused, disconnected or superseded leader cannot act,
//! and safety does not depend on clocks.
//!
//! A claim states how far its writer had read. It is void if the writer had not read the claim that
//! it would replace. Records of a term are numbered, so duplicates are void too.

mod api;
mod claim;
mod fold;
mod outbox;
mod reader;
mod record;
mod settings;

pub use api::{Action, AppendOutcome, Event, Leader};
pub use claim::Claim;
pub use settings::Settings;
