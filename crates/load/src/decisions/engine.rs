//! A fake upstream in virtual time: a batch of slots, one token a step each.

use hgw_types::AttemptId;
use indexmap::{IndexMap, IndexSet};

/// Prompt tokens that a slot computes in one step.
pub(super) const PROMPT_TOKENS_A_STEP: u32 = 64;
/// Tokens in one block of the prefix cache.
pub(super) const BLOCK_TOKENS: u32 = 64;
/// Steps that fetching an adapter that is not at hand takes.
const ADAPTER_STEPS: u32 = 8;
/// Prompt prefixes and adapters that an engine keeps at hand.
const PREFIXES: usize = 12;
const ADAPTERS: usize = 8;

/// Work as the upstream sees it.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) attempt: AttemptId,
    pub(super) urgent: bool,
    /// Names the shared prefix, and its blocks.
    pub(super) prefix: (u64, u32),
    /// Model and adapter; none for a plain call, whose `prompt` is its length in steps.
    pub(super) adapter: Option<(usize, usize)>,
    pub(super) plain: bool,
    pub(super) prompt: u32,
    /// Tokens to emit; 0 for a plain call.
    pub(super) output: u32,
    pub(super) emitted: u32,
    pub(super) before_first: u32,
}

impl Run {
    pub(super) fn new(attempt: AttemptId, prompt: u32, output: u32) -> Run {
        Run {
            attempt,
            urgent: true,
            prefix: (0, 0),
            adapter: None,
            plain: output == 0,
            prompt,
            output,
            emitted: 0,
            before_first: 0,
        }
    }
}

/// What a step brought about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Emit {
    /// This many tokens so far.
    Tokens(AttemptId, u32),
    /// The answer is whole.
    Whole(AttemptId, u32),
}

/// How an upstream orders what waits inside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Inner {
    Fifo,
    UrgentFirst,
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) slots: usize,
    pub(super) batch: Vec<Run>,
    pub(super) waiting: Vec<Run>,
    pub(super) up: bool,
    /// Models, and whether each is ready.
    pub(super) models: IndexMap<usize, bool>,
    /// How many times as slow as it should be.
    pub(super) slow: u32,
    pub(super) stepping: bool,
    prefixes: IndexSet<u64>,
    adapters: IndexSet<(usize, usize)>,
    inner: Inner,
}

/// Puts a value in front of a least-recently-used set and says whether it was there.
fn touch<T: Eq + std::hash::Hash>(set: &mut IndexSet<T>, value: T, limit: usize) -> bool {
    let hit = set.shift_remove(&value);
    set.insert(value);
    if set.len() > limit {
        set.shift_remove_index(0);
    }
    hit
}

impl Engine {
    pub(super) fn new(slots: u32, inner: Inner) -> Engine {
        Engine {
            slots: slots as usize,
            batch: Vec::new(),
            waiting: Vec::new(),
            up: true,
            models: IndexMap::new(),
            slow: 1,
            stepping: false,
            prefixes: IndexSet::new(),
            adapters: IndexSet::new(),
            inner,
        }
    }

    pub(super) fn holds_adapter(&self, adapter: (usize, usize)) -> bool {
        self.adapters.contains(&adapter)
    }

    pub(super) fn submit(&mut self, run: Run) {
        let ahead = |w: &Run| self.inner == Inner::Fifo || w.urgent || !run.urgent;
        let at = self.waiting.iter().take_while(|w| ahead(w)).count();
        self.waiting.insert(at, run);
    }

    /// Drops work; says whether it was there.
    pub(super) fn cancel(&mut self, attempt: AttemptId) -> bool {
        let before = self.batch.len() + self.waiting.len();
        self.batch.retain(|r| r.attempt != attempt);
        self.waiting.retain(|r| r.attempt != attempt);
        before > self.batch.len() + self.waiting.len()
    }

    pub(super) fn idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// One step of the batch.
    pub(super) fn step(&mut self, out: &mut Vec<Emit>) {
        self.fill();
        self.batch.retain_mut(|r| {
            if r.before_first > 1 {
                r.before_first -= 1;
                return true;
            }
            r.emitted += 1;
            let whole = r.emitted >= r.output;
            let emit = if whole {
                Emit::Whole(r.attempt, r.emitted)
            } else {
                Emit::Tokens(r.attempt, r.emitted)
            };
            out.push(emit);
            !whole
        });
    }

    fn fill(&mut self) {
        while self.batch.len() < self.slots && !self.waiting.is_empty() {
            let mut run = self.waiting.remove(0);
            run.before_first = self.steps_to_first(&run);
            self.batch.push(run);
        }
    }

    fn steps_to_first(&mut self, run: &Run) -> u32 {
        if run.plain {
            return run.prompt;
        }
        let (prefix, blocks) = run.prefix;
        let cached = touch(&mut self.prefixes, prefix, PREFIXES);
        let known = if cached { blocks * BLOCK_TOKENS } else { 0 };
        let fetched = run.adapter.is_none_or(|a| touch(&mut self.adapters, a, ADAPTERS));
        let fetch = if fetched { 0 } else { ADAPTER_STEPS };
        run.prompt.saturating_sub(known).div_ceil(PROMPT_TOKENS_A_STEP) + 1 + fetch
    }
}
