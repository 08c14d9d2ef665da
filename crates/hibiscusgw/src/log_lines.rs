//! Reads the JSON log lines of any number of nodes.

use std::io::BufRead;

use hgw_events::Event;
use serde_json::{Map, Value};

use crate::Result;

#[derive(Debug, Clone)]
pub(crate) struct LogLine {
    /// Seconds since the Unix epoch.
    pub(crate) time: f64,
    pub(crate) event: u64,
    pub(crate) text: String,
    pub(crate) node: String,
    pub(crate) fields: Map<String, Value>,
}

/// Reads log lines and sorts them by time; lines of other programs are skipped.
pub(crate) fn read_log_lines(input: &mut dyn BufRead) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for text in input.lines() {
        // Text before the JSON object, such as a prefix of a log collector, is skipped.
        let text = text?;
        let Some(start) = text.find('{') else { continue };
        if let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) {
            lines.extend(LogLine::from_fields(fields));
        }
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    Ok(lines)
}

impl LogLine {
    fn from_fields(mut fields: Map<String, Value>) -> Option<LogLine> {
        let time = fields.remove("time")?.as_str()?.parse().ok()?;
        let event = fields.remove("event")?.as_u64()?;
        let text = fields.remove("text")?.as_str()?.to_owned();
        fields.remove("level");
        let node = fields.remove("node");
        let node = node.and_then(|n| n.as_str().map(str::to_owned)).unwrap_or_default();
        Some(LogLine { time, event, text, node, fields })
    }

    pub(crate) fn is_event(&self, event: Event) -> bool {
        self.event == u64::from(event.number())
    }

    /// A field as text; empty if it is missing or not a string.
    pub(crate) fn text_field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field as a number; none if it is missing or not a number.
    pub(crate) fn number_field(&self, name: &str) -> Option<f64> {
        self.text_field(name).parse().ok()
    }
}
