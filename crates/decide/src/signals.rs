//! What servers have told this entry in their answers: that they leave, or want nothing for a
//! while. It binds this entry whatever the list of servers says.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_types::{MemberId, Timestamp, WallTime};

/// Time for which a server's word is remembered, also when the list no longer has the server.
const KEEP: Duration = Duration::from_mins(10);

/// Longest wait that a server may ask for.
const LONGEST_HOLD: Duration = Duration::from_mins(5);

/// Whether a server may be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It may.
    Free,
    /// Not before this time has passed.
    For(Duration),
    /// Never again in this life.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default)]
struct Signal {
    born: WallTime,
    leaving: bool,
    until: Timestamp,
    heard: Timestamp,
}

/// The latest word of each server.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    known: BTreeMap<MemberId, Signal>,
}

impl Signals {
    /// Notes that the server `id`, started at `born`, leaves.
    pub fn leaves(&mut self, id: &MemberId, born: WallTime, now: Timestamp) {
        self.signal(id, born, now).leaving = true;
    }

    /// Notes that it wants nothing for `after`.
    pub fn pauses(&mut self, id: &MemberId, born: WallTime, after: Duration, now: Timestamp) {
        let signal = self.signal(id, born, now);
        signal.until = signal.until.max(now + after.min(LONGEST_HOLD));
    }

    fn signal(&mut self, id: &MemberId, born: WallTime, now: Timestamp) -> &mut Signal {
        self.known.retain(|_, s| now.since(s.heard) < KEEP);
        let signal = self.known.entry(id.clone()).or_default();
        if signal.born != born {
            *signal = Signal::default();
        }
        signal.born = born;
        signal.heard = now;
        signal
    }

    /// Whether the server `id`, started at `born`, may be sent a request.
    #[must_use]
    pub fn hold(&self, id: &MemberId, born: WallTime, now: Timestamp) -> Hold {
        let Some(signal) = self.known.get(id).filter(|s| s.born == born) else {
            return Hold::Free;
        };
        if signal.leaving {
            return Hold::Leaving;
        }
        if now < signal.until {
            return Hold::For(signal.until.since(now));
        }
        Hold::Free
    }
}
