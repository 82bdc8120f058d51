//! Who reads from the service, and when.

use apricothall_types::{Member, MemberId, Timestamp, Zone};
use rand::Rng;

use crate::configs::RevisionConfig;
use crate::rank;

/// Doublings after which the backoff has certainly reached its bound.
const MAX_DOUBLINGS: u32 = 16;

/// Outcome of a read of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poll {
    /// It answered with a value, or that none is newer.
    Answered,
    /// It answered with a value older than the one in force.
    Stale,
    /// It did not answer, or refused.
    Failed,
}

/// Reads of one subject by one process.
#[derive(Clone, Debug, Default)]
pub(super) struct Polls {
    last: Option<Timestamp>,
    failures: u32,
    asked: bool,
}

impl Polls {
    pub fn started(&mut self, now: Timestamp) {
        self.last = Some(now);
    }

    pub fn ended(&mut self, poll: Poll) {
        self.asked = true;
        self.failures = match poll {
            Poll::Answered => 0,
            Poll::Stale | Poll::Failed => self.failures.saturating_add(1),
        };
    }

    /// Whether the service was asked, with whatever outcome.
    pub fn asked(&self) -> bool {
        self.asked
    }

    pub fn next(
        &self,
        config: &RevisionConfig,
        reader: bool,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Timestamp {
        let Some(last) = self.last else {
            return now;
        };
        if !reader && self.asked {
            return last + config.fallback.0.mul_f64(rng.random_range(1.0..1.5));
        }
        let gap = config.gap.0;
        if self.failures == 0 {
            return last + gap;
        }
        let full = gap * (1 << self.failures.min(MAX_DOUBLINGS));
        let bounded = full.min(config.backoff.0).max(gap);
        // Jitter only lengthens: the gap bounds the reads of a fleet whose members all fail.
        let spread = bounded.saturating_sub(gap);
        last + gap + spread.mul_f64(rng.random_range(0.0..=1.0))
    }
}

/// Whether `own` is a reader of `subject`: among the first `count` of its zone by rendezvous hash.
///
/// `view` holds the live members; members of other zones are skipped. A member that sees no
/// other is a reader.
#[must_use]
pub fn is_reader<'a>(
    subject: &str,
    own: (&MemberId, &Zone),
    view: impl IntoIterator<Item = &'a Member>,
    count: usize,
) -> bool {
    let (id, zone) = own;
    let weight = rank::weight(subject.as_bytes(), id);
    let ahead = view
        .into_iter()
        .filter(|m| m.zone == *zone && m.is_alive() && m.id != *id)
        .filter(|m| (rank::weight(subject.as_bytes(), &m.id), &m.id) > (weight, id));
    ahead.take(count).count() < count
}
