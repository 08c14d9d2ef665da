//! Sizes, counts and rates.

use std::str::FromStr;

use derive_more::{Add, AddAssign, Display, Sub, Sum};
use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

/// Defines integer newtypes; `[...]` lists additional derives.
macro_rules! integer_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty) [$($derive:ident),*] = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize,
            Deserialize, $($derive),*
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self> {
                s.parse().map($name).map_err(|_| ParseError::new($kind, s, "a whole number"))
            }
        }
    )*};
}

integer_types! {
    /// Position of a record in a log stream.
    Offset(u64) [] = "offset";
    /// Log offset of the record that acquired a lease; the fencing token of the leader's orders.
    Term(u64) [] = "term";
    /// Number of starts of an upstream. After a change, its memory is empty.
    Generation(u64) [] = "generation";
    /// Accelerator memory, in the unit that engines report.
    MemSize(u64) [Add, AddAssign, Sub, Sum] = "memory size";
    Tokens(u32) [Add, AddAssign, Sub, Sum] = "token count";
}

impl MemSize {
    pub fn saturating_sub(self, other: MemSize) -> MemSize {
        MemSize(self.0.saturating_sub(other.0))
    }
}

/// Events per second; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

impl Rate {
    pub fn per_second(value: f64) -> Result<Rate> {
        if value.is_finite() && value >= 0.0 {
            Ok(Rate(value))
        } else {
            Err(ParseError::new("rate", &value.to_string(), RATE_RULE))
        }
    }

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
