//! What may crash engines: a whole request, or a part that the prompts of several requests share.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use crate::{PromptPart, RequestDigest};

/// Text before the identifier of a part.
const PART_PREFIX: &str = "part:";

/// What may crash engines.
#[derive(
    Debug, Clone, Copy, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub enum CrashSubject {
    /// A request that comes again unchanged.
    Request(RequestDigest),
    /// A part of prompts, by its identifier.
    Part(u64),
}

/// A text that names neither a request nor a part.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("`{text}` is neither a request digest nor `{PART_PREFIX}` with a hexadecimal number")]
pub struct InvalidSubject {
    #[error(not(source))]
    pub text: String,
}

/// A subject and how particular it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedSubject {
    pub subject: CrashSubject,
    /// Number of parts before it in the prompt: the more, the fewer requests share it. A whole request
    /// is the most particular.
    pub depth: u16,
}

impl CrashSubject {
    pub fn is_part(self) -> bool {
        matches!(self, CrashSubject::Part(_))
    }
}

/// Maximum number of parts of one prompt that are suspected.
const MAX_PARTS: usize = 256;

/// All that may crash engines in a request with this digest and these shared parts of its prompt.
pub fn crash_subjects(digest: RequestDigest, shared_parts: &[PromptPart]) -> Vec<RankedSubject> {
    let request = RankedSubject { subject: CrashSubject::Request(digest), depth: u16::MAX };
    let mut subjects = vec![request];
    for (depth, part) in shared_parts.iter().take(MAX_PARTS).enumerate() {
        let subject = CrashSubject::Part(part.id);
        if !subjects.iter().any(|known| known.subject == subject) {
            subjects.push(RankedSubject { subject, depth: depth as u16 });
        }
    }
    subjects
}

impl fmt::Display for CrashSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashSubject::Request(digest) => digest.fmt(f),
            CrashSubject::Part(id) => write!(f, "{PART_PREFIX}{id:x}"),
        }
    }
}

impl FromStr for CrashSubject {
    type Err = InvalidSubject;

    fn from_str(text: &str) -> Result<CrashSubject, InvalidSubject> {
        let subject = match text.strip_prefix(PART_PREFIX) {
            Some(id) => u64::from_str_radix(id, 16).ok().map(CrashSubject::Part),
            None => text.parse().ok().map(CrashSubject::Request),
        };
        subject.ok_or_else(|| InvalidSubject { text: text.chars().take(40).collect() })
    }
}

impl TryFrom<String> for CrashSubject {
    type Error = InvalidSubject;

    fn try_from(text: String) -> Result<CrashSubject, InvalidSubject> {
        text.parse()
    }
}

impl From<CrashSubject> for String {
    fn from(subject: CrashSubject) -> String {
        subject.to_string()
    }
}
