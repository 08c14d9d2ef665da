use std::sync::Arc;

use hgw_node::{Answer, StreamId};
use hgw_types::AttemptId;
use indexmap::IndexMap;

/// What callers have been given.
#[derive(Default)]
pub(crate) struct Callers {
    streams: IndexMap<StreamId, Caller>,
}

#[derive(Default)]
pub(crate) struct Caller {
    attempt: Option<AttemptId>,
    pub(crate) tokens: Vec<Arc<str>>,
    pub(crate) answer: Option<Answer>,
}

impl Callers {
    pub(crate) fn open(&mut self, stream: StreamId) {
        self.streams.insert(stream, Caller::default());
    }

    pub(crate) fn attach(&mut self, stream: StreamId, attempt: AttemptId) {
        self.streams[&stream].attempt = Some(attempt);
    }

    pub(crate) fn seal(&mut self, stream: StreamId) -> Vec<Arc<str>> {
        let caller = &mut self.streams[&stream];
        caller.attempt = None;
        caller.tokens.clone()
    }

    /// A token arrives; it counts where the attempt is attached and nothing is missing before it.
    pub(crate) fn token(&mut self, attempt: AttemptId, index: u32) {
        let caller = self.streams.values_mut().find(|c| c.attempt == Some(attempt));
        if let Some(caller) = caller.filter(|c| c.tokens.len() == index as usize) {
            caller.tokens.push(format!("t{index}").into());
        }
    }

    pub(crate) fn answer(&mut self, stream: StreamId, answer: Answer) -> String {
        let caller = &mut self.streams[&stream];
        assert!(caller.answer.is_none(), "caller {stream} is answered twice");
        let line = match &answer {
            Answer::Whole => {
                format!("caller {stream} has a whole answer of {}", caller.tokens.len())
            }
            Answer::Recorded(answer) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                format!("caller {stream} gets {} {body}", answer.status)
            }
            Answer::Models(names) => format!("caller {stream} gets models {names:?}"),
            Answer::Failed(f) => {
                let later = f.retry_after.map_or_else(|| "never".to_owned(), |d| format!("{d:?}"));
                format!("caller {stream} fails: {} {} back after {later}", f.code, f.ran)
            }
        };
        caller.answer = Some(answer);
        line
    }
}
