//! The order of published values.

use apricothall_types::{Digest, Revision};
use serde::{Deserialize, Serialize};

/// Identity of a published value.
///
/// Ordered by revision, then by digest: of two values with the same revision, all members keep the
/// one with the higher digest, regardless of the order in which they receive them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Revision of the value.
    pub revision: Revision,
    /// Digest of the value's bytes.
    pub digest: Digest,
}

impl Stamp {
    /// Digest prefix that members exchange. It has the same order as the digest.
    #[must_use]
    pub fn mark(&self) -> u64 {
        let mut head = [0_u8; 8];
        head.copy_from_slice(&self.digest.0[..8]);
        u64::from_be_bytes(head)
    }

    /// Revision and digest prefix.
    #[must_use]
    pub fn head(&self) -> (Revision, u64) {
        (self.revision, self.mark())
    }
}
