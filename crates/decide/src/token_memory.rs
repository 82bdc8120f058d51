//! Memory of an engine for the tokens of its requests, as estimated by one entry.
//!
//! An engine terminates if the requests that it holds exceed its memory. The entry counts the tokens
//! of its own requests, prompt and maximum output, and takes those of other entries from the
//! engine's last report.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_types::{Timestamp, TokenCount};

/// Time for which the tokens of sent requests are kept. No valid report is older.
const SENT_RETENTION: Duration = Duration::from_secs(3);

/// Divisor of the room that an engine reported, for its primary sender: half of it.
const PRIMARY_DIVISOR: u64 = 2;

/// Maximum divisor for the other senders. Of many, few send to the same engine between two reports.
const MAX_DIVISOR: u64 = 8;

/// Tokens in the memory of an engine, as it reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryReport {
    /// Tokens that cannot be freed.
    pub used: TokenCount,
    /// Tokens that fit.
    pub total: TokenCount,
}

/// Senders of requests to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Senders {
    /// Number of entries that send to it.
    pub count: u32,
    /// Whether this entry is the primary sender of its zone.
    pub is_primary: bool,
}

impl Senders {
    /// This entry may use the room that was reported, divided by this, until the next report. The
    /// primary sender has half of it, and the others share the other half.
    fn divisor(self) -> u64 {
        match self.count {
            0 | 1 => 1,
            _ if self.is_primary => PRIMARY_DIVISOR,
            others => (PRIMARY_DIVISOR * u64::from(others - 1)).min(MAX_DIVISOR),
        }
    }
}

/// A report and the time for which it is valid.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Received {
    report: Option<MemoryReport>,
    at: Timestamp,
    until: Timestamp,
}

/// Estimated use of the memory of one engine.
#[derive(Clone, Debug, Default)]
pub struct TokenMemory {
    own: u64,
    sent: VecDeque<(Timestamp, u64)>,
    received: Option<Received>,
}

impl TokenMemory {
    /// Counts a request of `tokens` tokens that is about to be sent.
    pub fn reserve(&mut self, tokens: TokenCount, now: Timestamp) {
        self.own = self.own.saturating_add(tokens.0);
        self.sent.push_back((now, tokens.0));
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now.since(*at) > SENT_RETENTION)
        {
            self.sent.pop_front();
        }
    }

    /// Ends the count of a request of `tokens` tokens.
    pub const fn release(&mut self, tokens: TokenCount) {
        self.own = self.own.saturating_sub(tokens.0);
    }

    /// Records what the engine reports, if it does, in a message that is valid until `until`.
    pub const fn record_report(
        &mut self,
        report: Option<MemoryReport>,
        now: Timestamp,
        until: Timestamp,
    ) {
        self.received = Some(Received {
            report,
            at: now,
            until,
        });
    }

    /// Tokens that must be freed before a request of `tokens` tokens fits into a memory of
    /// `capacity`; zero if there is room. A report contains what was sent `lag` before it arrived.
    #[must_use]
    pub fn lacking(
        &self,
        tokens: TokenCount,
        capacity: TokenCount,
        senders: Senders,
        lag: Duration,
        now: Timestamp,
    ) -> TokenCount {
        let Some(received) = self.received.filter(|r| now < r.until) else {
            let used = self.own.saturating_mul(senders.count.max(1).into());
            let needed = used.saturating_add(tokens.0);
            return TokenCount(needed.saturating_sub(capacity.0));
        };
        let of_own = self.own.saturating_add(tokens.0);
        let Some(report) = received.report else {
            return TokenCount(of_own.saturating_sub(capacity.0));
        };
        let capacity = capacity.min(report.total);
        let unreported = self.sent_since(received.at - lag);
        // An idle engine runs any request that it holds; its primary sender sends it.
        if senders.divisor() <= PRIMARY_DIVISOR && report.used.0 == 0 && self.own == 0 {
            return TokenCount(tokens.0.saturating_sub(capacity.0));
        }
        let more = unreported.saturating_add(tokens.0);
        let more = more.saturating_mul(senders.divisor());
        let needed = report.used.0.saturating_add(more).max(of_own);
        TokenCount(needed.saturating_sub(capacity.0))
    }

    /// Tokens of the requests that this entry sent after `since`.
    fn sent_since(&self, since: Timestamp) -> u64 {
        let sent = self.sent.iter().rev().take_while(|(at, _)| *at > since);
        sent.fold(0, |sum, (_, tokens)| sum.saturating_add(*tokens))
    }
}
