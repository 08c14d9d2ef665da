use derive_more::{Display, Error};

/// What is wrong in a document, for the operator.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{path}: `{value}` is not allowed: {allowed}")]
pub struct Fault {
    /// Where, as the keys from the root of the document.
    pub path: String,
    /// The value as given.
    pub value: String,
    /// What is allowed instead.
    pub allowed: String,
}

/// Bytes that are no configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ParseError {
    /// Larger than a document may be.
    #[display("the document has {size} bytes: at most {limit} are allowed")]
    TooLarge {
        /// Bytes given.
        size: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// No JSON, or keys or values that a document does not have.
    #[display("the document cannot be read: {message}")]
    Malformed {
        /// What and where, by line and column.
        message: String,
    },
}

/// Outcome of reading a document.
pub type Result<T> = std::result::Result<T, ParseError>;
