//! The full check of a document, before it is published and when it is folded.

mod memory;
mod services;
mod upstreams;

use std::fmt::Display;

use crate::{Document, Fault};

/// Finds all faults of a document.
pub fn check(document: &Document) -> Result<(), Vec<Fault>> {
    let mut faults = Faults::default();
    services::check(document, &mut faults);
    upstreams::check(document, &mut faults);
    memory::check(document, &mut faults);
    weight_store(document, &mut faults);
    faults.into_result()
}

/// Finds what stands against going from one checked document to another one: while a version changes,
/// memory must hold the old and the new one.
pub fn check_change(old: &Document, new: &Document) -> Result<(), Vec<Fault>> {
    let mut faults = Faults::default();
    memory::check_change(old, new, &mut faults);
    faults.into_result()
}

fn weight_store(document: &Document, faults: &mut Faults) {
    let store = &document.weight_store;
    if store.loads_per_second.as_per_second() <= 0.0 {
        faults.add("weight_store.loads_per_second", store.loads_per_second, "more than 0");
    }
    if store.parallel == 0 {
        faults.add("weight_store.parallel", store.parallel, "at least 1");
    }
}

#[derive(Debug, Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, path: impl Into<String>, value: impl Display, allowed: impl Into<String>) {
        let (path, value, allowed) = (path.into(), value.to_string(), allowed.into());
        self.0.push(Fault { path, value, allowed });
    }

    fn into_result(self) -> Result<(), Vec<Fault>> {
        if self.0.is_empty() { Ok(()) } else { Err(self.0) }
    }
}

fn one_of<T: Display>(names: impl Iterator<Item = T>) -> String {
    let names: Vec<_> = names.take(SHOWN).map(|name| name.to_string()).collect();
    if names.is_empty() { "nothing: none is defined".to_owned() } else { names.join(", ") }
}

/// Names that a message lists at most.
const SHOWN: usize = 20;
