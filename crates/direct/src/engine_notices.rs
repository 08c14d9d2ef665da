//! What an engine says of itself in the head of a response, beside its load and its limits.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::Millis;

/// Longest time of rest that counts: a garbled one must not keep an engine from work for good.
const MAX_REST: Duration = Duration::from_secs(600);

/// Range over which the ends of a rest are spread, as a share of it, and its longest.
const SPREAD: f64 = 0.1;
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// Maximum length of the text of a notice that is kept, in characters.
const MAX_CHARS: usize = 32;

/// Time for which an engine wants no request from the node that it tells.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{} ms", _0.as_millis())]
pub struct RestTime(Duration);

impl RestTime {
    pub fn duration(self) -> Duration {
        self.0
    }

    /// When a rest ends that begins now. `random`, in `0..1`, spreads the nodes: all that waited for the end would come
    /// at the same moment.
    pub fn end(self, now: Millis, random: f64) -> Millis {
        let spread = self.0.mul_f64(SPREAD * random).min(MAX_SPREAD);
        now + (self.0 + spread).as_millis() as Millis
    }
}

/// Why a notice cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum InvalidNotice {
    #[display("`{text}` is not a time of rest: expected seconds, as a decimal number, 0 or more")]
    NoRestTime { text: String },
    #[display("`{text}` says nothing of leaving: expected 1")]
    NoLeaving { text: String },
}

impl InvalidNotice {
    /// For a text that says nothing of leaving.
    pub fn no_leaving(text: &str) -> InvalidNotice {
        InvalidNotice::NoLeaving { text: shorten(text) }
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_CHARS).collect()
}

impl FromStr for RestTime {
    type Err = InvalidNotice;

    /// Parses seconds, with or without a fraction.
    fn from_str(text: &str) -> Result<RestTime, InvalidNotice> {
        let text = text.trim();
        let is_decimal = text.chars().all(|c| c.is_ascii_digit() || c == '.');
        let seconds = text.parse::<f64>().ok().filter(|s| is_decimal && s.is_finite());
        let seconds = seconds.ok_or_else(|| InvalidNotice::NoRestTime { text: shorten(text) })?;
        Ok(RestTime(Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64()))))
    }
}

/// The notices in the head of a response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineNotices {
    /// It leaves.
    pub is_leaving: bool,
    /// It has turned the request away and wants none from this node for so long; the longest, if it names several.
    pub rest: Option<RestTime>,
    /// Notices that cannot be parsed.
    pub invalid: Vec<InvalidNotice>,
}
