//! What nodes tell each other of subjects under which engines have ended.

use serde::{Deserialize, Serialize};

use crate::in_flight::EngineKey;
use crate::{CrashSubject, Millis};

/// Who sends a request, as far as known: a caller's many requests do not replace those of others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// What a node has seen of a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashReport {
    /// An engine has ended under it.
    Ended {
        #[serde(rename = "digest")]
        subject: CrashSubject,
        origin: Origin,
        engine: EngineKey,
        /// How particular it is; see [`RankedSubject`].
        #[serde(default)]
        depth: u16,
        /// How long ago, in milliseconds.
        #[serde(default)]
        age: Millis,
    },
    /// Another engine has outlived it.
    Completed {
        #[serde(rename = "digest")]
        subject: CrashSubject,
        /// How long ago, in milliseconds.
        #[serde(default)]
        age: Millis,
    },
}

impl CrashReport {
    pub fn is_of_part(&self) -> bool {
        let (CrashReport::Ended { subject, .. } | CrashReport::Completed { subject, .. }) = self;
        subject.is_part()
    }

    /// The report as it is sent so much later.
    pub(super) fn after(mut self, time: Millis) -> CrashReport {
        let (CrashReport::Ended { age, .. } | CrashReport::Completed { age, .. }) = &mut self;
        *age += time;
        self
    }
}

/// What is known of a subject under which several engines have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashState {
    #[serde(rename = "digest")]
    pub subject: CrashSubject,
    pub origin: Origin,
    pub verdict: Verdict,
    /// Engines that have ended under it, as far as that is not refuted.
    pub engines: Vec<EngineKey>,
    /// How long ago each of them ended, in milliseconds.
    #[serde(default)]
    pub ages: Vec<Millis>,
    /// How long ago an engine is known to have outlived it, in milliseconds.
    #[serde(default)]
    pub outlived: Option<Millis>,
    #[serde(default)]
    pub depth: u16,
    /// Trials that have been given.
    #[serde(default)]
    pub trials: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Suspected,
    /// It is sent to no engine any more.
    Blocked,
    /// An engine has answered it.
    Acquitted,
}

/// A blocked subject, as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedSubject {
    pub origin: Origin,
    #[serde(default)]
    pub depth: u16,
    #[serde(default)]
    pub engines: Vec<EngineKey>,
    /// Trials that have been given.
    #[serde(default)]
    pub trials: usize,
}

/// The engines of a state, and how long ago each ended.
pub(super) fn ends_of(state: &CrashState) -> impl Iterator<Item = (EngineKey, Millis)> {
    let ages = state.ages.iter().copied().chain(std::iter::repeat(0));
    state.engines.iter().copied().zip(ages)
}
