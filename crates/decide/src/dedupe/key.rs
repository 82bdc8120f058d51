//! Identity of a call and of its home.

use std::fmt;
use std::time::Duration;

use apricothall_types::{CallerId, Digest, EntryName, IdempotencyKey, Incarnation, MemberId};
use apricothall_types::{Timestamp, WallTime};
use serde::{Deserialize, Serialize};

/// One reading of both clocks of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Monotonic clock, which includes time for which the process was suspended.
    pub now: Timestamp,
    /// Wall clock.
    pub wall: WallTime,
}

impl ClockReading {
    /// Latest start of an order that is read now with `remaining` time left and whose sender gives
    /// `wall` as the deadline.
    ///
    /// The order may have been buffered while this process was suspended, so the deadline on the
    /// sender's wall clock applies too, within `skew`.
    #[must_use]
    pub fn deadline(self, remaining: Duration, wall: WallTime, skew: Duration) -> Timestamp {
        let skew = u64::try_from(skew.as_millis()).unwrap_or(u64::MAX);
        let end = wall.0.saturating_add(skew);
        let left = Duration::from_millis(end.saturating_sub(self.wall.0));
        self.now + remaining.min(left)
    }
}

/// The only daemon that may run a call: one incarnation of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Home {
    /// Agent id.
    pub id: MemberId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
}

/// Digest of the catalogue entry, the caller and the caller's idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallKey(pub Digest);

impl CallKey {
    /// Creates the key of a call. Keys of different callers or catalogue entries never collide.
    #[must_use]
    pub fn new(name: &EntryName, caller: &CallerId, key: &IdempotencyKey) -> Self {
        let parts = [name.as_str(), caller.as_str(), key.as_str()];
        Self(digest_of(parts.map(str::as_bytes)))
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Digest of a call's content. Equal calls of one caller have equal fingerprints.
#[must_use]
pub fn fingerprint(caller: &CallerId, method: &str, path: &str, body: &[u8]) -> Digest {
    let caller = caller.as_str().as_bytes();
    digest_of([caller, method.as_bytes(), path.as_bytes(), body])
}

fn digest_of<const N: usize>(parts: [&[u8]; N]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Digest(*hasher.finalize().as_bytes())
}
