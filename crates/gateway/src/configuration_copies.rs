//! Copies of the configuration for other daemons: compressed, and as a patch of the text that the
//! other daemon holds if that is known here.

use std::collections::HashMap;
use std::io::{self, Read};
use std::sync::{Mutex, MutexGuard, PoisonError};

use apricothall_decide::delta::{self, DeltaError};
use apricothall_fleet::history::History;
use apricothall_types::Digest;
use apricothall_wire::codec::{decode, encode};
use apricothall_wire::{PublishedText, WireError};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum size of an unpacked copy, in bytes.
const MAX_UNPACKED: u64 = 9 << 20;

/// A copy cannot be unpacked.
#[derive(Debug, Error)]
pub enum CopyError {
    /// The compressed data is invalid or too large.
    #[error("cannot decompress: {0}")]
    Compression(#[from] io::Error),
    /// The content is invalid.
    #[error(transparent)]
    Content(#[from] WireError),
    /// The patch does not apply to the text held here.
    #[error(transparent)]
    Patch(#[from] DeltaError),
    /// Another configuration has come into force meanwhile.
    #[error("another configuration has come into force")]
    Superseded,
}

/// The latest configurations, and the copies that were made of the newest one.
#[derive(Default)]
pub struct ConfigurationCopies {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    history: History,
    /// The newest text, with its digest.
    newest: Option<(Digest, SmolStr)>,
    /// Packed copies by the digest of the text that they are a patch of; `None` for the full text.
    packed: HashMap<Option<Digest>, Bytes>,
}

impl ConfigurationCopies {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the text of a configuration that came into force.
    pub fn push(&self, digest: Digest, text: SmolStr) {
        let mut state = self.state();
        state.packed.clear();
        state.newest = Some((digest, text.clone()));
        state.history.push(digest, text);
    }

    /// A packed copy of the newest configuration, which has the digest `newest`, for a daemon that
    /// holds the text with digest `base`.
    ///
    /// # Errors
    /// If it cannot be encoded, or is not the newest.
    pub fn pack(&self, newest: Digest, base: Option<Digest>) -> Result<Bytes, CopyError> {
        let mut state = self.state();
        let current = state.newest.clone().filter(|(digest, _)| *digest == newest);
        let (_, current) = current.ok_or(CopyError::Superseded)?;
        let patch = base.and_then(|base| state.history.patch(base));
        let base = base.filter(|_| patch.is_some());
        if let Some(packed) = state.packed.get(&base) {
            return Ok(packed.clone());
        }
        let text = match patch {
            Some(patch) => PublishedText::Patch(patch),
            None => PublishedText::Whole(current),
        };
        let packed = Bytes::from(compress(&encode(&text)?)?);
        state.packed.insert(base, packed.clone());
        Ok(packed)
    }
}

/// Restores the text of a packed copy; `held` is the text that it may be a patch of.
///
/// # Errors
/// If the copy is invalid, or a patch of another text.
pub fn unpack(packed: &[u8], held: &str) -> Result<SmolStr, CopyError> {
    match decode(&decompress(packed)?)? {
        PublishedText::Whole(text) => Ok(text),
        PublishedText::Patch(patch) => Ok(delta::apply(held, &patch)?.into()),
    }
}

fn compress(content: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(content, Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed)
}

fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    let decoder = DeflateDecoder::new(compressed);
    decoder.take(MAX_UNPACKED).read_to_end(&mut content)?;
    Ok(content)
}
