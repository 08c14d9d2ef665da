//! Enforces quotas over all nodes by allowances that expire: those of customers, and the rates of
//! requests that engines take.
//!
//! One node, the issuer, keeps each quota as a token bucket and grants allowances from it. An
//! allowance expires after at most half a second, so that an old one cannot be used on top of newer
//! ones. A domain that does not reach the issuer uses its share of the quota, and the issuer
//! deducts that share as soon as it does not hear from the domain. A new issuer starts with nearly
//! empty buckets, as grants of the previous one count in the same window.
//!
//! The usage in a window is at most what the bucket granted within it and one allowance lifetime
//! before, plus what isolated domains used before the issuer noticed. [`IssuanceParams`] sizes the
//! bucket so that both stay within [`QuotaBounds`](crate::QuotaBounds).

mod account;
mod allowance;
mod bucket;
mod fallback;
mod issuance;
mod issuer;
mod key;
mod request;

use crate::Millis;

pub use account::{Account, Waiter, WaiterRank};
pub use allowance::{Allowance, AllowancePool, Grant};
pub use fallback::{FallbackIssuer, Usage};
pub use issuance::IssuanceParams;
pub use issuer::{IssuedAmount, Issuer};
pub use key::QuotaKey;
pub use request::AllowanceRequest;

/// Part of their share that domains use while they do not reach the issuer.
const FALLBACK_SHARE: f64 = 0.8;

/// Time without contact after which a domain counts as isolated.
const ISOLATED_AFTER: Millis = 1_000;

/// Minimum depth of a bucket, in seconds at the quota's rate; a single request may need that much
/// at once.
const MIN_DEPTH_S: f64 = 0.4;
