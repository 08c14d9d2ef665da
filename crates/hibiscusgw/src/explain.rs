//! `explain`: prints the events of one request from the log lines of any number of nodes.

use std::io::BufRead;

use indexmap::IndexMap;
use serde_json::Value;

use crate::log_lines::{LogLine, read_log_lines};
use crate::{Console, Error, Result};

/// Events on the node's view of engines, peers and the configuration, printed as context of a request.
const CONTEXT_EVENTS: [u64; 12] =
    [1004, 1008, 2004, 2006, 3001, 3101, 4001, 4002, 4006, 4007, 4008, 5011];

/// Most context events printed before an event of the request; older ones are skipped.
const MAX_CONTEXT_EVENTS: usize = 4;

/// Event of a stream that a caller takes up.
const STREAM_TAKEN_UP: u64 = 5016;

/// Prints the events of a request in order of time, each after the context events of its node since the
/// previous one. The attempts that belong to the same stream count as one request.
pub(crate) fn explain(id: &str, input: &mut dyn BufRead, console: &mut Console<'_>) -> Result<()> {
    let lines = read_log_lines(input)?;
    let attempts = attempts_of_stream(&lines, id);
    let is_of_request = |line: &LogLine| line.field("id").is_some_and(|id| attempts.contains(&id));
    let of_request: Vec<usize> =
        (0..lines.len()).filter(|index| is_of_request(&lines[*index])).collect();
    let Some(start) = of_request.first().map(|index| lines[*index].time) else {
        return Err(Error::RequestNotFound(id.to_owned()));
    };
    writeln!(console.out, "request {id}")?;
    // The line up to which the context events of each node have been printed.
    let mut printed_to: IndexMap<&str, usize> = IndexMap::new();
    for index in of_request {
        let line = &lines[index];
        let from = printed_to.insert(line.node.as_str(), index).unwrap_or(0);
        let of_node = lines[from..index].iter().filter(|l| l.node == line.node);
        let context: Vec<&LogLine> =
            of_node.filter(|l| CONTEXT_EVENTS.contains(&l.event)).collect();
        for event in context.iter().skip(context.len().saturating_sub(MAX_CONTEXT_EVENTS)) {
            writeln!(console.out, "    {}", event.format_since(start))?;
        }
        let attempt = line.field("id").filter(|attempt| *attempt != id);
        let attempt = attempt.map(|attempt| format!(" (attempt {attempt})")).unwrap_or_default();
        writeln!(console.out, "  {}{attempt}", line.format_since(start))?;
    }
    Ok(())
}

/// The attempts that brought events of the same stream as one of them.
fn attempts_of_stream<'a>(lines: &'a [LogLine], id: &'a str) -> Vec<&'a str> {
    let taken_up: Vec<(&str, &str)> = lines
        .iter()
        .filter(|line| line.event == STREAM_TAKEN_UP)
        .filter_map(|line| Some((line.field("id")?, line.field("resumes")?)))
        .filter(|(_, first)| !first.is_empty())
        .collect();
    let first = taken_up.iter().find(|(again, _)| *again == id).map_or(id, |(_, first)| *first);
    let others = taken_up.iter().filter(|(_, of)| *of == first).map(|(again, _)| *again);
    others.chain([first, id]).collect()
}

impl LogLine {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// The line with its time relative to `start`, in seconds since the Unix epoch.
    fn format_since(&self, start: f64) -> String {
        let ms = ((self.time - start) * 1000.0).round();
        let mut text = format!("{ms:+} ms {} {}: {}", self.node, self.event, self.text);
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != "id") {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!(" {name}={value}"));
        }
        text
    }
}
