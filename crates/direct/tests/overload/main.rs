//! Services without models whose engines complete less than arrives.

#[path = "../support/mod.rs"]
mod support;

mod controller;
mod day;
mod node;
mod world;
