use std::fmt;
use std::time::Duration;

use derive_more::{Display, From};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Name of a customer.
#[derive(
    Debug, Clone, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[from(String, &str)]
pub struct CustomerId(pub String);

/// What a caller shows to be known as a customer. Who reads it can act for the customer, so that nothing prints it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Key(String);

impl Key {
    /// The key with this text.
    pub fn new(text: impl Into<String>) -> Key {
        Key(text.into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// A customer as configured.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Customer {
    /// Which of its requests are served first, where it says so; goes before the route's.
    pub priority: Option<u8>,
    /// What it may use, where that is limited.
    pub quota: Option<Quota>,
}

/// In what a quota is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts once.
    Requests,
    /// A request counts as the tokens of its prompt and the most of its answer; one that tells none as so many.
    Tokens {
        /// Tokens of a request that tells none.
        plain: u64,
    },
}

impl Unit {
    /// What a request counts, with the tokens that it tells.
    pub fn of(self, tokens: Option<u64>) -> f64 {
        match self {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => tokens.unwrap_or(plain) as f64,
        }
    }
}

/// What a customer may use, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// In what it is counted.
    pub unit: Unit,
    /// So much a second.
    pub rate: f64,
    /// So much beyond that at once.
    pub burst: f64,
}

/// All customers, and the keys that they show.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Customers {
    all: IndexMap<CustomerId, Customer>,
    keys: IndexMap<Key, CustomerId>,
}

/// What a request shows of who sends it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Shown {
    /// No key.
    #[default]
    Nothing,
    /// One key.
    Key(Key),
    /// Something else, or several keys.
    Unusable,
}

/// Who sends a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sender<'a> {
    /// A customer.
    Customer(&'a CustomerId, &'a Customer),
    /// Anybody, on a route that is open to all.
    Anybody,
    /// Nobody that may send it.
    Stranger,
}

impl Customers {
    /// Takes a customer in, with its keys. A key that several customers have belongs to the last of them.
    pub fn add(&mut self, name: CustomerId, customer: Customer, keys: Vec<Key>) {
        self.keys.extend(keys.into_iter().map(|key| (key, name.clone())));
        self.all.insert(name, customer);
    }

    /// Who sends a request, by what it shows. A key counts on open routes too: one that was taken away is no longer
    /// anybody's.
    pub fn sender(&self, shown: &Shown, is_open: bool) -> Sender<'_> {
        match shown {
            Shown::Key(key) => {
                let name = self.keys.get(key);
                let known = name.and_then(|name| self.all.get_key_value(name));
                known.map_or(Sender::Stranger, |(name, customer)| Sender::Customer(name, customer))
            }
            Shown::Nothing if is_open => Sender::Anybody,
            Shown::Nothing | Shown::Unusable => Sender::Stranger,
        }
    }

    /// A customer by its name.
    pub fn get(&self, name: &CustomerId) -> Option<&Customer> {
        self.all.get(name)
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = (&CustomerId, &Customer)> {
        self.all.iter()
    }
}

/// Bounds that the use of all customers is held to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The time over which use is counted.
    pub window: Duration,
    /// Share by which it may exceed the limit.
    pub over: f64,
    /// Use beyond that.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        QuotaBounds { window: Duration::from_secs(8), over: 0.0, slack: 0.0 }
    }
}
