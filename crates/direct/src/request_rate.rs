//! Request rates that engines name.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of the text of a rate, in characters.
const MAX_CHARS: usize = 32;

/// A finite number of requests per second, 0 or more.
#[derive(Debug, Clone, Copy, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRequestRate;

    fn try_from(rate: f64) -> Result<RequestRate, InvalidRequestRate> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(RequestRate(rate))
        } else {
            Err(InvalidRequestRate::NoDecimalNumber { text: rate.to_string() })
        }
    }
}

/// Why a text is not a request rate.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum InvalidRequestRate {
    #[display("the text is empty")]
    Empty,
    #[display("the text has {length} characters; at most {MAX_CHARS} are allowed")]
    TooLong { length: usize },
    #[display("`{text}` is not a decimal number, 0 or more")]
    NoDecimalNumber { text: String },
    #[display("there are {count} values")]
    SeveralValues { count: usize },
}

impl FromStr for RequestRate {
    type Err = InvalidRequestRate;

    fn from_str(text: &str) -> Result<RequestRate, InvalidRequestRate> {
        let text = text.trim();
        if text.is_empty() {
            return Err(InvalidRequestRate::Empty);
        }
        let length = text.chars().count();
        if length > MAX_CHARS {
            return Err(InvalidRequestRate::TooLong { length });
        }
        let invalid = || InvalidRequestRate::NoDecimalNumber { text: text.to_owned() };
        if !text.chars().all(|c| c.is_ascii_digit() || c == '.') {
            return Err(invalid());
        }
        text.parse().ok().and_then(|rate: f64| rate.try_into().ok()).ok_or_else(invalid)
    }
}
