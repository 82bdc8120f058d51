//! Recent texts of a subject, from which patches for daemons with an older text are computed.

use std::collections::VecDeque;

use apricothall_decide::delta::{Patch, diff};
use apricothall_types::Digest;
use smol_str::SmolStr;

/// Maximum number of texts kept.
const MAX_TEXTS: usize = 8;

/// Maximum total size of the texts kept, in bytes. [`MIN_TEXTS`] are kept even if they are larger.
const MAX_BYTES: usize = 4 << 20;

/// Minimum number of texts kept: the newest one and the one that most daemons still hold.
const MIN_TEXTS: usize = 2;

/// The last texts in force, oldest first.
#[derive(Debug, Default)]
pub struct History {
    texts: VecDeque<(Digest, SmolStr)>,
}

impl History {
    /// Adds a text that came into force, and drops the oldest ones beyond the limits.
    pub fn push(&mut self, digest: Digest, text: SmolStr) {
        self.texts.push_back((digest, text));
        while self.texts.len() > MAX_TEXTS
            || (self.texts.len() > MIN_TEXTS && self.bytes() > MAX_BYTES)
        {
            self.texts.pop_front();
        }
    }

    /// Returns the patch from the text with digest `base` to the newest one. `None` if the base is
    /// not kept, or if the literal bytes of the patch are not fewer than those of the newest text.
    #[must_use]
    pub fn patch(&self, base: Digest) -> Option<Patch> {
        let (_, old) = self.texts.iter().find(|(digest, _)| *digest == base)?;
        let (_, new) = self.texts.back()?;
        let patch = diff(old, new);
        (patch.literal_bytes() < new.len()).then_some(patch)
    }

    /// Returns the total size of the texts.
    fn bytes(&self) -> usize {
        self.texts.iter().map(|(_, text)| text.len()).sum()
    }
}
