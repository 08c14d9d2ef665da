//! What a request says about its prompt, and the model that it asks for.

use std::fmt;

use derive_more::Display;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// `None` if the service has no models.
    pub model_ref: Option<ModelRef>,
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The caller's estimate of the number of output tokens, which may exceed the maximum.
    pub length_hint: Option<u32>,
    /// The parts of the prompt, in order. The last one belongs to the caller or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The parts that other callers and sessions may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A part of a prompt, which several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its text.
    pub id: u64,
    pub tokens: u32,
}

/// A model, or an adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelRef {
    pub model: String,
    pub adapter: Option<String>,
}

impl fmt::Display for ModelRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.model)?;
        match &self.adapter {
            Some(adapter) => write!(f, "/{adapter}"),
            None => Ok(()),
        }
    }
}

impl std::str::FromStr for ModelRef {
    type Err = EmptyModelName;

    fn from_str(s: &str) -> Result<Self, EmptyModelName> {
        let (model, adapter) = match s.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter.to_owned())),
            None => (s, None),
        };
        if model.is_empty() || adapter.as_deref() == Some("") {
            return Err(EmptyModelName);
        }
        Ok(ModelRef { model: model.to_owned(), adapter })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("the name of a model or adapter is empty")]
pub struct EmptyModelName;
