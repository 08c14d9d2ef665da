//! The faults that a stand-in shows.

use std::sync::Mutex;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Faults to show from now on, in place of the earlier ones; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Only calls whose path contains this are late or lost.
    pub only: Option<String>,
    /// Requests take effect late, also when their sender no longer waits.
    pub late_requests: Option<Late>,
    /// Requests take effect at once and are answered late.
    pub late_answers: Option<Late>,
    /// This many requests with effects are lost before they take effect.
    pub lose_requests: u32,
    /// This many answers are lost after the request has taken effect.
    pub lose_answers: u32,
    /// Connections are cut, and requests on new ones as well; nothing takes effect.
    pub down: bool,
    /// Every request is answered with 503 and takes no effect.
    pub refuse: bool,
    /// Work takes this many times as long; 0 stands for 1.
    pub slow: f64,
    /// At once: connections that exist now carry nothing any more and stay open; new ones work.
    pub silence: bool,
    /// This many answers carry the attempt id of somebody else.
    pub cross_answers: u32,
    /// Streams that break off.
    pub fail_streams: StreamFault,
    /// At once: the process starts again, with empty memory and a new generation.
    pub restart: bool,
    /// At once: all records of the log expire.
    pub expire: bool,
    /// Reports say that the upstream is about to leave.
    pub leaving: bool,
}

/// How late, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Late {
    /// Delay in milliseconds.
    pub ms: u64,
    /// How many requests it befalls.
    #[serde(default)]
    pub requests: Count,
}

/// A number of requests; all of them by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Count(pub u32);

impl Default for Count {
    fn default() -> Self {
        Count(u32::MAX)
    }
}

/// Streams that break off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamFault {
    /// Tokens that the stream still gives.
    pub after_tokens: u32,
    /// How many streams it befalls.
    pub streams: u32,
}

/// What becomes of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Fate {
    pub(crate) refused: bool,
    pub(crate) lost: bool,
    pub(crate) answer_lost: bool,
    pub(crate) late: Duration,
    pub(crate) answer_late: Duration,
}

/// The faults in force, shared by the parts of a stand-in.
#[derive(Debug)]
pub(crate) struct Switches {
    faults: Mutex<Faults>,
    cut: watch::Sender<u64>,
}

impl Switches {
    pub(crate) fn new() -> Self {
        Switches { faults: Mutex::default(), cut: watch::Sender::new(0) }
    }

    /// Puts `faults` in force, and cuts all connections where they ask for it.
    pub(crate) fn set(&self, faults: &Faults) {
        *self.lock() = faults.clone();
        if faults.down || faults.restart {
            self.cut.send_modify(|n| *n += 1);
        }
    }

    /// Changes whenever all connections are to be cut.
    pub(crate) fn cuts(&self) -> watch::Receiver<u64> {
        self.cut.subscribe()
    }

    /// Decides what becomes of a request, and counts it.
    pub(crate) fn fate(&self, path: &str, has_effect: bool) -> Fate {
        let mut faults = self.lock();
        let mut fate = Fate { refused: faults.refuse, lost: faults.down, ..Fate::default() };
        let meant = faults.only.as_ref().is_none_or(|part| path.contains(part.as_str()));
        if fate.refused || fate.lost || !meant {
            return fate;
        }
        fate.lost = has_effect && take(&mut faults.lose_requests);
        fate.answer_lost = !fate.lost && has_effect && take(&mut faults.lose_answers);
        fate.late = take_late(&mut faults.late_requests);
        fate.answer_late = take_late(&mut faults.late_answers);
        fate
    }

    /// Whether the next answer is to carry a wrong attempt id.
    pub(crate) fn crossed(&self) -> bool {
        take(&mut self.lock().cross_answers)
    }

    /// Tokens after which the next stream is to break off.
    pub(crate) fn stream_fault(&self) -> Option<u32> {
        let mut faults = self.lock();
        let after = faults.fail_streams.after_tokens;
        take(&mut faults.fail_streams.streams).then_some(after)
    }

    /// `time` as the slowness in force makes it.
    pub(crate) fn slowed(&self, time: Duration) -> Duration {
        let factor = self.lock().slow;
        if factor > 0.0 && factor.is_finite() { time.mul_f64(factor) } else { time }
    }

    pub(crate) fn leaving(&self) -> bool {
        self.lock().leaving
    }

    pub(crate) fn down(&self) -> bool {
        self.lock().down
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        lock(&self.faults)
    }
}

/// Locks `mutex`; a panic elsewhere in the stand-in does not matter here.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn take(left: &mut u32) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}

fn take_late(late: &mut Option<Late>) -> Duration {
    match late {
        Some(late) if late.requests.0 > 0 => {
            late.requests.0 -= 1;
            Duration::from_millis(late.ms)
        }
        _ => Duration::ZERO,
    }
}
