//! Parses the fields of a completion call that the entry uses.

use std::borrow::Cow;

use apricothall_decide::routing::{Prefix, PromptPrefixes};
use apricothall_types::EntryName;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use smol_str::format_smolstr;

use crate::problem::Problem;

/// A completion call.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Requested catalogue entry.
    pub model: EntryName,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Maximum length of the answer in tokens, if set.
    pub max_tokens: Option<u32>,
    /// Prefix of the prompt, if the prompt is a string.
    pub prefix: Option<Prefix>,
    /// Body for the engine, with `stream` set to true.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct CallFields {
    model: EntryName,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    prompt: Value,
}

#[derive(Deserialize)]
struct PromptField<'a> {
    #[serde(borrow)]
    prompt: Cow<'a, str>,
}

impl CompletionCall {
    /// Parses the body of a completion call.
    ///
    /// # Errors
    /// When the body is not a valid completion call.
    pub fn read(body: Bytes) -> Result<Self, Problem> {
        let fields: CallFields = serde_json::from_slice(&body).map_err(|e| malformed(&e))?;
        let prefix = fields.prompt.as_str().map(|p| Prefix::of(p.as_bytes()));
        let body = if fields.stream {
            body
        } else {
            with_streaming(&body)?
        };
        Ok(Self {
            model: fields.model,
            stream: fields.stream,
            max_tokens: fields.max_tokens,
            prefix,
            body,
        })
    }

    /// Hashes the leading parts of the prompt, if the prompt is a string. Parses the body again, so
    /// that calls of models whose engines retain no prompts keep no copy of theirs.
    #[must_use]
    pub fn prompt_prefixes(&self) -> Option<PromptPrefixes> {
        let fields: PromptField<'_> = serde_json::from_slice(&self.body).ok()?;
        Some(PromptPrefixes::of(fields.prompt.as_bytes()))
    }
}

fn with_streaming(body: &[u8]) -> Result<Bytes, Problem> {
    let mut value: Value = serde_json::from_slice(body).map_err(|e| malformed(&e))?;
    value["stream"] = Value::Bool(true);
    let text = serde_json::to_vec(&value).map_err(|e| malformed(&e))?;
    Ok(text.into())
}

fn malformed(error: &serde_json::Error) -> Problem {
    Problem::bad_request(format_smolstr!("malformed body: {error}"))
}
