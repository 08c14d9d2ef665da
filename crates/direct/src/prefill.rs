//! Tracks prompts whose prefill is not complete, and how fast engines process them.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Maximum number of nodes that broadcast each request; the number of messages grows with the
/// square of the number of nodes.
const MAX_BROADCASTING_NODES: u32 = 12;

/// Whether nodes broadcast the requests that they send.
pub fn broadcasts_sends(nodes: u32) -> bool {
    (2..=MAX_BROADCASTING_NODES).contains(&nodes)
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
const PEER_PROMPT_TTL: Millis = 2_000;

/// Maximum number of prompts that are tracked per engine; several times its queue.
const MAX_PROMPTS: usize = 1_024;

/// Prompts sent to an engine by this node and others whose prefill is not complete.
///
/// The number of requests does not show this load: a few long prompts delay all streams of the
/// engine.
#[derive(Debug, Clone, Default)]
pub struct PrefillBacklog {
    prompts: IndexMap<SendId, PendingPrompt>,
}

#[derive(Debug, Clone, Copy)]
struct PendingPrompt {
    tokens: u32,
    sent_at: Millis,
    /// Tokens that the engine processes until this prompt is complete, if it works in order.
    tokens_to_process: u32,
    /// Whether this node sent it.
    is_own: bool,
}

impl PrefillBacklog {
    pub fn add_own(&mut self, id: SendId, tokens: u32, now: Millis) {
        let tokens_to_process = self.tokens(now).saturating_add(tokens);
        self.prompts
            .insert(id, PendingPrompt { tokens, sent_at: now, tokens_to_process, is_own: true });
    }

    /// Adds a prompt that another node reported.
    pub fn add_from_peer(&mut self, id: SendId, tokens: u32, now: Millis) {
        if self.prompts.len() >= MAX_PROMPTS {
            self.prompts.retain(|_, prompt| prompt.is_pending(now));
        }
        if self.prompts.len() < MAX_PROMPTS {
            self.prompts.entry(id).or_insert(PendingPrompt {
                tokens,
                sent_at: now,
                tokens_to_process: 0,
                is_own: false,
            });
        }
    }

    /// Removes a prompt whose prefill is complete or whose request has ended. Returns the tokens
    /// that the engine has processed since it was sent and the time this took, if this node sent
    /// it.
    pub fn finish(&mut self, id: SendId, now: Millis) -> Option<(u32, Millis)> {
        let prompt = self.prompts.swap_remove(&id).filter(|prompt| prompt.is_own)?;
        Some((prompt.tokens_to_process, now.saturating_sub(prompt.sent_at)))
    }

    pub fn count(&self, now: Millis) -> usize {
        self.prompts.values().filter(|prompt| prompt.is_pending(now)).count()
    }

    /// Number of prompts that other nodes sent.
    pub fn count_from_peers(&self, now: Millis) -> usize {
        self.prompts.values().filter(|prompt| !prompt.is_own && prompt.is_pending(now)).count()
    }

    /// Number and tokens of the prompts that this node sent.
    pub fn own_totals(&self) -> (u32, u32) {
        let own = self.prompts.values().filter(|prompt| prompt.is_own);
        own.fold((0, 0), |(count, sum), prompt| (count + 1, sum.saturating_add(prompt.tokens)))
    }

    pub fn tokens(&self, now: Millis) -> u32 {
        let pending = self.prompts.values().filter(|prompt| prompt.is_pending(now));
        pending.fold(0, |sum, prompt| sum.saturating_add(prompt.tokens))
    }
}

impl PendingPrompt {
    fn is_pending(&self, now: Millis) -> bool {
        self.is_own || now.saturating_sub(self.sent_at) < PEER_PROMPT_TTL
    }
}

/// Assumed time per prompt token, in milliseconds, before any is observed. Engines take 0.025 to 0.06,
/// depending on the model and on what else they run.
const ASSUMED_MS_PER_TOKEN: f64 = 0.04;

/// Number of tokens over which the average is formed.
const AVERAGING_TOKENS: f64 = 20_000.0;

/// Number of tokens that the assumption counts for.
const ASSUMED_TOKENS: f64 = 2_000.0;

/// Average prefill time per token, including the decode steps between.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRate {
    ms: f64,
    tokens: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        PrefillRate { ms: ASSUMED_MS_PER_TOKEN * ASSUMED_TOKENS, tokens: ASSUMED_TOKENS }
    }
}

impl PrefillRate {
    pub fn record(&mut self, tokens: u32, took: Millis) {
        let factor = AVERAGING_TOKENS / (AVERAGING_TOKENS + f64::from(tokens));
        self.ms = self.ms * factor + took as f64;
        self.tokens = self.tokens * factor + f64::from(tokens);
    }

    /// Estimated prefill time in milliseconds.
    pub fn estimate_ms(&self, tokens: u32) -> f64 {
        self.ms / self.tokens * f64::from(tokens)
    }
}
