//! Customers, their keys and their quotas.

use std::fmt;
use std::time::Duration;

use derive_more::{Display, From};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

#[derive(
    Debug, Clone, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[from(String, &str)]
pub struct CustomerId(pub String);

/// The API key of a customer. It is secret and never printed.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(String);

impl ApiKey {
    pub fn new(text: impl Into<String>) -> ApiKey {
        ApiKey(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Customer {
    /// Overrides the priority of a route.
    pub priority: Option<u8>,
    pub quota: Option<Quota>,
}

/// Unit in which a quota is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    Requests,
    /// A request counts the tokens of its prompt and its maximum number of output tokens.
    Tokens {
        /// Tokens of a request that does not state them.
        default_tokens: u64,
    },
}

impl QuotaUnit {
    /// Cost of a request that states these tokens.
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { default_tokens: plain } => tokens.unwrap_or(plain) as f64,
        }
    }
}

/// Usage that a customer is allowed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate: f64,
    /// Units allowed at once beyond the rate.
    pub burst: f64,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Customers {
    all: IndexMap<CustomerId, Customer>,
    keys: IndexMap<ApiKey, CustomerId>,
}

/// Credentials of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Credentials {
    #[default]
    None,
    Key(ApiKey),
    /// Several keys, or credentials that are not a key.
    Invalid,
}

/// Who sends a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallerIdentity<'a> {
    Customer(&'a CustomerId, &'a Customer),
    /// A caller without a key on an open route.
    Anonymous,
    /// A caller that is not allowed to send the request.
    Unauthorized,
}

impl Customers {
    /// Adds a customer with its keys. A key that several customers have belongs to the last of
    /// them.
    pub fn add(&mut self, name: CustomerId, customer: Customer, keys: Vec<ApiKey>) {
        self.keys.extend(keys.into_iter().map(|key| (key, name.clone())));
        self.all.insert(name, customer);
    }

    /// Identifies the sender of a request. An unknown key is rejected on open routes too, as it may
    /// have been revoked.
    pub fn identify(&self, shown: &Credentials, is_open: bool) -> CallerIdentity<'_> {
        match shown {
            Credentials::Key(key) => {
                let name = self.keys.get(key);
                let known = name.and_then(|name| self.all.get_key_value(name));
                known.map_or(CallerIdentity::Unauthorized, |(name, customer)| {
                    CallerIdentity::Customer(name, customer)
                })
            }
            Credentials::None if is_open => CallerIdentity::Anonymous,
            Credentials::None | Credentials::Invalid => CallerIdentity::Unauthorized,
        }
    }

    pub fn get(&self, name: &CustomerId) -> Option<&Customer> {
        self.all.get(name)
    }

    pub fn all(&self) -> impl Iterator<Item = (&CustomerId, &Customer)> {
        self.all.iter()
    }
}

/// How far the usage in any window may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Window over which usage is counted.
    pub window: Duration,
    /// Allowed excess, as a part of the quota.
    pub overshoot_ratio: f64,
    /// Allowed excess beyond that, in units.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        QuotaBounds { window: Duration::from_secs(8), overshoot_ratio: 0.0, slack: 0.0 }
    }
}
