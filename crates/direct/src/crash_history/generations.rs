//! A bounded memory of what was seen last.

use std::hash::Hash;
use std::mem::{replace, take};

use indexmap::IndexSet;

/// Size at which a generation of completed requests, or of outlived parts, replaces the one before.
const COMPLETED_GENERATION: usize = 4_096;

/// What was seen last, in two generations.
#[derive(Debug)]
pub(super) struct Generations<T>([IndexSet<T>; 2]);

impl<T> Default for Generations<T> {
    fn default() -> Self {
        Generations([IndexSet::new(), IndexSet::new()])
    }
}

impl<T: Eq + Hash> Generations<T> {
    pub(super) fn contains(&self, value: &T) -> bool {
        self.0.iter().any(|generation| generation.contains(value))
    }

    pub(super) fn insert(&mut self, value: T) {
        let [current, previous] = &mut self.0;
        current.insert(value);
        if current.len() >= COMPLETED_GENERATION {
            drop(replace(previous, take(current)));
        }
    }
}
