//! Chunk fetches: sources, results, in-flight state and source back-off.

use std::time::Duration;

use apricothall_types::{ChunkIndex, Digest, Manifest, MemberId, Timestamp};

use super::Transfer;

/// Weight of the previous value in a moving average, out of [`TOTAL_WEIGHT`].
const PAST_WEIGHT: u64 = 7;

/// Sum of the weights of a moving average.
const TOTAL_WEIGHT: u64 = 8;

/// A fetch times out after this multiple of the average fetch time, if that is longer than the
/// configured timeout.
const TIMEOUT_FACTOR: u64 = 8;

/// Maximum number of times that the back-off of the store or the origin doubles.
const MAX_DOUBLINGS: u32 = 8;

/// Upper bound on the consecutive failures that count towards the cost of a peer.
const MAX_COUNTED_FAILURES: u64 = 100;

/// Source of a chunk or manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The rate-limited weight store.
    Store,
    /// The origin server of the weights.
    Origin,
    /// Another agent.
    Peer(MemberId),
}

/// Action for the caller to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fetch the manifest and report it once its digest is checked. A failure needs no report.
    Manifest {
        /// Source to fetch from.
        source: Source,
    },
    /// Fetch a chunk and report either the verified chunk or the failure.
    Fetch {
        /// Index of the chunk.
        chunk: ChunkIndex,
        /// Source to fetch from.
        source: Source,
        /// Time after which the planner cancels the fetch.
        timeout: Duration,
    },
    /// Cancel a fetch. Its result needs no report.
    Cancel {
        /// Index of the chunk.
        chunk: ChunkIndex,
        /// Source that it is being fetched from.
        source: Source,
    },
    /// Request the bitmap of a peer.
    RequestBitmap(MemberId),
}

/// Reason why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The received bytes do not match the digest.
    Corrupt,
    /// The connection failed or timed out.
    Lost,
    /// The source is busy and may be retried after this time.
    Busy(Duration),
}

/// Proof that the bytes of a chunk match the manifest of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verified {
    version: Digest,
    chunk: ChunkIndex,
}

impl Verified {
    /// Verifies `bytes` against the digest of the chunk and returns `None` if they differ.
    ///
    /// `manifest` must be the checked manifest of `version`.
    #[must_use]
    pub fn check(
        version: Digest,
        manifest: &Manifest,
        chunk: ChunkIndex,
        bytes: &[u8],
    ) -> Option<Self> {
        let is_same = manifest.digest(chunk)? == Digest::of(bytes);
        is_same.then_some(Self { version, chunk })
    }

    /// Digest of the version's manifest.
    #[must_use]
    pub fn version(&self) -> Digest {
        self.version
    }

    /// Index of the chunk.
    #[must_use]
    pub fn chunk(&self) -> ChunkIndex {
        self.chunk
    }
}

/// A fetch in progress.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub chunk: ChunkIndex,
    pub source: Source,
    pub since: Timestamp,
    pub deadline: Timestamp,
    pub hedged: bool,
}

/// Availability of the store or the origin.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SourceHealth {
    /// Earliest time of the next request.
    pub retry_at: Timestamp,
    /// Consecutive failures.
    pub failures: u32,
}

impl Transfer {
    /// Records a fetch as in flight and emits its action.
    pub(super) fn start_fetch(
        &mut self,
        chunk: ChunkIndex,
        source: Source,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let typical =
            Duration::from_nanos(self.typical_nanos(&source).saturating_mul(TIMEOUT_FACTOR));
        let timeout = self.config.timeout.0.max(typical);
        self.in_flight.push(InFlight {
            chunk,
            source: source.clone(),
            since: now,
            deadline: now + timeout,
            hedged: false,
        });
        if let Some(at) = self.peer_index(&source) {
            self.peers[at].in_flight += 1;
        }
        actions.push(Action::Fetch {
            chunk,
            source,
            timeout,
        });
    }

    /// Removes a fetch from those in flight and returns it, if there was one.
    pub(super) fn finish(&mut self, chunk: ChunkIndex, source: &Source) -> Option<InFlight> {
        let mut fetches = self.in_flight.iter();
        let at = fetches.position(|f| f.chunk == chunk && f.source == *source)?;
        if let Some(peer) = self.peer_index(source) {
            let in_flight = &mut self.peers[peer].in_flight;
            *in_flight = in_flight.saturating_sub(1);
        }
        Some(self.in_flight.swap_remove(at))
    }

    /// Suspends requests to a source for `pause`.
    ///
    /// The pause of the store and of the origin doubles with each consecutive failure, so that
    /// one which keeps refusing does not prevent the use of the other.
    pub(super) fn back_off(&mut self, source: &Source, pause: Duration, now: Timestamp) {
        let longest = self.config.ban.0.max(pause);
        let health = match source {
            Source::Store => &mut self.store,
            Source::Origin => &mut self.origin,
            Source::Peer(id) => {
                if let Some(at) = self.index(id) {
                    let peer = &mut self.peers[at];
                    peer.retry_at = peer.retry_at.max(now + pause);
                    peer.failures = (peer.failures + 1).min(MAX_COUNTED_FAILURES);
                }
                return;
            }
        };
        let longer = pause.saturating_mul(1 << health.failures).min(longest);
        health.retry_at = health.retry_at.max(now + longer);
        health.failures = (health.failures + 1).min(MAX_DOUBLINGS);
    }

    /// Resets the failure count of a source after a successful fetch.
    pub(super) fn reset_failures(&mut self, source: &Source) {
        match source {
            Source::Store => self.store.failures = 0,
            Source::Origin => self.origin.failures = 0,
            Source::Peer(id) => {
                if let Some(at) = self.index(id) {
                    self.peers[at].failures = 0;
                }
            }
        }
    }

    /// Updates the moving averages with the duration of a finished fetch.
    pub(super) fn record_duration(&mut self, fetch: &InFlight, now: Timestamp) {
        let taken = u64::try_from(now.since(fetch.since).as_nanos()).unwrap_or(u64::MAX);
        let is_near = self.is_near(&fetch.source);
        let time = if is_near {
            &mut self.near_nanos
        } else {
            &mut self.far_nanos
        };
        *time = smooth(*time, taken);
        if let Some(at) = self.peer_index(&fetch.source) {
            self.peers[at].fetch_nanos = smooth(self.peers[at].fetch_nanos, taken);
        }
    }

    /// Returns the average duration of a fetch in nanoseconds, or zero before the first one.
    pub(super) fn typical_nanos(&self, source: &Source) -> u64 {
        if self.is_near(source) {
            self.near_nanos
        } else {
            self.far_nanos
        }
    }

    /// Cancels fetches that are past their deadline, whose chunk is already held, or whose peer
    /// has left the view.
    pub(super) fn cancel_expired(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let is_removed = |s: &Source| matches!(s, Source::Peer(id) if self.index(id).is_none());
        let over: Vec<_> = self
            .in_flight
            .iter()
            .filter(|f| now >= f.deadline || self.held.contains(f.chunk) || is_removed(&f.source))
            .cloned()
            .collect();
        for fetch in over {
            let (chunk, source) = (fetch.chunk, fetch.source);
            self.finish(chunk, &source);
            if now >= fetch.deadline {
                self.back_off(&source, self.config.down.0, now);
            }
            actions.push(Action::Cancel { chunk, source });
        }
    }

    fn peer_index(&self, source: &Source) -> Option<usize> {
        let Source::Peer(id) = source else {
            return None;
        };
        self.index(id)
    }
}

fn smooth(past: u64, sample: u64) -> u64 {
    if past == 0 {
        return sample;
    }
    (past / TOTAL_WEIGHT * PAST_WEIGHT).saturating_add(sample / TOTAL_WEIGHT)
}
