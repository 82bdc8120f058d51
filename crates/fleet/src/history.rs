//! Texts that were in force of late, from which others may have to be brought up to date.

use std::collections::VecDeque;

use apricothall_decide::delta::{Patch, diff};
use apricothall_types::Digest;
use smol_str::SmolStr;

/// Texts kept.
const MAX_TEXTS: usize = 8;

/// Bytes of all texts kept together.
const MAX_BYTES: usize = 4 << 20;

/// The last texts in force, the newest last.
#[derive(Debug, Default)]
pub struct History {
    texts: VecDeque<(Digest, SmolStr)>,
}

impl History {
    /// Adds the text that came into force.
    pub fn push(&mut self, digest: Digest, text: SmolStr) {
        self.texts.push_back((digest, text));
        while self.texts.len() > MAX_TEXTS || (self.texts.len() > 1 && self.bytes() > MAX_BYTES) {
            self.texts.pop_front();
        }
    }

    /// The patch from the text with digest `base` to the newest, unless that one is shorter.
    #[must_use]
    pub fn patch(&self, base: Digest) -> Option<Patch> {
        let (_, old) = self.texts.iter().find(|(digest, _)| *digest == base)?;
        let (_, new) = self.texts.back()?;
        let patch = diff(old, new);
        (patch.literal_bytes() < new.len()).then_some(patch)
    }

    fn bytes(&self) -> usize {
        self.texts.iter().map(|(_, text)| text.len()).sum()
    }
}
