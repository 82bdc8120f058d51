//! Signals in the responses of servers to this entry: a server is leaving, or requests a pause.
//! They take precedence over the published list of servers.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp, WallTime};

/// Time for which a signal is kept, even if the server is no longer listed.
const RETENTION: Duration = Duration::from_mins(10);

/// Longest pause that a server may request.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// Whether requests may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Requests may be sent.
    Available,
    /// No requests until this time has passed.
    PausedFor(Duration),
    /// No more requests until the server restarts.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default)]
struct Signal {
    born: WallTime,
    leaving: bool,
    paused_until: Timestamp,
    updated: Timestamp,
}

/// The latest signal of each server.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    known: BTreeMap<MemberId, Signal>,
}

impl Signals {
    /// Records that the server `id`, started at `born`, is leaving.
    pub fn mark_leaving(&mut self, id: &MemberId, born: WallTime, now: Timestamp) {
        self.refresh_signal(id, born, now).leaving = true;
    }

    /// Records that the server `id` requested a pause of the duration `after`.
    pub fn mark_paused(&mut self, id: &MemberId, born: WallTime, after: Duration, now: Timestamp) {
        let signal = self.refresh_signal(id, born, now);
        signal.paused_until = signal.paused_until.max(now + after.min(MAX_PAUSE));
    }

    fn refresh_signal(&mut self, id: &MemberId, born: WallTime, now: Timestamp) -> &mut Signal {
        self.known.retain(|_, s| now.since(s.updated) < RETENTION);
        let signal = self.known.entry(id.clone()).or_default();
        if signal.born != born {
            *signal = Signal::default();
        }
        signal.born = born;
        signal.updated = now;
        signal
    }

    /// Whether requests may be sent to the server `id`, started at `born`.
    #[must_use]
    pub fn availability(&self, id: &MemberId, born: WallTime, now: Timestamp) -> Availability {
        let Some(signal) = self.known.get(id).filter(|s| s.born == born) else {
            return Availability::Available;
        };
        if signal.leaving {
            return Availability::Leaving;
        }
        if now < signal.paused_until {
            return Availability::PausedFor(signal.paused_until.since(now));
        }
        Availability::Available
    }
}
