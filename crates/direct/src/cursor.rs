//! Positions in the store's logs, and the store's eras.

use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Bits of a fencing token that hold the offset; one claim per second fills them in 136 years.
const OFFSET_BITS: u32 = 32;

/// Keeps fencing tokens below 2^53, which any JSON parser reads exactly.
const MAX_ERA: u32 = (1 << (53 - OFFSET_BITS)) - 1;

/// Restore generation of the store. A restore from a backup begins a new era, in which offsets of
/// the logs are assigned again.
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

/// A text that is not a valid era.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("`{text}` is not a store era: expected an integer up to {MAX_ERA}")]
pub struct InvalidEra {
    #[error(not(source))]
    pub text: String,
}

impl Era {
    /// The era of a store that does not report one.
    pub const FIRST: Era = Era(0);

    /// The number as a metric value.
    pub fn number(self) -> f64 {
        f64::from(self.0)
    }
}

impl FromStr for Era {
    type Err = InvalidEra;

    fn from_str(text: &str) -> Result<Era, InvalidEra> {
        let bad = || InvalidEra { text: text.chars().take(40).collect() };
        let era: u32 = text.trim().parse().map_err(|_: ParseIntError| bad())?;
        if era > MAX_ERA { Err(bad()) } else { Ok(Era(era)) }
    }
}

/// A position in a log of the store. Positions of a later era are greater than all positions of
/// earlier ones.
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
    /// Era in which the offset is valid.
    pub era: Era,
    /// Number of records before this position.
    pub offset: u64,
}

impl Cursor {
    pub fn new(era: Era, offset: u64) -> Cursor {
        Cursor { era, offset }
    }

    /// The position after this number of further records.
    pub fn plus(self, records: u64) -> Cursor {
        Cursor { offset: self.offset.saturating_add(records), ..self }
    }

    /// The fencing token of a claim at this position; `None` if the offset does not fit.
    ///
    /// The era is in the high bits, so that tokens increase although offsets go back, and no two
    /// positions share a token.
    pub fn fencing_token(self) -> Option<u64> {
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

/// The latest known era and a lower bound on its age.
///
/// Times are of the clock that includes suspension.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownEra {
    era: Era,
    since: Duration,
}

impl KnownEra {
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records that an era has lasted at least this long; returns whether it is new.
    pub fn observe(&mut self, era: Era, min_age: Duration, now: Duration) -> bool {
        let since = now.saturating_sub(min_age);
        let is_new = era > self.era;
        if is_new {
            *self = KnownEra { era, since };
        } else if era == self.era {
            self.since = self.since.min(since);
        }
        is_new
    }

    /// Latest possible begin of the era. The first era counts as having no begin, as no restore has
    /// happened.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Lower bound on the age of the era.
    pub fn min_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }
}
