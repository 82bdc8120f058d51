//! Which entries send to a limited server, and the part of the limit that each of them uses.
//!
//! All entries choose the same few senders: those nearest to the server first, then by rendezvous
//! hash. Their number grows with the limit, so that their bursts together stay within what a server
//! tolerates ([`Tolerance`]), even while [`TOLERATED_EXTRA`] further entries take themselves for
//! senders because their views of the other entries differ.

use std::time::Duration;

use apricothall_types::quota::{MILLI, NANOS};
use apricothall_types::{MemberId, Quota, Region, Zone};

use crate::placement::Distance;
use crate::rank;

/// Window over which a server counts requests against the limit that it names.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Window over which the requests to a cold server are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Part of the limit that is used, in percent. The rest covers entries with different views.
const USED_PERCENT: u64 = 80;

/// Rate at which requests are sent even if the limit is lower, to learn when it ends.
const MIN_RATE: Quota = Quota(200);

/// Number of senders of a server that names a limit below one request per second.
const MIN_SENDERS: u64 = 3;

/// Number of entries that may send in addition to the chosen ones.
pub(super) const TOLERATED_EXTRA: u64 = 2;

/// Time for which a sender accumulates its rate, in addition to one request.
const BURST_TIME: Duration = Duration::from_secs(1);

/// How the number of senders of a server depends on its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SenderCount {
    /// [`MIN_SENDERS`] and one more for each whole request per second of the limit.
    ByLimit,
    /// The largest number that the tolerance permits.
    ByTolerance,
}

/// Requests beyond a limit that are tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    window: Duration,
    /// Requests tolerated in a window for each of those that the limit allows, in thousandths.
    ratio: u64,
    /// Requests tolerated in a window in addition, in thousandths.
    extra: u64,
    count: SenderCount,
}

impl Tolerance {
    /// Tolerance of the limits that servers name.
    pub const NAMED: Self = Self {
        window: WINDOW,
        ratio: 1_500,
        extra: 5 * MILLI,
        count: SenderCount::ByLimit,
    };

    /// Tolerance of the limits of cold servers, unless the settings state another one.
    pub const COLD: Self = Self::for_cold(1_500, 5 * MILLI);

    /// Tolerance of the limits of cold servers: requests in a second for each of those that the
    /// limit allows, and in addition, both in thousandths.
    #[must_use]
    pub const fn for_cold(ratio: u64, extra: u64) -> Self {
        Self {
            window: COLD_WINDOW,
            ratio,
            extra,
            count: SenderCount::ByTolerance,
        }
    }

    /// Window over which requests are counted.
    #[must_use]
    pub const fn window(&self) -> Duration {
        self.window
    }

    /// Requests tolerated in a window, in thousandths.
    #[must_use]
    pub fn tolerated(&self, limit: Quota) -> u64 {
        let allowed = thousandths(limit.over(self.window), self.ratio);
        allowed.saturating_add(self.extra)
    }
}

/// An entry that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Id of the entry.
    pub id: MemberId,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Region of its VM.
    pub region: Region,
}

impl Sender {
    fn distance(&self, place: &Place) -> Distance {
        if self.zone == place.zone {
            return Distance::Zone;
        }
        if place.region.as_ref() == Some(&self.region) {
            return Distance::Region;
        }
        Distance::Far
    }
}

/// Location of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Region of its VM, if it is known.
    pub region: Option<Region>,
}

/// Part of a limit that one entry uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Requests per second.
    pub rate: Quota,
    /// Requests that may be sent at once, in thousandths.
    pub burst: u64,
}

impl Share {
    /// Requests that may be sent within `window`, at least one.
    #[must_use]
    pub fn requests_in(&self, window: Duration) -> u64 {
        let most = self.burst.saturating_add(self.rate.over(window));
        (most / MILLI).max(1)
    }
}

/// Rate that all senders of a server with this limit use together.
#[must_use]
pub fn used_rate(limit: Quota) -> Quota {
    Quota(percent(limit.0, USED_PERCENT)).max(MIN_RATE)
}

/// Share of the entry `own` in the limit that `server` names; `None` if it is not one of the
/// senders. `entries` are all entries that it knows, including itself.
#[must_use]
pub fn share_of(
    own: &MemberId,
    server: &MemberId,
    place: &Place,
    limit: Quota,
    entries: &[Sender],
) -> Option<Share> {
    let before = entries_before(own, server, place, entries)?;
    share_at(before, limit, &Tolerance::NAMED, entries.len())
}

/// Share of the entry that `before` others precede in the order of senders, of `known` entries;
/// `None` if it is not one of the senders.
#[must_use]
pub fn share_at(before: u64, limit: Quota, tolerance: &Tolerance, known: usize) -> Option<Share> {
    let known = u64::try_from(known).unwrap_or(u64::MAX);
    let division = match tolerance.count {
        SenderCount::ByLimit => Division::by_limit(limit, known),
        SenderCount::ByTolerance => Division::by_tolerance(limit, tolerance, known),
    };
    (before < division.count).then(|| division.share(limit, tolerance))
}

/// Number of entries that precede `own` in the order of senders; `None` if it is not in the list.
#[must_use]
pub fn entries_before(
    own: &MemberId,
    server: &MemberId,
    place: &Place,
    entries: &[Sender],
) -> Option<u64> {
    let subject = server.as_str().as_bytes();
    let own = entries.iter().find(|e| e.id == *own)?;
    let distance = own.distance(place);
    let weight = (rank::weight(subject, &own.id), &own.id);
    let mut before = 0;
    for other in entries {
        let nearer = match other.distance(place).cmp(&distance) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => (rank::weight(subject, &other.id), &other.id) > weight,
            std::cmp::Ordering::Greater => false,
        };
        before += u64::from(nearer);
    }
    Some(before)
}

/// Division of a limit among its senders.
struct Division {
    count: u64,
    /// Rate of all senders together.
    total: Quota,
    /// Number of further entries that may send.
    extra: u64,
}

impl Division {
    fn by_limit(limit: Quota, known: u64) -> Self {
        let count = MIN_SENDERS.saturating_add(limit.0 / MILLI).min(known);
        Self {
            count,
            total: used_rate(limit),
            extra: TOLERATED_EXTRA.min(count),
        }
    }

    /// Chooses the number of senders that uses the most of the limit, and of several the largest.
    fn by_tolerance(limit: Quota, tolerance: &Tolerance, known: u64) -> Self {
        let used = used_rate(limit);
        let tolerated = tolerance.tolerated(limit);
        let window = tolerance.window.as_nanos().max(1);
        let total = |count: u64| {
            let each = tolerated / (count + TOLERATED_EXTRA.min(count));
            // A sender may send one request at once, and the others at its rate.
            let accrued = u128::from(each.saturating_sub(MILLI));
            let rate = accrued * NANOS / window * u128::from(count);
            Quota(u64::try_from(rate).unwrap_or(u64::MAX)).min(used)
        };
        let most = (tolerated / MILLI).clamp(1, known.max(1));
        let choices = (1..=most).map(|count| (total(count), count));
        let (total, count) = choices.max().unwrap_or((used, 1));
        Self {
            count,
            total: total.max(MIN_RATE),
            extra: TOLERATED_EXTRA.min(count),
        }
    }

    /// Share of each sender.
    fn share(&self, limit: Quota, tolerance: &Tolerance) -> Share {
        let count = self.count;
        let rate = Quota(self.total.0 / count);
        let tolerated = u128::from(tolerance.tolerated(limit));
        let for_senders = tolerated * u128::from(count) / u128::from(count + self.extra);
        let for_senders = u64::try_from(for_senders).unwrap_or(u64::MAX);
        let bursts = for_senders.saturating_sub(self.total.over(tolerance.window));
        let accumulated = rate.over(BURST_TIME).saturating_add(MILLI);
        let burst = (bursts / count).min(accumulated).max(MILLI);
        Share { rate, burst }
    }
}

fn thousandths(value: u64, ratio: u64) -> u64 {
    let product = u128::from(value) * u128::from(ratio) / u128::from(MILLI);
    u64::try_from(product).unwrap_or(u64::MAX)
}

fn percent(value: u64, percent: u64) -> u64 {
    thousandths(value, percent.saturating_mul(10))
}
