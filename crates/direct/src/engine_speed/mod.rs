//! How fast engines are: what is observed, what nodes tell each other, and what that costs a request.

mod cost;
mod estimate;
mod exchange;
mod sums;

pub use cost::{SpeedNeeds, expected_events};
pub(crate) use cost::{explores, speed_cost_ms};
pub use estimate::{EngineSpeed, MeanSpeed, SpeedEstimate};
pub use exchange::{SpeedExchange, mean_speed};
pub use sums::{DecayingSums, SpeedRow, SpeedSums};
