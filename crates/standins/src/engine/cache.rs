//! The prefix cache of a stand-in engine.

use indexmap::IndexSet;
use xxhash_rust::xxh3::Xxh3;

/// Words of a prompt that are cached as one block.
const BLOCK: usize = 16;

/// Bounded set of prompt prefixes, the least recently used first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks: IndexSet<u64>,
    capacity: usize,
}

/// How much of a prompt was cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Lookup {
    pub(super) cached: u32,
    pub(super) total: u32,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        PrefixCache { blocks: IndexSet::new(), capacity }
    }

    /// Looks `prompt` up for what computes it (`owner`), and caches it whole.
    pub(super) fn take_in(&mut self, owner: &str, prompt: &str) -> Lookup {
        let words: Vec<&str> = prompt.split_whitespace().collect();
        let mut hash = Xxh3::new();
        hash.update(owner.as_bytes());
        let mut cached = 0;
        let mut unbroken = true;
        for block in words.chunks_exact(BLOCK) {
            for word in block {
                hash.update(word.as_bytes());
                hash.update(b" ");
            }
            unbroken &= self.touch(hash.digest());
            if unbroken {
                cached += BLOCK;
            }
        }
        Lookup { cached: count(cached), total: count(words.len()) }
    }

    pub(super) fn clear(&mut self) {
        self.blocks.clear();
    }

    /// Makes `block` the most recently used one; whether it was there.
    fn touch(&mut self, block: u64) -> bool {
        let known = self.blocks.shift_remove(&block);
        if self.capacity == 0 {
            return false;
        }
        if self.blocks.len() >= self.capacity {
            self.blocks.shift_remove_index(0);
        }
        self.blocks.insert(block);
        known
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
