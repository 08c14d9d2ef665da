//! Sizes, counts and rates.

use std::str::FromStr;

use derive_more::{Add, AddAssign, Display, Sub, Sum};
use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self> {
                s.parse().map($name).map_err(|_| ParseError::new($kind, s, "a whole number"))
            }
        }
    )*};
}

counts! {
    /// Position of a record in a stream of the log.
    Offset = "offset";
    /// Offset of the claim that a holder acts under; also the fencing number of its orders.
    Term = "term";
    /// Counts the starts of an upstream: a change means that its memory was emptied.
    Generation = "generation";
}

/// Accelerator memory, in the units that engines report.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Add,
    AddAssign,
    Sub,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct MemSize(pub u64);

impl MemSize {
    /// `self - other`, or zero where `other` is larger.
    pub fn saturating_sub(self, other: MemSize) -> MemSize {
        MemSize(self.0.saturating_sub(other.0))
    }
}

impl FromStr for MemSize {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self> {
        s.parse().map(MemSize).map_err(|_| ParseError::new("memory size", s, "a whole number"))
    }
}

/// Number of tokens.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Add,
    AddAssign,
    Sub,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u32);

impl FromStr for Tokens {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self> {
        s.parse().map(Tokens).map_err(|_| ParseError::new("token count", s, "a whole number"))
    }
}

/// Events a second; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

impl Rate {
    /// Builds a rate from events a second.
    pub fn per_second(value: f64) -> Result<Rate> {
        if value.is_finite() && value >= 0.0 {
            Ok(Rate(value))
        } else {
            Err(ParseError::new("rate", &value.to_string(), RATE_RULE))
        }
    }

    /// Events a second.
    pub fn as_per_second(self) -> f64 {
        self.0
    }
}

const RATE_RULE: &str = "a number of 0 or more";

impl TryFrom<f64> for Rate {
    type Error = ParseError;

    fn try_from(value: f64) -> Result<Self> {
        Rate::per_second(value)
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> f64 {
        rate.0
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self> {
        let value = s.parse().map_err(|_| ParseError::new("rate", s, RATE_RULE))?;
        Rate::per_second(value)
    }
}
