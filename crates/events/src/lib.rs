//! Numbered log events.
//!
//! Each log line is one of these events: a stable number, a level, a fixed text and named fields.
//! `docs/EVENTS.md` lists all events.

mod catalogue;

use std::fmt::Display;

use log::kv::{ToValue, Value};

pub use catalogue::Event;

/// Target of all log records.
pub const TARGET: &str = "hibiscusgw";

/// Key of the event number in a record's fields.
pub const NUMBER_KEY: &str = "event";

/// Logs an event with its fields, in this order.
pub fn emit(event: Event, fields: &[(&str, &dyn Display)]) {
    let level = event.level();
    if level > log::max_level() {
        return;
    }
    let number = event.number();
    let mut pairs: Vec<(&str, Value<'_>)> = Vec::with_capacity(fields.len() + 1);
    pairs.push((NUMBER_KEY, number.to_value()));
    pairs.extend(fields.iter().map(|(key, value)| (*key, Value::from_dyn_display(*value))));
    log::logger().log(
        &log::Record::builder()
            .level(level)
            .target(TARGET)
            .key_values(&pairs)
            .args(format_args!("{}", event.text()))
            .build(),
    );
}
