//! Claims on scopes over an append-only log.
//!
//! A scope has one stream. A claim record takes the scope: its offset is the *term* and serves as
//! fencing number; the latest claim holds. A holder acts only on records of its own that it has read
//! back under its term. A record by an older term after a newer claim is void for every reader alike,
//! so a holder that was paused, cut off or superseded cannot act, and no clock is needed for safety.
//!
//! A claim says how far its writer had read, and is void where it had not read the claim that it
//! would replace. Records of a term are numbered, so that second copies are void as well.

mod api;
mod claim;
mod fold;
mod outbox;
mod reader;
mod record;
mod settings;

pub use api::{Action, AppendOutcome, Event, Holder};
pub use claim::Claim;
pub use settings::Settings;
