//! Places in the store's logs.

use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Bits of a fencing number that tell the place in its era: a claim a second fills them in 136 years.
const OFFSET_BITS: u32 = 32;

/// Highest era: a fencing number stays a whole number that any JSON reader keeps exact (2^53).
const MOST_ERA: u32 = (1 << (53 - OFFSET_BITS)) - 1;

/// A life of the store: it may come back from a copy some seconds old, and then begins the next one. Offsets of its
/// logs go back and are given out again.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Era(u32);

/// A text that names no era.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("`{text}`: a whole number up to {MOST_ERA}")]
pub struct BadEra {
    /// The text.
    #[error(not(source))]
    pub text: String,
}

impl Era {
    /// The era of a store that tells none.
    pub const FIRST: Era = Era(0);

    /// The number, for metrics.
    pub fn number(self) -> f64 {
        f64::from(self.0)
    }
}

impl FromStr for Era {
    type Err = BadEra;

    fn from_str(text: &str) -> Result<Era, BadEra> {
        let bad = || BadEra { text: text.chars().take(40).collect() };
        let era: u32 = text.trim().parse().map_err(|_: ParseIntError| bad())?;
        if era > MOST_ERA { Err(bad()) } else { Ok(Era(era)) }
    }
}

/// A place in a log of the store. One of a later era comes after all of earlier ones, whatever their offsets.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(from = "(Era, u64)", into = "(Era, u64)")]
#[display("{era}:{offset}")]
pub struct Cursor {
    /// The era in which the offset holds.
    pub era: Era,
    /// Records of the log before it.
    pub offset: u64,
}

impl Cursor {
    /// The place at this offset.
    pub fn new(era: Era, offset: u64) -> Cursor {
        Cursor { era, offset }
    }

    /// The place so many records later.
    pub fn plus(self, records: u64) -> Cursor {
        Cursor { offset: self.offset.saturating_add(records), ..self }
    }

    /// The fencing number of who claimed at this place; none where the log is longer than numbers allow.
    ///
    /// The era stands above the offset, so that numbers rise although offsets go back, and no two places share one.
    pub fn fence(self) -> Option<u64> {
        let fits = self.offset < 1 << OFFSET_BITS;
        fits.then(|| (u64::from(self.era.0) << OFFSET_BITS) | self.offset)
    }
}

impl From<(Era, u64)> for Cursor {
    fn from((era, offset): (Era, u64)) -> Cursor {
        Cursor { era, offset }
    }
}

impl From<Cursor> for (Era, u64) {
    fn from(cursor: Cursor) -> (Era, u64) {
        (cursor.era, cursor.offset)
    }
}

/// The newest era that a node knows of, and for how long it is known to last.
///
/// Times are by the clock that counts what the machine was suspended for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownEra {
    era: Era,
    since: Duration,
}

impl KnownEra {
    /// The newest era.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Hears at a time that an era has lasted for so long at least; tells whether it is a new one.
    pub fn hear(&mut self, era: Era, lasted: Duration, now: Duration) -> bool {
        let since = now.saturating_sub(lasted);
        let is_new = era > self.era;
        if is_new {
            *self = KnownEra { era, since };
        } else if era == self.era {
            self.since = self.since.min(since);
        }
        is_new
    }

    /// When this era had begun at the latest. The first one has no beginning: nothing was lost before it.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// For how long it has lasted at least.
    pub fn lasted(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }
}
