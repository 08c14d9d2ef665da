//! Points in time, passed to the decision code as values so that it never reads a clock.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::Duration;

use crate::{ParseError, Result};

/// Microseconds since the process (or the test) started.
///
/// Not comparable between processes, so messages carry durations instead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    pub const ZERO: Time = Time(0);
    pub const MAX: Time = Time(u64::MAX);

    pub fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    pub fn from_millis(millis: u64) -> Time {
        Time(millis.saturating_mul(1000))
    }

    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later.
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
