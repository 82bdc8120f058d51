//! Decides when a call without an answer is sent again on another connection.
//!
//! A connection may fall silent for good while others work. Bytes on other connections then say
//! nothing about this one; but on a busy link they are the reason for which its answer is late, and
//! a second copy would make all later. So a call is repeated if nothing at all is received, or if
//! calls that were sent after it have been answered: on a busy link answers come in turn. The first
//! call may still be answered.

use std::time::Duration;

use apricothall_types::Timestamp;

/// How long to wait for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Time for which the server may hold the answer to the first call back.
    pub hold: Duration,
    /// Time beyond that without a byte of an answer, after which the call may be repeated.
    pub idle: Duration,
    /// Time without a byte after a repetition, before the next decision.
    pub again: Duration,
    /// Maximum time for the complete answer, beyond `hold`.
    pub total: Duration,
}

/// What has been received so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Bytes of answers to this call and its repetitions.
    pub own: u64,
    /// Bytes of answers to all calls to the same server.
    pub all: u64,
    /// When the last of the calls that are answered was sent.
    pub answered: Timestamp,
}

/// What to do when a call has waited for [`CallRepeats::wait`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Continue to wait.
    Wait,
    /// Send the call again on another connection, and wait for both.
    Repeat,
    /// Give the call up: the server is silent.
    GiveUp,
}

/// State of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallRepeats {
    patience: Patience,
    sent: u32,
    last_sent: Timestamp,
    before: Received,
}

impl CallRepeats {
    /// State of a call that is about to be sent.
    #[must_use]
    pub const fn new(patience: Patience, received: Received, now: Timestamp) -> Self {
        Self {
            patience,
            sent: 1,
            last_sent: now,
            before: received,
        }
    }

    /// How long to wait for an answer before the next decision.
    #[must_use]
    pub fn wait(&self) -> Duration {
        if self.sent == 1 {
            return self.patience.hold + self.patience.idle;
        }
        self.patience.again
    }

    /// Maximum time in all.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.patience.hold + self.patience.total
    }

    /// Decides what to do after [`Self::wait`] without a complete answer.
    pub fn next(&mut self, received: Received, now: Timestamp) -> Next {
        let before = std::mem::replace(&mut self.before, received);
        if received.own > before.own {
            return Next::Wait;
        }
        let is_silent = received.all == before.all;
        if is_silent && self.sent > 1 {
            return Next::GiveUp;
        }
        // A later call has been answered, so it is not the link that holds this one back.
        let is_overtaken = received.answered > self.last_sent;
        if !is_silent && !is_overtaken {
            return Next::Wait;
        }
        self.sent += 1;
        self.last_sent = now;
        Next::Repeat
    }
}
