//! The catalogue: the desired state that operators publish and apricothall establishes.
//!
//! The configuration service stores it as TOML. Every daemon and `apricotctl check` use the same
//! parser and validation, so a revision is accepted everywhere or nowhere.

use std::collections::BTreeSet;
use std::fmt;
use std::num::NonZeroU32;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::{CallerId, Digest, EntryName, Interval, MemberId, Owner, Version};

/// Maximum size of a catalogue in bytes: the largest value of the configuration service.
pub const MAX_CATALOGUE_BYTES: usize = 1 << 20;

/// Why a catalogue is rejected as a whole.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CatalogueError {
    /// The text exceeds [`MAX_CATALOGUE_BYTES`].
    #[error("the catalogue has {found} bytes, more than {MAX_CATALOGUE_BYTES}")]
    TooLarge {
        /// Size found, in bytes.
        found: usize,
    },
    /// The text is not valid TOML or does not follow the documented schema.
    #[error("line {line}: {reason}")]
    Syntax {
        /// Line of the error, starting at 1.
        line: usize,
        /// What is wrong and what would be valid.
        reason: SmolStr,
    },
    /// An entry is inconsistent in itself or with another one.
    #[error("line {line}: entry {name}: {reason}")]
    Entry {
        /// First line of the entry, counted from 1.
        line: usize,
        /// Name of the entry.
        name: EntryName,
        /// What is wrong and what would be valid.
        reason: SmolStr,
    },
}

/// Type of a catalogue entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A model that engines load.
    Model,
    /// A plain service, which is not a model engine.
    Service,
}

/// Priority class of an entry's requests. A request may ask for a lower class than its entry's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Background work that may wait.
    Batch,
    /// Requests that a person waits for.
    #[default]
    Interactive,
    /// Short urgent requests such as hazard summaries; never shed.
    Critical,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Batch => "batch",
            Self::Interactive => "interactive",
            Self::Critical => "critical",
        })
    }
}

/// What a transfer of the entry's weights minimizes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransferObjective {
    /// Bytes downloaded from the origin and over links between regions.
    #[default]
    Bytes,
    /// Time until the replicas serve.
    Time,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name of the version.
    pub version: Version,
    /// Digest of the version's manifest.
    pub manifest: Digest,
}

/// Limits on the requests for one entry, over all entry VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests per second.
    pub rate: NonZeroU32,
    /// Burst size: requests accepted at once above the rate.
    pub burst: NonZeroU32,
    /// Requests per second of a caller that is not listed by name.
    pub caller: NonZeroU32,
}

/// Requests per second of an entry that states no limit.
const DEFAULT_RATE: NonZeroU32 = NonZeroU32::new(1_000).unwrap();

/// Burst size of an entry that states none.
const DEFAULT_BURST: NonZeroU32 = NonZeroU32::new(200).unwrap();

/// Requests per second of a caller of an entry that states no limit for callers.
const DEFAULT_CALLER: NonZeroU32 = NonZeroU32::new(200).unwrap();

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate: DEFAULT_RATE,
            burst: DEFAULT_BURST,
            caller: DEFAULT_CALLER,
        }
    }
}

/// Limit of one caller that differs from the entry's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimit {
    /// The caller.
    pub caller: CallerId,
    /// Requests per second.
    pub rate: NonZeroU32,
}

/// Least memory for prompts in tokens: the shortest prefix that entries recognize.
const MIN_CACHED_TOKENS: u32 = 64;

/// States that the engines of a model retain prompts after their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptCache {
    /// Time after its last use for which a prompt is retained.
    pub retention: Interval,
    /// Prompt tokens that one engine retains; later prompts displace earlier ones.
    pub tokens: NonZeroU32,
}

/// A model or plain service with its owner, class and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueEntry {
    /// Name that callers use for it.
    pub name: EntryName,
    /// Model or plain service.
    pub kind: EntryKind,
    /// Owner of the entry.
    pub owner: Owner,
    /// Priority class of its requests.
    #[serde(default)]
    pub class: Class,
    /// Version to serve; models only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Version>,
    /// Known versions; models only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<ModelVersion>,
    /// VMs that should serve it.
    pub replicas: NonZeroU32,
    /// Replicas in a zone that may reload at the same time.
    #[serde(default = "default_window")]
    pub window: NonZeroU32,
    /// Whether a call may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Whether its backend servers reject an order with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// What a transfer minimizes first.
    #[serde(default)]
    pub weighting: TransferObjective,
    /// Agents that may run calls that are not repeatable.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pool: Vec<MemberId>,
    /// What its engines retain of prompts; models only. Absent if they retain nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_cache: Option<PromptCache>,
    /// Limits on its requests.
    #[serde(default)]
    pub limits: Limits,
    /// Limits of callers by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub callers: Vec<CallerLimit>,
}

fn default_window() -> NonZeroU32 {
    NonZeroU32::MIN
}

fn default_repeatable() -> bool {
    true
}

impl CatalogueEntry {
    /// The version to serve, with the digest of its manifest.
    #[must_use]
    pub fn current(&self) -> Option<&ModelVersion> {
        let current = self.current.as_ref()?;
        self.versions.iter().find(|v| v.version == *current)
    }

    /// First inconsistency in the entry, as a message for operators.
    fn first_error(&self) -> Option<SmolStr> {
        match self.kind {
            EntryKind::Model => self.model_error(),
            EntryKind::Service => self.service_error(),
        }
    }

    fn model_error(&self) -> Option<SmolStr> {
        let Some(current) = &self.current else {
            return Some("a model needs `current`, the version to serve".into());
        };
        if self.current().is_none() {
            return Some(format_smolstr!(
                "current version {current} is not under `versions`"
            ));
        }
        if !self.pool.is_empty() {
            return Some("`pool` is for services whose calls are not repeatable".into());
        }
        if let Some(error) = self.prompt_cache_error() {
            return Some(error);
        }
        let mut seen = BTreeSet::new();
        let duplicate = self.versions.iter().find(|v| !seen.insert(&v.version))?;
        Some(format_smolstr!(
            "version {} is listed twice",
            duplicate.version
        ))
    }

    fn prompt_cache_error(&self) -> Option<SmolStr> {
        let cache = self.prompt_cache?;
        if cache.retention.0 == Duration::ZERO {
            return Some("`prompt_cache` needs a `retention` above 0, or must be absent".into());
        }
        (cache.tokens.get() < MIN_CACHED_TOKENS).then(|| {
            format_smolstr!(
                "`prompt_cache` has {} tokens; entries recognize prefixes from {MIN_CACHED_TOKENS} on",
                cache.tokens
            )
        })
    }

    fn service_error(&self) -> Option<SmolStr> {
        if self.current.is_some() || !self.versions.is_empty() {
            return Some("a service has neither `current` nor `versions`".into());
        }
        if self.prompt_cache.is_some() {
            return Some("`prompt_cache` is for models; a service has no prompts".into());
        }
        if !self.repeatable && self.pool.is_empty() {
            return Some("a service with `repeatable = false` needs a `pool` of agents".into());
        }
        let mut seen = BTreeSet::new();
        let duplicate = self.pool.iter().find(|id| !seen.insert(*id))?;
        Some(format_smolstr!("agent {duplicate} is in the pool twice"))
    }
}

/// All entries of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Catalogue {
    /// The entries, in the order published.
    pub entries: Vec<CatalogueEntry>,
}

/// TOML schema of the catalogue. Keeps the position of each entry for error messages.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CatalogueText {
    #[serde(default)]
    entries: Vec<toml::Spanned<CatalogueEntry>>,
}

impl Catalogue {
    /// Parses and validates a catalogue.
    ///
    /// # Errors
    /// The first error with its line. No part of an invalid catalogue is used.
    pub fn parse(text: &str) -> Result<Self, CatalogueError> {
        let found = text.len();
        if found > MAX_CATALOGUE_BYTES {
            return Err(CatalogueError::TooLarge { found });
        }
        let parsed: CatalogueText = toml::from_str(text).map_err(|e| CatalogueError::Syntax {
            line: e.span().map_or(1, |span| line_of(text, span.start)),
            reason: SmolStr::new(e.message()),
        })?;
        let mut names = BTreeSet::new();
        for entry in &parsed.entries {
            let value = entry.get_ref();
            let duplicate = !names.insert(value.name.clone());
            let error = duplicate
                .then(|| "the name is used twice".into())
                .or_else(|| value.first_error());
            if let Some(reason) = error {
                let line = line_of(text, entry.span().start);
                return Err(CatalogueError::Entry {
                    line,
                    name: value.name.clone(),
                    reason,
                });
            }
        }
        let entries = parsed
            .entries
            .into_iter()
            .map(toml::Spanned::into_inner)
            .collect();
        Ok(Self { entries })
    }

    /// Serializes the catalogue; [`Catalogue::parse`] restores an equal value.
    ///
    /// # Errors
    /// When a value cannot be written as TOML, which does not occur for a parsed catalogue.
    pub fn to_text(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }

    /// The entry called `name`.
    #[must_use]
    pub fn entry(&self, name: &EntryName) -> Option<&CatalogueEntry> {
        self.entries.iter().find(|entry| entry.name == *name)
    }
}

/// Line of the byte at `offset`, starting at 1.
#[must_use]
pub fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}
