//! What servers have told this entry in their answers: that they leave, or want nothing for a
//! while. It binds this entry whatever the list of servers says.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp, WallTime};

/// Time for which a server's word is remembered, also when the list no longer has the server.
const RETENTION: Duration = Duration::from_mins(10);

/// Longest wait that a server may ask for.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// Whether a server may be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may.
    Available,
    /// Not before this time has passed.
    PausedFor(Duration),
    /// Never again in this life.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default)]
struct Signal {
    born: WallTime,
    leaving: bool,
    paused_until: Timestamp,
    updated: Timestamp,
}

/// The latest word of each server.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    known: BTreeMap<MemberId, Signal>,
}

impl Signals {
    /// Notes that the server `id`, started at `born`, leaves.
    pub fn mark_leaving(&mut self, id: &MemberId, born: WallTime, now: Timestamp) {
        self.refreshed(id, born, now).leaving = true;
    }

    /// Notes that it wants nothing for `after`.
    pub fn mark_paused(&mut self, id: &MemberId, born: WallTime, after: Duration, now: Timestamp) {
        let signal = self.refreshed(id, born, now);
        signal.paused_until = signal.paused_until.max(now + after.min(MAX_PAUSE));
    }

    fn refreshed(&mut self, id: &MemberId, born: WallTime, now: Timestamp) -> &mut Signal {
        self.known.retain(|_, s| now.since(s.updated) < RETENTION);
        let signal = self.known.entry(id.clone()).or_default();
        if signal.born != born {
            *signal = Signal::default();
        }
        signal.born = born;
        signal.updated = now;
        signal
    }

    /// Whether the server `id`, started at `born`, may be sent a request.
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
