//! Newtypes for ids, sizes, rates and times.
