//! The error of parsing a value from text.

use derive_more::{Display, Error};

pub type Result<T> = std::result::Result<T, ParseError>;

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("`{value}` is not a valid {kind}: expected {allowed}")]
pub struct ParseError {
    /// Name of the type, as shown to users.
    pub kind: &'static str,
    /// The input, truncated.
    pub value: String,
    /// Description of valid input.
    pub allowed: &'static str,
}

/// Length to which an error truncates the input, in characters.
const MAX_VALUE_CHARS: usize = 64;

impl ParseError {
    /// Creates the error; `value` is truncated to 64 characters.
    pub fn new(kind: &'static str, value: &str, allowed: &'static str) -> Self {
        ParseError { kind, value: value.chars().take(MAX_VALUE_CHARS).collect(), allowed }
    }
}
