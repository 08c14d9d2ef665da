//! Points in time as the decision code sees them: passed in, never read from a clock.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::Duration;

use crate::{ParseError, Result};

/// Microseconds since the process started, or since the start of a test.
///
/// Times of different processes are not comparable: messages carry durations instead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);
    /// Later than any time that occurs.
    pub const MAX: Time = Time(u64::MAX);

    /// Builds a time from microseconds since the start.
    pub fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Builds a time from milliseconds since the start.
    pub fn from_millis(millis: u64) -> Time {
        Time(millis.saturating_mul(1000))
    }

    /// Microseconds since the start.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to `self`, or zero where `earlier` is the later one.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, d: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, d: Duration) {
        *self = *self + d;
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, d: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1000, self.0 % 1000)
    }
}

impl FromStr for Time {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self> {
        let error = || ParseError::new("time", s, "milliseconds with three decimals and `ms`");
        let number = s.strip_suffix("ms").ok_or_else(error)?;
        let (millis, micros) = number.split_once('.').ok_or_else(error)?;
        let millis: u64 = millis.parse().map_err(|_| error())?;
        let micros: u64 = micros.parse().map_err(|_| error())?;
        if micros > 999 {
            return Err(error());
        }
        Ok(Time(millis.saturating_mul(1000).saturating_add(micros)))
    }
}
