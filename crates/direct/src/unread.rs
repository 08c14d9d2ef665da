//! Prompts that an engine has not read yet.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Nodes up to which each tells all others of what it sends: words grow with their square.
const MOST_TELLING: u32 = 12;

/// Whether nodes tell each other of what they send, where there are so many.
pub fn tells_sends(nodes: u32) -> bool {
    (2..=MOST_TELLING).contains(&nodes)
}

/// Names one request at one engine, for all nodes.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SendId(pub u64);

impl SendId {
    /// The name of a caller's request.
    pub fn of(request: &str) -> SendId {
        SendId(xxh3_64(request.as_bytes()))
    }
}

/// Time after which a prompt of another node counts as read, though nobody said so: that node has ended, or its
/// word was lost. Callers leave a stream that has not begun after two seconds.
const FORGOTTEN_AFTER: Millis = 2_000;

/// Prompts of other nodes that are kept of one engine: several times as many as it queues.
const MOST: usize = 1_024;

/// Prompts that an engine was sent and has not read yet, by this node and by others that told of it.
///
/// Load: an engine reads prompts in pieces between the steps of the streams that run there. While prompts wait
/// each step carries a whole piece, and every stream there pauses for the time of several. How many requests
/// run says nothing of this: four long prompts in a tenth of a second make all of them late.
#[derive(Debug, Clone, Default)]
pub struct Unread {
    prompts: IndexMap<SendId, Sent>,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    tokens: u32,
    at: Millis,
    /// Tokens that the engine had to read until this prompt was read, if it reads them in order.
    until_read: u32,
    own: bool,
}

impl Unread {
    /// This node sends a prompt.
    pub fn send(&mut self, id: SendId, tokens: u32, now: Millis) {
        let until_read = self.tokens(now).saturating_add(tokens);
        self.prompts.insert(id, Sent { tokens, at: now, until_read, own: true });
    }

    /// Another node tells that it sent one.
    pub fn told(&mut self, id: SendId, tokens: u32, now: Millis) {
        if self.prompts.len() >= MOST {
            self.prompts.retain(|_, sent| sent.counts(now));
        }
        if self.prompts.len() < MOST {
            self.prompts.entry(id).or_insert(Sent { tokens, at: now, until_read: 0, own: false });
        }
    }

    /// A prompt was read, or its request has ended. Gives the tokens that the engine read since it was sent and
    /// the time that this took, where this node sent it.
    pub fn read(&mut self, id: SendId, now: Millis) -> Option<(u32, Millis)> {
        let sent = self.prompts.swap_remove(&id).filter(|sent| sent.own)?;
        Some((sent.until_read, now.saturating_sub(sent.at)))
    }

    /// Prompts that wait to be read.
    pub fn count(&self, now: Millis) -> usize {
        self.prompts.values().filter(|sent| sent.counts(now)).count()
    }

    /// Prompts that this node sent and that wait to be read, and their tokens.
    pub fn own(&self) -> (u32, u32) {
        let own = self.prompts.values().filter(|sent| sent.own);
        own.fold((0, 0), |(count, sum), sent| (count + 1, sum.saturating_add(sent.tokens)))
    }

    /// Tokens that wait to be read.
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

/// Time that an engine takes to read a token of a prompt before anything has been seen of it, in milliseconds:
/// that of the engines that the product was measured with lies at 0.025 to 0.06, by model and by what runs beside.
const UNKNOWN_MS: f64 = 0.04;

/// Tokens that count for as much as what was seen before.
const REMEMBERED: f64 = 20_000.0;

/// Tokens of which the assumption above is worth.
const ASSUMED: f64 = 2_000.0;

/// How fast an engine reads prompts, with the steps between, as answers show.
#[derive(Debug, Clone, Copy)]
pub struct ReadingPace {
    ms: f64,
    tokens: f64,
}

impl Default for ReadingPace {
    fn default() -> Self {
        ReadingPace { ms: UNKNOWN_MS * ASSUMED, tokens: ASSUMED }
    }
}

impl ReadingPace {
    /// An engine read so many tokens within this time.
    pub fn saw(&mut self, tokens: u32, took: Millis) {
        let keep = REMEMBERED / (REMEMBERED + f64::from(tokens));
        self.ms = self.ms * keep + took as f64;
        self.tokens = self.tokens * keep + f64::from(tokens);
    }

    /// Milliseconds that it takes to read so many.
    pub fn time(&self, tokens: u32) -> f64 {
        self.ms / self.tokens * f64::from(tokens)
    }
}
