//! Graceful shutdown: which requests a draining member still accepts and when its process may end.

use std::time::Duration;

use apricothall_types::{Role, Timestamp};
use serde::{Deserialize, Serialize};

use crate::configs::DrainConfig;

/// Maximum time between the drain trigger and the last accepted request.
pub const MAX_GRACE: Duration = Duration::from_secs(3);

/// Event that started the drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTrigger {
    /// A termination signal of the operating system.
    Signal,
    /// The VM list of the platform shows the VM as leaving.
    VmList,
    /// Another member reported that this one is leaving.
    Peer,
}

/// Remaining work of the member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests that are running or queued, or whose answer is not yet forwarded.
    pub running: u32,
    /// Connections whose peer may not have received its last answer completely.
    pub deliveries: u32,
    /// Transfers to peers.
    pub transfers: u32,
}

/// Handling of a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// Accept it normally.
    Take,
    /// Forward it and request that the caller close the connection.
    Forward,
    /// Refuse it with outcome `not_run` and request that the caller close the connection.
    Refuse,
}

/// Next action of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Serve requests; no drain was triggered.
    Serve,
    /// Finish the remaining work.
    Drain,
    /// Exit; no work remains.
    End,
    /// Exit at the time limit although work remains, which must be logged.
    Abort,
}

/// Drain state of one member.
#[derive(Clone, Debug)]
pub struct Drain {
    config: DrainConfig,
    role: Role,
    first: Option<(DrainTrigger, Timestamp)>,
    signals: u32,
}

impl Drain {
    /// Creates the state of a member that is not draining.
    #[must_use]
    pub fn new(config: DrainConfig, role: Role) -> Self {
        Self {
            config,
            role,
            first: None,
            signals: 0,
        }
    }

    /// Records a trigger and returns true for the first one. Later triggers have no effect, so that
    /// a second signal does not interrupt requests in progress.
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

    /// The first trigger and its time.
    #[must_use]
    pub fn since(&self) -> Option<(DrainTrigger, Timestamp)> {
        self.first
    }

    /// Number of termination signals received.
    #[must_use]
    pub fn signals(&self) -> u32 {
        self.signals
    }

    /// Whether a drain was triggered.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.first.is_some()
    }

    /// Returns how to handle a request that arrives at `now`.
    ///
    /// An agent refuses requests from the first trigger on. An entry still forwards them during the
    /// grace period, because callers cache its address and may not have that of another entry yet.
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

    /// Whether a request with `deadline` may still be running when the process ends.
    #[must_use]
    pub fn may_outlast(&self, deadline: Timestamp) -> bool {
        let end = self.first.map(|(_, since)| since + self.config.limit.0);
        end.is_some_and(|end| deadline > end)
    }

    /// Returns the action of the process at `now` with `work` remaining.
    #[must_use]
    pub fn step(&self, work: Work, now: Timestamp) -> Step {
        let Some((_, since)) = self.first else {
            return Step::Serve;
        };
        let spent = now.since(since);
        let has_requests = work.running > 0 || work.deliveries > 0;
        if spent >= self.config.limit.0 {
            return if has_requests { Step::Abort } else { Step::End };
        }
        let serves_peers = work.transfers > 0 && spent < self.config.transfer.0;
        if has_requests || serves_peers || spent < self.min_lifetime() {
            return Step::Drain;
        }
        Step::End
    }

    /// Minimum time after the first trigger for which the process keeps answering requests.
    fn min_lifetime(&self) -> Duration {
        match self.role {
            Role::Entry => self.config.keep.0,
            Role::Agent => self.config.grace.0.min(MAX_GRACE),
        }
    }
}
