//! Leaving: which work a member that stops still takes and when it may end.

use std::time::Duration;

use apricothall_types::{Role, Timestamp};
use serde::{Deserialize, Serialize};

use crate::configs::DrainConfig;

/// Longest time from any sign to the last new piece of work.
pub const MAX_GRACE: Duration = Duration::from_secs(3);

/// What told the member that it is to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTrigger {
    /// A termination signal of the operating system.
    Signal,
    /// The platform's list shows the VM as leaving.
    VmList,
    /// Another member passed on that this one is leaving.
    Peer,
}

/// What the member is still busy with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests that run, wait, or whose answer is not yet passed on.
    pub running: u32,
    /// Transfers that serve peers.
    pub transfers: u32,
}

/// What to do with a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// Take it as usual.
    Take,
    /// Forward it, and ask the caller to close the connection.
    Forward,
    /// Refuse it with outcome `not_run` and ask the caller to close the connection.
    Refuse,
}

/// What the process does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Serve: no sign was seen.
    Serve,
    /// Finish what runs.
    Drain,
    /// End: nothing is left to do.
    End,
    /// End at the limit although work is left, which must be logged.
    Abort,
}

/// State of leaving of one member.
#[derive(Clone, Debug)]
pub struct Drain {
    config: DrainConfig,
    role: Role,
    first: Option<(DrainTrigger, Timestamp)>,
    signals: u32,
}

impl Drain {
    /// A member that serves.
    #[must_use]
    pub fn new(config: DrainConfig, role: Role) -> Self {
        Self {
            config,
            role,
            first: None,
            signals: 0,
        }
    }

    /// Notes a sign. True for the first one; later ones change nothing, so that a second signal
    /// cuts off no request in progress.
    pub fn record_trigger(&mut self, trigger: DrainTrigger, now: Timestamp) -> bool {
        if trigger == DrainTrigger::Signal {
            self.signals = self.signals.saturating_add(1);
        }
        let first = self.first.is_none();
        if first {
            self.first = Some((trigger, now));
        }
        first
    }

    /// The first sign and the time at which it was seen.
    #[must_use]
    pub fn since(&self) -> Option<(DrainTrigger, Timestamp)> {
        self.first
    }

    /// Termination signals received.
    #[must_use]
    pub fn signals(&self) -> u32 {
        self.signals
    }

    /// Whether any sign was seen.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.first.is_some()
    }

    /// What to do with a request that arrives at `now`.
    ///
    /// An agent refuses from the first sign on. An entry forwards for the grace, because callers
    /// have kept its address and may have no other yet.
    #[must_use]
    pub fn intake(&self, now: Timestamp) -> Intake {
        let Some((_, since)) = self.first else {
            return Intake::Take;
        };
        let grace = self.config.grace.0.min(MAX_GRACE);
        let forwards = self.role == Role::Entry && now.since(since) < grace;
        if forwards {
            return Intake::Forward;
        }
        Intake::Refuse
    }

    /// What the process does at `now` with `work` left.
    #[must_use]
    pub fn step(&self, work: Work, now: Timestamp) -> Step {
        let Some((_, since)) = self.first else {
            return Step::Serve;
        };
        let spent = now.since(since);
        let has_requests = work.running > 0;
        if spent >= self.config.limit.0 {
            return if has_requests { Step::Abort } else { Step::End };
        }
        let serves_peers = work.transfers > 0 && spent < self.config.transfer.0;
        if has_requests || serves_peers || spent < self.min_lifetime() {
            return Step::Drain;
        }
        Step::End
    }

    /// Time for which the process answers after the first sign, whatever runs.
    fn min_lifetime(&self) -> Duration {
        match self.role {
            Role::Entry => self.config.keep.0,
            Role::Agent => self.config.grace.0.min(MAX_GRACE),
        }
    }
}
