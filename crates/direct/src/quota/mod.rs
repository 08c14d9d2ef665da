//! What a customer may use over all nodes, handed out as allowances that lapse.
//!
//! Load: a customer sends six times its usual through 62 nodes, some of which are cut off, frozen or killed meanwhile, and
//! its limit holds for all of them together at any moment. One node, the issuer, has the limit as a bucket, and gives
//! allowances from it; what a node has not used within half a second is void, so that nothing that was given long ago is
//! used on top of what others were given since. A domain that hears nothing from the issuer goes on with its share of the
//! limit, and the issuer takes that share off what it gives as soon as it hears nothing from the domain. A new issuer
//! begins with little in its buckets: what its predecessor gave counts in the same window.
//!
//! Sum of any window: what the bucket gave in it and within the life of an allowance before it, and what domains used
//! that the issuer did not know of yet. [`Terms`] takes both off the bucket where the bounds leave no room for them.

mod account;
mod alone;
mod bucket;
mod issuer;
mod purse;
mod terms;
mod want;

use crate::Millis;

pub use account::{Account, Waiting};
pub use alone::{Alone, Used};
pub use issuer::{Answer, Issuer};
pub use purse::{Grant, Lot, Purse};
pub use terms::Terms;
pub use want::Want;

/// Part of the limit that domains use which hear nothing from the issuer.
const ALONE_SHARE: f64 = 0.8;

/// Time without a word after which a domain counts as on its own.
const SILENT_AFTER: Millis = 1_000;

/// Least that the bucket holds, in seconds of the limit: a request needs much at once.
const LEAST_DEPTH_S: f64 = 0.4;
