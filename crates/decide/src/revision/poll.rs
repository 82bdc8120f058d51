//! Selection of the readers of the service, and the schedule of their reads.

use apricothall_types::{Member, MemberId, Timestamp, Zone};
use rand::Rng;

use crate::configs::RevisionConfig;
use crate::rank;

/// Limit on the backoff exponent; the backoff reaches its configured bound before that.
const MAX_DOUBLINGS: u32 = 16;

/// Outcome of a read of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poll {
    /// The service answered with a value, or that there is no newer one.
    Answered,
    /// The service answered with a value older than the one in force.
    Stale,
    /// The service did not answer or refused the read.
    Failed,
}

/// Read state of one subject in one process.
#[derive(Clone, Debug, Default)]
pub(super) struct Polls {
    last: Option<Timestamp>,
    failures: u32,
    has_finished: bool,
}

impl Polls {
    pub fn started(&mut self, now: Timestamp) {
        self.last = Some(now);
    }

    pub fn ended(&mut self, poll: Poll) {
        self.has_finished = true;
        self.failures = match poll {
            Poll::Answered => 0,
            Poll::Stale | Poll::Failed => self.failures.saturating_add(1),
        };
    }

    /// Whether any read of the service has finished, regardless of its outcome.
    pub fn has_finished(&self) -> bool {
        self.has_finished
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
        if !reader && self.has_finished {
            return last + config.fallback.0.mul_f64(rng.random_range(1.0..1.5));
        }
        let gap = config.gap.0;
        if self.failures == 0 {
            return last + gap;
        }
        let full = gap * (1 << self.failures.min(MAX_DOUBLINGS));
        let bounded = full.min(config.backoff.0).max(gap);
        // Jitter only lengthens the pause: the gap bounds the read rate when all members fail.
        let spread = bounded.saturating_sub(gap);
        last + gap + spread.mul_f64(rng.random_range(0.0..=1.0))
    }
}

/// Whether `own` is a reader of `subject`, that is, among the first `count` members of its zone by
/// rendezvous hashing.
///
/// `view` contains the live members; members of other zones are ignored. A member is a
/// reader if `view` contains no other members.
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
