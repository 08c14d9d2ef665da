//! Tracks prompts whose prefill is not complete, and how fast engines process them.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Maximum number of nodes that broadcast each request; the number of messages grows with the
/// square of the number of nodes.
const MOST_TELLING: u32 = 12;

/// Whether nodes broadcast the requests that they send.
pub fn broadcasts_sends(nodes: u32) -> bool {
    (2..=MOST_TELLING).contains(&nodes)
}

/// Identifies a request at an engine for all nodes.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SendId(pub u64);

impl SendId {
    /// Hash of the caller's request id.
    pub fn of(request: &str) -> SendId {
        SendId(xxh3_64(request.as_bytes()))
    }
}

/// Time after which the prompt of another node is dropped if its completion was not reported;
/// callers give up on streams that have not started by then.
const FORGOTTEN_AFTER: Millis = 2_000;

/// Maximum number of prompts that are tracked per engine; several times its queue.
const MOST: usize = 1_024;

/// Prompts sent to an engine by this node and others whose prefill is not complete.
///
/// The number of requests does not show this load: a few long prompts delay all streams of the
/// engine.
#[derive(Debug, Clone, Default)]
pub struct PrefillBacklog {
    prompts: IndexMap<SendId, Sent>,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    tokens: u32,
    at: Millis,
    /// Tokens that the engine processes until this prompt is complete, if it works in order.
    until_read: u32,
    /// Whether this node sent it.
    own: bool,
}

impl PrefillBacklog {
    pub fn add_own(&mut self, id: SendId, tokens: u32, now: Millis) {
        let until_read = self.tokens(now).saturating_add(tokens);
        self.prompts.insert(id, Sent { tokens, at: now, until_read, own: true });
    }

    /// Adds a prompt that another node reported.
    pub fn add_from_peer(&mut self, id: SendId, tokens: u32, now: Millis) {
        if self.prompts.len() >= MOST {
            self.prompts.retain(|_, sent| sent.counts(now));
        }
        if self.prompts.len() < MOST {
            self.prompts.entry(id).or_insert(Sent { tokens, at: now, until_read: 0, own: false });
        }
    }

    /// Removes a prompt whose prefill is complete or whose request has ended. Returns the tokens
    /// that the engine has processed since it was sent and the time this took, if this node sent
    /// it.
    pub fn finish(&mut self, id: SendId, now: Millis) -> Option<(u32, Millis)> {
        let sent = self.prompts.swap_remove(&id).filter(|sent| sent.own)?;
        Some((sent.until_read, now.saturating_sub(sent.at)))
    }

    pub fn count(&self, now: Millis) -> usize {
        self.prompts.values().filter(|sent| sent.counts(now)).count()
    }

    /// Number and tokens of the prompts that this node sent.
    pub fn own_totals(&self) -> (u32, u32) {
        let own = self.prompts.values().filter(|sent| sent.own);
        own.fold((0, 0), |(count, sum), sent| (count + 1, sum.saturating_add(sent.tokens)))
    }

    pub fn tokens(&self, now: Millis) -> u32 {
        let waiting = self.prompts.values().filter(|sent| sent.counts(now));
        waiting.fold(0, |sum, sent| sum.saturating_add(sent.tokens))
    }
}

impl Sent {
    fn counts(&self, now: Millis) -> bool {
        self.own || now.saturating_sub(self.at) < FORGOTTEN_AFTER
    }
}

/// Assumed time per prompt token, in milliseconds, before any is observed.
const UNKNOWN_MS: f64 = 0.04;

/// Number of tokens over which the average is formed.
const REMEMBERED: f64 = 20_000.0;

/// Number of tokens that the assumption counts for.
const ASSUMED: f64 = 2_000.0;

/// Average prefill time per token, including the decode steps between.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRate {
    ms: f64,
    tokens: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        PrefillRate { ms: UNKNOWN_MS * ASSUMED, tokens: ASSUMED }
    }
}

impl PrefillRate {
    pub fn record(&mut self, tokens: u32, took: Millis) {
        let keep = REMEMBERED / (REMEMBERED + f64::from(tokens));
        self.ms = self.ms * keep + took as f64;
        self.tokens = self.tokens * keep + f64::from(tokens);
    }

    /// Estimated prefill time in milliseconds.
    pub fn estimate_ms(&self, tokens: u32) -> f64 {
        self.ms / self.tokens * f64::from(tokens)
    }
}
