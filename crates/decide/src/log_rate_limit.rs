//! How many log lines of a kind are written in a second. What is left out is counted.

use std::time::Duration;

use apricothall_types::Timestamp;

/// Length of the span that a budget holds for.
const WINDOW: Duration = Duration::from_secs(1);

/// A number of lines for each second.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    limit: u32,
    since: Timestamp,
    written: u32,
    left_out: u32,
}

/// What to do with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Write it. So many were left out in the span that has ended.
    Write {
        /// Lines left out.
        left_out: u32,
    },
    /// Leave it out.
    Suppress,
}

impl LogRateLimiter {
    /// A budget of `limit` lines a second.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self {
            limit,
            since: Timestamp(0),
            written: 0,
            left_out: 0,
        }
    }

    /// Decides about one line.
    pub fn decide(&mut self, now: Timestamp) -> Verdict {
        if now.since(self.since) >= WINDOW {
            let left_out = std::mem::take(&mut self.left_out);
            self.since = now;
            self.written = 1;
            return Verdict::Write { left_out };
        }
        if self.written < self.limit {
            self.written += 1;
            return Verdict::Write { left_out: 0 };
        }
        self.left_out += 1;
        Verdict::Suppress
    }
}
