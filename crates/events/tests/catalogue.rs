//! The events in the code match `docs/EVENTS.md`.

use std::path::Path;

use hgw_events::Event;

#[test]
fn numbers_are_in_order_and_unique() {
    let numbers: Vec<u32> = Event::ALL.iter().map(|e| e.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn page_lists_every_event() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let is_row = |line: &&str| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit();
    let listed: Vec<String> = page.lines().filter(is_row).map(strip_fields).collect();
    let logged: Vec<String> = Event::ALL.iter().map(|e| row(*e)).collect();
    assert_eq!(listed, logged);
}

fn row(event: Event) -> String {
    let level = event.level().as_str().to_lowercase();
    format!("| {} | {} | {level} | {}", event.number(), event.name(), event.text())
}

fn strip_fields(line: &str) -> String {
    line.split(" | ").take(4).collect::<Vec<_>>().join(" | ")
}

/// A documented event that no code emits would mislead operators.
#[test]
fn every_event_is_logged_somewhere() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut code = String::new();
    append_sources(&crates, &mut code);
    let logged = |event: &&Event| code.contains(&format!("Event::{}", event.name()));
    let unlogged: Vec<&Event> = Event::ALL.iter().filter(|e| !logged(e)).collect();
    assert!(unlogged.is_empty(), "never logged: {unlogged:?}");
}

/// Appends all sources below `dir`, except tests and the catalogue itself.
fn append_sources(dir: &Path, code: &mut String) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        if path.is_dir() && name != "tests" {
            append_sources(&path, code);
        } else if name.ends_with(".rs") && name != "catalogue.rs" {
            code.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}
