//! Routing, placement and quota decisions.
//!
//! Nothing here does I/O or reads a clock: the time is passed in, so that every decision can be
//! tested.

mod budget;
mod catalog;
mod choose;
mod cursor;
mod customer;
mod deadline;
mod demand;
mod engine;
mod engines;
pub mod flights;
pub mod heads;
mod judge;
mod listing;
pub mod place;
mod prompt;
mod proof;
pub mod quota;
mod reach;
mod refuse;
mod silence;
pub mod sums;
mod unread;

pub use budget::{Budget, BudgetLimits};
pub use catalog::{
    CallerLimits, Catalog, Kind, Model, Pool, Route, RouteMatch, Service, ServiceId, Target,
};
pub use choose::{Ask, Choice, NoEngine, Policy, choose};
pub use cursor::{BadEra, Cursor, Era, KnownEra};
pub use customer::{Customer, CustomerId, Customers, Key, Quota, QuotaBounds, Sender, Shown, Unit};
pub use deadline::{Deadline, LEAST_TO_SEND};
pub use demand::{Demand, Past, Rates};
pub use engine::{AtHand, Engine, EngineId, Held, Listed, Load, Standing, Start};
pub use engines::Engines;
pub use judge::{Judge, Opinion, Verdict};
pub use listing::{
    ListNews, ListPlace, Listing, Part as ListPart, Passed, StandingChange, is_long, reads_on,
};
pub use prompt::{EmptyModel, Part, Prompt, Wanted};
pub use proof::{Proof, Seen};
pub use reach::is_cut_off;
pub use refuse::{RETRY_LEAST, Refusal, come_back};
pub use silence::Silence;
pub use unread::{ReadingPace, SendId, Unread, tells_sends};

/// Milliseconds since the start of the process.
pub type Millis = u64;
