//! What a request says about its prompt, and the model that it asks for.

use std::fmt;

use derive_more::Display;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// `None` if the service has no models.
    pub wanted: Option<Wanted>,
    pub tokens_in: u32,
    /// Maximum number of output tokens.
    pub tokens_out: u32,
    /// The parts of the prompt, in order. The last one belongs to the caller or its session.
    pub parts: Vec<Part>,
}

/// A part of a prompt, which several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifies its text.
    pub id: u64,
    pub tokens: u32,
}

/// A model, or an adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Wanted {
    pub model: String,
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("a model or adapter without a name")]
pub struct EmptyModel;
