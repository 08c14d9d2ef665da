//! Operators' configuration: documents, checks and the fold.
//!
//! A [`Document`] is the whole configuration. Operators publish a [`Change`] that names the version
//! it is based on; every node folds the stream of changes with the same pure function, so all agree
//! on which change won.

mod check;
mod document;
mod fault;
mod fold;
mod parse;
mod record;
mod refresher;

pub use check::{check, check_change};
pub use document::{
    Adapter, Change, Class, Document, Domain, Fencing, Model, Plain, Service, ServiceKind,
    Upstream, Urgency, WeightStore,
};
pub use fault::{Fault, ParseError, Result};
pub use fold::{Fold, Verdict};
pub use parse::{MAX_DOCUMENT, parse};
pub use refresher::Refresher;
