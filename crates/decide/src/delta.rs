//! Patches between two revisions of a published text.
//!
//! A new revision of the VM list or catalogue changes only a few of many entries. The text is split
//! into segments after each line break and closing brace. Runs of segments that occur in the older
//! text are encoded as a reference to it, all others as literal text.

use std::collections::HashMap;

use apricothall_types::Digest;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Largest text that a patch may produce, in bytes.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// Why a patch cannot be applied.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// A piece refers to bytes outside the older text.
    #[error("patch piece refers to bytes outside the older text")]
    Outside,
    /// The result would exceed the maximum size.
    #[error("patched text would exceed {MAX_TEXT_BYTES} bytes")]
    TooLong,
    /// The result is not the text that the patch was created for.
    #[error("digest of the patched text does not match")]
    Digest,
}

/// A part of the newer text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// A range of the older text.
    Copy {
        /// Offset of the first byte.
        start: u32,
        /// Number of bytes.
        length: u32,
    },
    /// Literal text.
    Text(SmolStr),
}

/// Instructions to build a newer text from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Digest of the newer text.
    pub digest: Digest,
    /// Parts of the newer text, in order.
    pub pieces: Vec<Piece>,
}

impl Patch {
    /// Number of bytes of literal text in the patch.
    #[must_use]
    pub fn literal_bytes(&self) -> usize {
        let texts = self.pieces.iter().map(|piece| match piece {
            Piece::Copy { .. } => 0,
            Piece::Text(text) => text.len(),
        });
        texts.sum()
    }
}

/// Creates the patch from `old` to `new`.
#[must_use]
pub fn diff(old: &str, new: &str) -> Patch {
    let offsets = segment_offsets(old);
    let mut builder = Builder::default();
    for segment in segments(new) {
        let next = builder
            .next_copy()
            .filter(|start| old[*start..].starts_with(segment));
        match next.or_else(|| offsets.get(segment).copied()) {
            Some(start) => builder.copy(start, segment.len()),
            None => builder.text.push_str(segment),
        }
    }
    builder.flush();
    Patch {
        digest: Digest::of(new.as_bytes()),
        pieces: builder.pieces,
    }
}

/// Applies `patch` to `old`.
///
/// # Errors
/// Returns an error if the patch was created for another text or is malformed.
pub fn apply(old: &str, patch: &Patch) -> Result<String, DeltaError> {
    let mut text = String::new();
    for piece in &patch.pieces {
        let part = match piece {
            Piece::Text(text) => text.as_str(),
            Piece::Copy { start, length } => range(old, *start, *length)?,
        };
        if text.len() + part.len() > MAX_TEXT_BYTES {
            return Err(DeltaError::TooLong);
        }
        text.push_str(part);
    }
    if Digest::of(text.as_bytes()) != patch.digest {
        return Err(DeltaError::Digest);
    }
    Ok(text)
}

fn range(old: &str, start: u32, length: u32) -> Result<&str, DeltaError> {
    let end = start.checked_add(length).ok_or(DeltaError::Outside)?;
    old.get(start as usize..end as usize)
        .ok_or(DeltaError::Outside)
}

fn segments(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(['\n', '}'])
}

/// Offset of the first occurrence of each segment.
fn segment_offsets(old: &str) -> HashMap<&str, usize> {
    let mut offsets = HashMap::new();
    let mut start = 0;
    for segment in segments(old) {
        offsets.entry(segment).or_insert(start);
        start += segment.len();
    }
    offsets
}

#[derive(Default)]
struct Builder {
    pieces: Vec<Piece>,
    text: String,
    run: Option<(usize, usize)>,
}

impl Builder {
    /// Offset in the older text at which the current run of copies ends.
    fn next_copy(&self) -> Option<usize> {
        self.run
            .filter(|_| self.text.is_empty())
            .map(|(start, length)| start + length)
    }

    fn copy(&mut self, start: usize, length: usize) {
        if self.next_copy() == Some(start) {
            if let Some(run) = &mut self.run {
                run.1 += length;
            }
            return;
        }
        self.flush();
        self.run = Some((start, length));
    }

    fn flush(&mut self) {
        if let Some((start, length)) = self.run.take() {
            // Texts are much shorter than 4 GiB; a longer one would fail the digest check.
            let narrow = |n| u32::try_from(n).unwrap_or(u32::MAX);
            self.pieces.push(Piece::Copy {
                start: narrow(start),
                length: narrow(length),
            });
        }
        if !self.text.is_empty() {
            let text = std::mem::take(&mut self.text);
            self.pieces.push(Piece::Text(text.into()));
        }
    }
}
