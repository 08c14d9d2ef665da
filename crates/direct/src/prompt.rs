use std::fmt;

use derive_more::Display;

/// What a caller says of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model, with the adapter after a slash; empty where the service has no models.
    pub wanted: Option<Wanted>,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Most tokens of the answer.
    pub tokens_out: u32,
    /// The parts of the prompt, in order; the last one is the caller's own or its session's.
    pub parts: Vec<Part>,
}

/// A part of a prompt, which requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Names its text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A model, or an adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Wanted {
    /// The model.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
}

impl fmt::Display for Wanted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.model)?;
        match &self.adapter {
            Some(adapter) => write!(f, "/{adapter}"),
            None => Ok(()),
        }
    }
}

impl std::str::FromStr for Wanted {
    type Err = EmptyModel;

    fn from_str(s: &str) -> Result<Self, EmptyModel> {
        let (model, adapter) = match s.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter.to_owned())),
            None => (s, None),
        };
        if model.is_empty() || adapter.as_deref() == Some("") {
            return Err(EmptyModel);
        }
        Ok(Wanted { model: model.to_owned(), adapter })
    }
}

/// A model or an adapter without a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("a model or adapter without a name")]
pub struct EmptyModel;
