//! Memory that requests hold at engines, in tokens.

use indexmap::IndexMap;

use crate::{Engine, Millis, Prompt, SendId, broadcasts_sends};

/// Factor by which a response may be longer than the caller's hint. Its memory is reserved from the
/// start, as an engine that runs out of it interrupts other streams.
const HINT_MARGIN: u32 = 4;

/// Factor by which a reservation grows once the output has reached it. Grown in steps, it changes a
/// few times in a stream instead of with each event.
const GROWTH: u32 = 2;

/// Largest number of tokens that one request counts for. Keeps sums over all nodes far below the
/// range of their type, whatever callers state.
const MAX_COUNTED_TOKENS: u32 = 1 << 20;

/// Requests that other nodes may send to an engine before this node knows of them. With room for
/// fewer, only a share of the requests goes there, as all nodes see the same room at the same time.
const UNSEEN_REQUESTS: f64 = 6.0;

/// Requests of the mean size by which those that run together may exceed the mean.
const SIZE_MARGIN: f64 = 2.0;

/// Minimum of that share for an engine that runs nothing: a large request fits nowhere else.
const MIN_IDLE_SHARE: f64 = 0.25;

/// Memory that a request needs at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestMemory {
    prompt: u32,
    /// Output tokens that are reserved from the start.
    reserved_output: u32,
    /// Output tokens if the hint is right; the maximum without one.
    expected_output: u32,
    max_output: u32,
}

impl RequestMemory {
    pub fn of(prompt: &Prompt) -> RequestMemory {
        let max_output = prompt.max_output_tokens;
        let hint = prompt.length_hint.unwrap_or(max_output);
        RequestMemory {
            prompt: prompt.prompt_tokens,
            reserved_output: hint.saturating_mul(HINT_MARGIN).min(max_output),
            expected_output: hint.min(max_output),
            max_output,
        }
    }

    /// Tokens that it holds, or will hold soon, once this many output tokens have arrived.
    pub fn held(self, output: u32) -> u32 {
        let grown = output.saturating_mul(GROWTH).checked_next_power_of_two().unwrap_or(u32::MAX);
        let is_within = output < self.reserved_output;
        let reserved =
            if is_within { self.reserved_output } else { grown.min(self.max_output).max(output) };
        self.prompt.saturating_add(reserved).min(MAX_COUNTED_TOKENS)
    }

    /// Whether it would not fit into this memory if it ran there alone.
    fn exceeds(self, memory_tokens: u32) -> bool {
        self.prompt.saturating_add(self.expected_output) > memory_tokens
    }
}

/// Memory held at an engine, as far as it is known by way of requests.
#[derive(Debug, Clone, Default)]
pub struct HeldTokens {
    /// Tokens held by requests of this node.
    pub own: u32,
    peers: IndexMap<SendId, PeerMemory>,
}

#[derive(Debug, Clone, Copy)]
struct PeerMemory {
    tokens: u32,
    reported_at: Millis,
}

/// Time after which the memory of another node's request is dropped if its end was not reported; the
/// deadline of most streams.
const PEER_MEMORY_TTL: Millis = 10_000;

/// Maximum number of requests of other nodes that are tracked per engine; several times its queue.
const MAX_PEER_REQUESTS: usize = 1_024;

impl HeldTokens {
    /// Replaces the tokens that a request of this node holds.
    pub fn replace_own(&mut self, previous: u32, tokens: u32) {
        self.own = self.own.saturating_sub(previous).saturating_add(tokens);
    }

    /// Records the tokens that a request of another node holds; none once it has ended.
    pub fn set_from_peer(&mut self, id: SendId, tokens: u32, now: Millis) {
        self.peers.retain(|_, held| held.is_recent(now));
        if tokens == 0 {
            self.peers.swap_remove(&id);
        } else if self.peers.len() < MAX_PEER_REQUESTS || self.peers.contains_key(&id) {
            let tokens = tokens.min(MAX_COUNTED_TOKENS);
            self.peers.insert(id, PeerMemory { tokens, reported_at: now });
        }
    }

    fn peer_tokens(&self, now: Millis) -> u32 {
        let recent = self.peers.values().filter(|held| held.is_recent(now));
        recent.fold(0, |sum, held| sum.saturating_add(held.tokens))
    }
}

impl PeerMemory {
    fn is_recent(self, now: Millis) -> bool {
        now.saturating_sub(self.reported_at) < PEER_MEMORY_TTL
    }
}

/// What decides whether an engine has memory for a request.
#[derive(Debug, Clone, Copy)]
pub struct MemoryParams {
    /// Memory of each engine of the service.
    pub engine_tokens: u32,
    pub request: RequestMemory,
    /// Number of nodes that send to the same engines.
    pub nodes: u32,
}

impl MemoryParams {
    /// Whether no engine could ever run the request.
    pub fn is_too_large(&self) -> bool {
        self.request.exceeds(self.engine_tokens)
    }

    /// Whether the request may be sent to an engine with this estimated number of requests.
    /// `overstatement` is the factor by which sums over nodes are too high, `random` a number in `0..1`
    /// for this request and engine. An engine whose memory in
    /// use is unknown has room.
    pub fn has_room(
        &self,
        engine: &Engine,
        estimate: f64,
        overstatement: f64,
        random: f64,
        now: Millis,
    ) -> bool {
        let Some(held) = held_tokens(engine, self.nodes, now) else { return true };
        let (requests, held) = (estimate / overstatement, f64::from(held) / overstatement);
        let size = f64::from(self.request.held(0).min(self.engine_tokens));
        let (slots, tokens) = (f64::from(engine.info.slots), f64::from(self.engine_tokens));
        if requests >= slots {
            // It waits, and the requests that run then are about as large as the mean.
            return (held + size) / (requests + 1.0) * (slots + SIZE_MARGIN) <= tokens;
        }
        let is_idle = requests < 1.0;
        let mean = if is_idle { size } else { held / requests };
        // Further requests of the mean size for which there is memory.
        let room = (tokens - held - size) / mean.max(1.0);
        if room < 0.0 || broadcasts_sends(self.nodes) || self.nodes < 2 {
            return room >= 0.0;
        }
        let free_slots = slots - requests - 1.0;
        let share = (room / UNSEEN_REQUESTS).powi(2);
        let share = if is_idle { share.max(MIN_IDLE_SHARE) } else { share };
        room >= free_slots + SIZE_MARGIN || random < share
    }
}

/// Tokens held at an engine by the requests of all nodes, if known.
fn held_tokens(engine: &Engine, nodes: u32, now: Millis) -> Option<u32> {
    let own = engine.held_tokens.own;
    if let Some(others) = engine.in_flight_elsewhere {
        return Some(own.saturating_add(others.held));
    }
    let is_known = nodes < 2 || broadcasts_sends(nodes);
    is_known.then(|| own.saturating_add(engine.held_tokens.peer_tokens(now)))
}
