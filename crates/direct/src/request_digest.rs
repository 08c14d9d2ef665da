//! Identifies requests that are the same, whichever attempt of the caller brings them.

use std::fmt::Write;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::CustomerId;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 16;

/// Digest of what makes two requests the same: method, host, path with query, customer and body.
///
/// It is the same on all nodes. Ids and other headers differ between attempts and do not count.
#[derive(
    Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{}", hex(bytes))]
#[serde(try_from = "String", into = "String")]
pub struct RequestDigest {
    bytes: [u8; DIGEST_BYTES],
}

/// The parts of a request that its digest covers.
#[derive(Debug, Clone, Copy)]
pub struct DigestedParts<'a> {
    pub method: &'a str,
    pub host: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// `None` if the caller is not known.
    pub customer: Option<&'a CustomerId>,
    pub body: &'a [u8],
}

/// A text that is no digest.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("`{text}` is no request digest: expected {} hexadecimal digits", 2 * DIGEST_BYTES)]
pub struct InvalidDigest {
    #[error(not(source))]
    pub text: String,
}

impl RequestDigest {
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub fn of(parts: &DigestedParts<'_>) -> RequestDigest {
        let customer = parts.customer.map_or("", |customer| &customer.0);
        let fields = [parts.method, parts.host, parts.target, customer].map(str::as_bytes);
        let mut hasher = Sha256::new();
        for field in fields.into_iter().chain([parts.body]) {
            // Without its length, the end of one field could be the beginning of the next.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        RequestDigest { bytes }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes any text");
        text
    })
}

impl std::str::FromStr for RequestDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<RequestDigest, InvalidDigest> {
        let invalid = || InvalidDigest { text: text.chars().take(40).collect() };
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(RequestDigest { bytes })
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<RequestDigest, InvalidDigest> {
        text.parse()
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> String {
        digest.to_string()
    }
}
