//! Exponential decay of averages and counts.

use crate::Millis;

/// Weight that is left of what was recorded `age` milliseconds ago.
pub(crate) fn decay(age: Millis, half_life_ms: f64) -> f64 {
    0.5_f64.powf(age as f64 / half_life_ms)
}
