//! `explain`: the story of one request, from the log lines of any number of nodes.

use std::io::BufRead;

use indexmap::IndexMap;
use serde_json::{Map, Value};

use crate::{Console, Error, Result};

/// Events that say what a node believed of engines and the configuration, before a request.
const BELIEFS: [u64; 11] = [1004, 1008, 2004, 2006, 3001, 3101, 4001, 4002, 4006, 4007, 4008];

/// Beliefs of a node that are told before a line of it: the newest few since its last one.
const MOST_BELIEFS: usize = 4;

/// A log line.
#[derive(Debug, Clone)]
struct Line {
    time: f64,
    event: u64,
    text: String,
    node: String,
    fields: Map<String, Value>,
}

/// Prints what the lines say of a request, in the order of time, with what each node believed before.
pub(crate) fn explain(id: &str, input: &mut dyn BufRead, console: &mut Console<'_>) -> Result<()> {
    let mut lines = read(input)?;
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let of_request: Vec<usize> = (0..lines.len()).filter(|at| lines[*at].is_of(id)).collect();
    let Some(first) = of_request.first().map(|at| lines[*at].time) else {
        return Err(Error::NotLogged(id.to_owned()));
    };
    writeln!(console.out, "request {id}")?;
    // Up to which line each node's beliefs were told.
    let mut told: IndexMap<&str, usize> = IndexMap::new();
    for at in of_request {
        let line = &lines[at];
        let from = told.insert(line.node.as_str(), at).unwrap_or(0);
        let of_node = lines[from..at].iter().filter(|l| l.node == line.node);
        let beliefs: Vec<&Line> = of_node.filter(|l| BELIEFS.contains(&l.event)).collect();
        for belief in beliefs.iter().skip(beliefs.len().saturating_sub(MOST_BELIEFS)) {
            writeln!(console.out, "    {}", belief.told(first))?;
        }
        writeln!(console.out, "  {}", line.told(first))?;
    }
    Ok(())
}

fn read(input: &mut dyn BufRead) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in input.lines() {
        // Lines of other programs, and what comes before the object, are passed over.
        let text = text?;
        let Some(start) = text.find('{') else { continue };
        if let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) {
            lines.extend(Line::read(fields));
        }
    }
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

    fn is_of(&self, id: &str) -> bool {
        self.fields.get("id").and_then(Value::as_str) == Some(id)
    }

    fn told(&self, first: f64) -> String {
        let ms = ((self.time - first) * 1000.0).round();
        let mut told = format!("{ms:+} ms {} {}: {}", self.node, self.event, self.text);
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != "id") {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            told.push_str(&format!(" {name}={value}"));
        }
        told
    }
}
