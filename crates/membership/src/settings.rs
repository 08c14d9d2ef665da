use std::time::Duration;

/// Rates and bounds of the heartbeats.
///
/// The defaults keep a node's heartbeats at 1 KB/s in each direction with 400 members, so that
/// the rest of its control traffic fits into 2 KB/s.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats to peers of the own failure domain, each to one at random that
    /// answers with one. Half of it in a domain of up to nine members.
    pub period: Duration,
    /// Every so many periods, a representative sends a heartbeat to another failure domain.
    pub abroad_every: u64,
    /// Every so many periods, a listed address is tried that is not known to live.
    pub probe_every: u64,
    /// Most whole beats of other members in a heartbeat.
    pub beats: usize,
    /// Most pulses of members of the own domain in a heartbeat.
    pub pulses: usize,
    /// Most pulses of members of other domains in a heartbeat.
    pub pulses_abroad: usize,
    /// Members of each domain that other domains know.
    pub representatives: usize,
    /// A member is suspected when nobody has told of a sign of life within this time; the news takes a
    /// few heartbeats to go round.
    pub silence: Duration,
    /// Added to `silence` for each doubling of the members of the domain.
    pub silence_per_doubling: Duration,
    /// A suspected member that does not answer for this time is dead.
    pub confirm: Duration,
    /// As `silence`, for members of other domains.
    pub silence_abroad: Duration,
    /// After a use of a member failed here, others must have seen it that much later before it counts
    /// as alive again. Doubles with each failure.
    pub doubt: Duration,
    /// A member that was neither alive nor listed for this time is forgotten.
    pub forget: Duration,
    /// Most members known, the dead ones included.
    pub known: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let millis = Duration::from_millis;
        Settings {
            period: millis(1200),
            abroad_every: 6,
            probe_every: 2,
            beats: 1,
            pulses: 40,
            pulses_abroad: 8,
            representatives: 4,
            silence: millis(3000),
            silence_per_doubling: millis(800),
            confirm: millis(1800),
            silence_abroad: millis(30_000),
            doubt: millis(2000),
            forget: millis(300_000),
            known: 2000,
        }
    }
}
