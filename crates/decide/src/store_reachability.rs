//! Whether the store answers a daemon, by subject.

use serde::{Deserialize, Serialize};

/// Part of the store that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// Items written by operators: configuration and versions.
    Operators,
    /// Entries of backend servers.
    Servers,
}

/// What a failed read says of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The store refuses this daemon, or nothing is received from it.
    Unreachable,
    /// The store answers, but the answer did not arrive completely in time.
    Slow,
}

/// Subjects that a daemon cannot read from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostSubjects {
    /// Items written by operators.
    pub operators: bool,
    /// Entries of backend servers.
    pub servers: bool,
}

impl LostSubjects {
    const ALL: Self = Self {
        operators: true,
        servers: true,
    };

    /// Whether `subject` is lost.
    #[must_use]
    pub const fn contains(self, subject: Subject) -> bool {
        match subject {
            Subject::Operators => self.operators,
            Subject::Servers => self.servers,
        }
    }

    /// Whether any subject is lost.
    #[must_use]
    pub const fn any(self) -> bool {
        self.operators || self.servers
    }

    fn set(&mut self, subject: Subject, lost: bool) {
        match subject {
            Subject::Operators => self.operators = lost,
            Subject::Servers => self.servers = lost,
        }
    }
}

/// Whether the store answers this daemon. It may still answer others; see [`crate::outage`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreReachability {
    unreachable: bool,
    slow: LostSubjects,
}

impl StoreReachability {
    /// Records a failed read of `subject`. Returns true if the subject was not lost before.
    pub fn failed(&mut self, subject: Subject, failure: ReadFailure) -> bool {
        let before = self.is_lost(subject);
        match failure {
            ReadFailure::Unreachable => self.unreachable = true,
            ReadFailure::Slow => self.slow.set(subject, true),
        }
        !before
    }

    /// Records a complete answer about `subject`. Returns true if the subject was lost.
    pub fn answered(&mut self, subject: Subject) -> bool {
        let before = self.is_lost(subject);
        self.unreachable = false;
        self.slow.set(subject, false);
        before
    }

    /// Resets what is known about `subject`, which this daemon does not read.
    pub fn reset(&mut self, subject: Subject) {
        self.unreachable = false;
        self.slow.set(subject, false);
    }

    /// Whether `subject` cannot be read.
    #[must_use]
    pub const fn is_lost(self, subject: Subject) -> bool {
        self.unreachable || self.slow.contains(subject)
    }

    /// Subjects that cannot be read.
    #[must_use]
    pub const fn lost(self) -> LostSubjects {
        if self.unreachable {
            return LostSubjects::ALL;
        }
        self.slow
    }
}
