//! `explain`: prints the events of one request from the log lines of any number of nodes.

use std::io::BufRead;

use indexmap::IndexMap;
use serde_json::Value;

use crate::lines::{Line, read};
use crate::{Console, Error, Result};

/// Events on the node's view of engines, peers and the configuration, printed as context of a request.
const BELIEFS: [u64; 11] = [1004, 1008, 2004, 2006, 3001, 3101, 4001, 4002, 4006, 4007, 4008];

/// Most context events printed before an event of the request; older ones are skipped.
const MOST_BELIEFS: usize = 4;

/// Prints the events of a request in order of time, each after the context events of its node since the
/// previous one.
pub(crate) fn explain(id: &str, input: &mut dyn BufRead, console: &mut Console<'_>) -> Result<()> {
    let lines = read(input)?;
    let of_request: Vec<usize> = (0..lines.len()).filter(|at| lines[*at].is_of(id)).collect();
    let Some(first) = of_request.first().map(|at| lines[*at].time) else {
        return Err(Error::NotLogged(id.to_owned()));
    };
    writeln!(console.out, "request {id}")?;
    // The line up to which the context events of each node have been printed.
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

impl Line {
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
