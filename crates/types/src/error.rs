use derive_more::{Display, Error};

/// Outcome of reading a value from text.
pub type Result<T> = std::result::Result<T, ParseError>;

/// Text that is not a valid value of the type asked for.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("`{value}` is no {kind}: {allowed}")]
pub struct ParseError {
    /// What was to be read, in words.
    pub kind: &'static str,
    /// The text as given, shortened.
    pub value: String,
    /// What is allowed instead.
    pub allowed: &'static str,
}

/// Longest part of a wrong value that an error repeats, in characters.
const SHOWN: usize = 64;

impl ParseError {
    /// Builds the error for `value`, of which at most 64 characters are kept.
    pub fn new(kind: &'static str, value: &str, allowed: &'static str) -> Self {
        ParseError { kind, value: value.chars().take(SHOWN).collect(), allowed }
    }
}
