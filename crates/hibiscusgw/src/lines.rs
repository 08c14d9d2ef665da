//! Reads the JSON log lines of any number of nodes.

use std::io::BufRead;

use hgw_events::Event;
use serde_json::{Map, Value};

use crate::Result;

#[derive(Debug, Clone)]
pub(crate) struct Line {
    /// Seconds since the Unix epoch.
    pub(crate) time: f64,
    pub(crate) event: u64,
    pub(crate) text: String,
    pub(crate) node: String,
    pub(crate) fields: Map<String, Value>,
}

/// Reads log lines and sorts them by time; lines of other programs are skipped.
pub(crate) fn read(input: &mut dyn BufRead) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in input.lines() {
        // Text before the JSON object, such as a prefix of a log collector, is skipped.
        let text = text?;
        let Some(start) = text.find('{') else { continue };
        if let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) {
            lines.extend(Line::read(fields));
        }
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    Ok(lines)
}

impl Line {
    fn read(mut fields: Map<String, Value>) -> Option<Line> {
        let time = fields.remove("time")?.as_str()?.parse().ok()?;
        let event = fields.remove("event")?.as_u64()?;
        let text = fields.remove("text")?.as_str()?.to_owned();
        fields.remove("level");
        let node = fields.remove("node");
        let node = node.and_then(|n| n.as_str().map(str::to_owned)).unwrap_or_default();
        Some(Line { time, event, text, node, fields })
    }

    pub(crate) fn is(&self, event: Event) -> bool {
        self.event == u64::from(event.number())
    }

    /// A field as text; empty if it is missing or not a string.
    pub(crate) fn field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field as a number; none if it is missing or not a number.
    pub(crate) fn number(&self, name: &str) -> Option<f64> {
        self.field(name).parse().ok()
    }
}
