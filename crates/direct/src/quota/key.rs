//! What a quota is for.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::CustomerId;
use crate::in_flight::EngineKey;

/// What a quota is for.
#[derive(Debug, Clone, Display, From, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(untagged)]
pub enum QuotaKey {
    /// The requests or tokens of a customer.
    Customer(CustomerId),
    /// The requests to one incarnation of an engine.
    Engine(EngineKey),
}
