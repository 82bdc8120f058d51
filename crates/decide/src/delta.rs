//! Differences between two revisions of a published text.
//!
//! A revision of the VM list or catalogue changes a few entries of many. The text is cut into
//! segments after each line end and closing brace; runs of segments that the older text has are
//! named by their place there, all others are carried whole.

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
    /// A piece names bytes that the older text does not have.
    #[error("a piece lies outside the older text")]
    Outside,
    /// The text would exceed the largest permitted one.
    #[error("the text would exceed {MAX_TEXT_BYTES} bytes")]
    TooLong,
    /// The result is not the text that the patch was made for.
    #[error("the result has another digest")]
    Digest,
}

/// A part of the newer text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Bytes of the older text.
    Copy {
        /// Offset of the first byte.
        start: u32,
        /// Number of bytes.
        length: u32,
    },
    /// New text.
    Text(SmolStr),
}

/// How to make a newer text from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Digest of the newer text.
    pub digest: Digest,
    /// Its parts, in order.
    pub pieces: Vec<Piece>,
}

impl Patch {
    /// Bytes of new text that the patch carries.
    #[must_use]
    pub fn literal_bytes(&self) -> usize {
        let texts = self.pieces.iter().map(|piece| match piece {
            Piece::Copy { .. } => 0,
            Piece::Text(text) => text.len(),
        });
        texts.sum()
    }
}

/// The patch that makes `new` from `old`.
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

/// The text that `patch` makes from `old`.
///
/// # Errors
/// When the patch was made for another text or is malformed.
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
    /// Offset in the older text at which the present run of copies ends.
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
            // Texts are far shorter than 4 GiB; a longer one would fail its digest.
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
