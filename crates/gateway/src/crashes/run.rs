//! What is known of a run that an engine's end broke off.

use std::time::Duration;

use hgw_direct::{CrashSubject, EngineId, RankedSubject};
use hgw_events::{Event, emit};
use hgw_http1::Framing;

use crate::shared::Node;

/// Time for which an engine has been writing on a part when the part has not crashed it.
pub(crate) const OUTLIVED_AFTER: Duration = Duration::from_millis(500);

/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 8;

#[derive(Debug, Clone, Default)]
pub(crate) struct CrashRun {
    /// The caller's name for the attempt.
    pub(crate) request_id: String,
    /// How long the engine had been writing the body; none if it had not begun.
    pub(crate) writing_for: Option<Duration>,
    pub(crate) framing: Option<Framing>,
}

impl CrashRun {
    /// Whether the engine had been writing for so long that the run did not crash it.
    pub(crate) fn has_outlived(&self) -> bool {
        self.writing_for.is_some_and(|time| time >= OUTLIVED_AFTER)
    }

    pub(super) fn log_end(&self, node: &Node, subjects: &[RankedSubject], engine: &EngineId) {
        let (mut digest, mut parts) = (String::new(), Vec::new());
        for RankedSubject { subject, .. } in subjects {
            match subject {
                CrashSubject::Request(request) => digest = request.to_string(),
                CrashSubject::Part(id) if parts.len() < MAX_LOGGED_PARTS => {
                    parts.push(format!("{id:x}"));
                }
                CrashSubject::Part(_) => {}
            }
        }
        let crashes = node.crashes.borrow();
        let ends = subjects.iter().map(|ranked| crashes.ends(ranked.subject)).max();
        let writing_for = self.writing_for.map(|time| time.as_millis().to_string());
        emit(
            Event::EngineEnded,
            &[
                ("node", &node.settings.borrow().node),
                ("id", &self.request_id),
                ("digest", &digest),
                ("upstream", engine),
                ("ended", &ends.unwrap_or_default()),
                ("parts", &parts.join(",")),
                ("writing_ms", &writing_for.unwrap_or_default()),
                ("framing", &self.framing_text()),
            ],
        );
    }

    fn framing_text(&self) -> &'static str {
        match self.framing {
            None => "",
            Some(Framing::Length(_)) => "length",
            Some(Framing::Chunked) => "chunked",
            Some(Framing::UntilClose) => "until_close",
        }
    }
}
