//! Which entries send to a limited server, and the part of the limit that each of them uses.
//!
//! All entries choose the same few senders: those nearest to the server first, then by rendezvous
//! hash. Their number grows with the limit, so that their bursts together stay within what a server
//! tolerates, even while [`TOLERATED_EXTRA`] further entries take themselves for senders because
//! their views of the other entries differ.

use std::time::Duration;

use apricothall_types::quota::MILLI;
use apricothall_types::{MemberId, Quota, Region, Zone};

use crate::placement::Distance;
use crate::rank;

/// Window over which a server counts requests against its limit.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a server tolerates in a window for each of those that its limit allows, in percent.
const TOLERATED_PERCENT: u64 = 150;

/// Requests that a server tolerates in a window in addition, in thousandths.
const TOLERATED_BURST: u64 = 5 * MILLI;

/// Part of the limit that is used, in percent. The rest covers entries with different views.
const USED_PERCENT: u64 = 80;

/// Rate at which requests are sent even if the limit is lower, to learn when it ends.
const MIN_RATE: Quota = Quota(200);

/// Number of senders of a server with a limit below one request per second.
const MIN_SENDERS: u64 = 3;

/// Number of entries that may send in addition to the chosen ones.
const TOLERATED_EXTRA: u64 = 2;

/// Time for which a sender accumulates its rate, in addition to one request.
const BURST_TIME: Duration = Duration::from_secs(1);

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

/// Rate that all senders of a server with this limit use together.
#[must_use]
pub fn used_rate(limit: Quota) -> Quota {
    Quota(percent(limit.0, USED_PERCENT)).max(MIN_RATE)
}

/// Share of the entry `own` in the limit of `server`; `None` if it is not one of the senders.
/// `entries` are all entries that it knows, including itself.
#[must_use]
pub fn share_of(
    own: &MemberId,
    server: &MemberId,
    place: &Place,
    limit: Quota,
    entries: &[Sender],
) -> Option<Share> {
    let most = MIN_SENDERS.saturating_add(limit.0 / MILLI);
    let known = u64::try_from(entries.len()).unwrap_or(u64::MAX);
    let count = most.min(known);
    let before = entries_before(own, server, place, entries)?;
    (before < count).then(|| share_among(count, limit))
}

/// Number of entries that precede `own` in the order of senders; `None` if it is not in the list.
fn entries_before(
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

/// Share of each of `count` senders.
fn share_among(count: u64, limit: Quota) -> Share {
    let total = used_rate(limit);
    let rate = Quota(total.0 / count);
    let tolerated = TOLERATED_BURST.saturating_add(percent(limit.over(WINDOW), TOLERATED_PERCENT));
    let extra = TOLERATED_EXTRA.min(count);
    let for_senders = u128::from(tolerated) * u128::from(count) / u128::from(count + extra);
    let for_senders = u64::try_from(for_senders).unwrap_or(u64::MAX);
    let bursts = for_senders.saturating_sub(total.over(WINDOW));
    let accumulated = rate.over(BURST_TIME).saturating_add(MILLI);
    let burst = (bursts / count).min(accumulated).max(MILLI);
    Share { rate, burst }
}

fn percent(value: u64, percent: u64) -> u64 {
    let product = u128::from(value) * u128::from(percent) / 100;
    u64::try_from(product).unwrap_or(u64::MAX)
}
