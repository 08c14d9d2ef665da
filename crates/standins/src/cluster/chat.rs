//! Model requests as callers make them.

use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use super::Result;
use crate::client::{Caller, Events};
use crate::deployment::name;
use crate::engine::Source;

/// A question to a model.
#[derive(Debug, Clone, Serialize)]
pub struct Question {
    /// The model, or `model:adapter`.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Tokens at most.
    pub max_tokens: u32,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
    /// Headers of the request.
    #[serde(skip)]
    pub headers: Vec<(&'static str, String)>,
}

/// One message of a conversation.
#[derive(Debug, Clone, Serialize)]
pub struct Message {
    /// Who says it.
    pub role: String,
    /// What is said.
    pub content: String,
}

impl Question {
    /// One user's message.
    pub fn new(model: &str, content: &str, max_tokens: u32) -> Question {
        let message = Message { role: "user".into(), content: content.into() };
        Question {
            model: model.into(),
            messages: vec![message],
            max_tokens,
            stream: true,
            headers: Vec::new(),
        }
    }

    /// With one more header.
    pub fn with(mut self, header: &'static str, value: &str) -> Question {
        self.headers.push((header, value.into()));
        self
    }

    /// Asks it; the answer is read bit by bit.
    pub fn open(&self, caller: &Caller) -> Result<ChatStream> {
        ChatStream::open(caller, self)
    }

    /// The whole answer as version `version` of the model gives it.
    pub fn expected(&self, version: &str) -> String {
        let (model, adapter) = match self.model.split_once(':') {
            Some((model, adapter)) => (model, Some(name(adapter))),
            None => (self.model.as_str(), None),
        };
        let prompt = prompt(&self.messages);
        let source = Source {
            model: &name(model),
            version: &name(version),
            adapter: adapter.as_ref(),
            prompt: &prompt,
        };
        source.expected_text(self.max_tokens)
    }
}

/// The conversation as nodes hand it to engines.
fn prompt(messages: &[Message]) -> String {
    let lines = messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
    lines.collect()
}

/// What came of a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// The text, or the body of a refusal.
    pub text: String,
    /// Tokens that the text came in.
    pub pieces: usize,
    /// Whether the answer said that it is whole.
    pub whole: bool,
    /// What the answer said in place of its end.
    pub error: Option<String>,
}

/// An answer that is being read.
#[derive(Debug)]
pub struct ChatStream {
    chat: Chat,
    events: Events,
}

impl ChatStream {
    fn open(caller: &Caller, question: &Question) -> Result<ChatStream> {
        let headers: Vec<(&str, &str)> =
            question.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        let events = caller.stream("/v1/chat/completions", &headers, question)?;
        let chat = Chat {
            status: events.status,
            headers: events.headers.clone(),
            text: String::new(),
            pieces: 0,
            whole: false,
            error: None,
        };
        Ok(ChatStream { chat, events })
    }

    /// Reads until the answer has `pieces` tokens or ends.
    pub fn read(&mut self, pieces: usize) -> Result<&Chat> {
        while self.chat.pieces < pieces && self.step()? {}
        Ok(&self.chat)
    }

    /// Reads to the end.
    pub fn rest(mut self) -> Result<Chat> {
        if self.chat.status.is_success() {
            while self.step()? {}
        } else {
            self.chat.text = self.events.rest()?;
        }
        Ok(self.chat)
    }

    /// Reads one event; whether there was one.
    fn step(&mut self) -> Result<bool> {
        let Some(data) = self.events.next_event()? else { return Ok(false) };
        if data == "[DONE]" {
            self.chat.whole = true;
        } else if let Ok(piece) = serde_json::from_str::<Piece>(&data) {
            for choice in piece.choices {
                self.chat.pieces += usize::from(choice.delta.content.is_some());
                self.chat.text += &choice.delta.content.unwrap_or_default();
            }
        } else {
            self.chat.error = Some(data);
        }
        Ok(true)
    }
}

#[derive(Debug, Deserialize)]
struct Piece {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}
