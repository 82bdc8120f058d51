//! Rate limit for log lines of one kind, with a count of suppressed lines.

use std::time::Duration;

use apricothall_types::Timestamp;

/// Length of the window that the limit applies to.
const WINDOW: Duration = Duration::from_secs(1);

/// Limit on the number of lines per second.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    limit: u32,
    since: Timestamp,
    written: u32,
    left_out: u32,
}

/// Decision on a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Write the line.
    Write {
        /// Number of lines suppressed in the window that has ended.
        left_out: u32,
    },
    /// Do not write the line.
    Suppress,
}

impl LogRateLimiter {
    /// Creates a limiter of `limit` lines per second.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self {
            limit,
            since: Timestamp(0),
            written: 0,
            left_out: 0,
        }
    }

    /// Decides whether to write a line.
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
