//! Sums of what was observed at an engine, which lose half their weight in a fixed time.

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::decay::decay;
use crate::in_flight::EngineKey;

/// Time in which observations lose half their weight. Long enough for ten streams at each engine of a service with
/// few requests, short enough to follow other work on the engine's machine.
const HALF_LIFE_MS: f64 = 30_000.0;

/// Scale of pauses in messages, where all figures are whole numbers.
const PAUSE_SCALE: f64 = 1_000.0;

/// What was observed at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedSums {
    /// Events of streams, without the first one of each stream.
    pub events: f64,
    /// Time between these events and those before them, in milliseconds.
    pub event_ms: f64,
    /// Events that came later than the route's target after the one before.
    pub pauses: f64,
    /// Calls that were answered while nothing waited at the engine.
    pub calls: f64,
    /// Their times at the engine's usual speed, in milliseconds.
    pub call_ms: f64,
}

impl SpeedSums {
    pub fn is_empty(&self) -> bool {
        self.events == 0.0 && self.calls == 0.0
    }

    pub fn plus(self, other: SpeedSums) -> SpeedSums {
        SpeedSums {
            events: self.events + other.events,
            event_ms: self.event_ms + other.event_ms,
            pauses: self.pauses + other.pauses,
            calls: self.calls + other.calls,
            call_ms: self.call_ms + other.call_ms,
        }
    }

    fn times(self, factor: f64) -> SpeedSums {
        SpeedSums {
            events: self.events * factor,
            event_ms: self.event_ms * factor,
            pauses: self.pauses * factor,
            calls: self.calls * factor,
            call_ms: self.call_ms * factor,
        }
    }
}

/// Sums that decay with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingSums {
    sums: SpeedSums,
    updated_at: Millis,
}

impl DecayingSums {
    pub fn new(sums: SpeedSums, now: Millis) -> DecayingSums {
        DecayingSums { sums, updated_at: now }
    }

    pub fn add(&mut self, sums: SpeedSums, now: Millis) {
        *self = DecayingSums::new(self.at(now).plus(sums), now);
    }

    /// The sums with the weight that they have at this time.
    pub fn at(&self, now: Millis) -> SpeedSums {
        self.sums.times(decay(now.saturating_sub(self.updated_at), HALF_LIFE_MS))
    }

    /// When they last changed.
    pub fn updated_at(&self) -> Millis {
        self.updated_at
    }

    /// The sums with the weight that they had when they last changed. Their ratios are the same.
    pub fn latest(&self) -> SpeedSums {
        self.sums
    }
}

/// Wire form of one engine's sums: events, their time, pauses in thousandths, calls and their time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedRow(pub EngineKey, u32, u32, u32, u32, u32);

impl SpeedRow {
    pub fn of(key: EngineKey, sums: SpeedSums) -> SpeedRow {
        // Rounded counts keep the means exact: a fraction of a call would else look slow, or fast.
        let scaled = |sum: f64, count: f64| {
            if count > 0.0 { (sum / count * count.round()).round() as u32 } else { 0 }
        };
        SpeedRow(
            key,
            sums.events.round() as u32,
            scaled(sums.event_ms, sums.events),
            scaled(sums.pauses * PAUSE_SCALE, sums.events),
            sums.calls.round() as u32,
            scaled(sums.call_ms, sums.calls),
        )
    }

    pub fn sums(self) -> SpeedSums {
        SpeedSums {
            events: f64::from(self.1),
            event_ms: f64::from(self.2),
            pauses: f64::from(self.3) / PAUSE_SCALE,
            calls: f64::from(self.4),
            call_ms: f64::from(self.5),
        }
    }
}
