//! What one entry uses of the limit of a server.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_types::{Quota, Timestamp};

use super::share::{Share, used_rate};
use crate::limits::TokenBucket;

/// Share of an entry in the limit of a server, and its use.
#[derive(Clone, Debug)]
pub(super) struct Usage {
    window: Duration,
    share: Option<Share>,
    bucket: TokenBucket,
    sent: VecDeque<Timestamp>,
}

impl Usage {
    /// Creates the state of an entry without a share in a limit whose requests are counted over
    /// `window`.
    pub(super) fn new(window: Duration, now: Timestamp) -> Self {
        Self {
            window,
            share: None,
            bucket: TokenBucket::new(0, now),
            sent: VecDeque::new(),
        }
    }

    fn refill(&mut self, now: Timestamp) {
        if let Some(share) = self.share {
            self.bucket.refill(share.rate, share.burst, now);
        }
    }

    /// The share, if the entry is a sender.
    pub(super) const fn share(&self) -> Option<Share> {
        self.share
    }

    /// Rate of the share.
    pub(super) fn rate(&self) -> Option<Quota> {
        self.share.map(|share| share.rate)
    }

    /// Sets the share. A new sender starts without tokens, as the one that it replaces may still
    /// use its share.
    pub(super) fn set_share(&mut self, share: Option<Share>, now: Timestamp) {
        if self.share.is_none() {
            self.bucket = TokenBucket::new(0, now);
        }
        self.refill(now);
        self.share = share;
    }

    /// Whether the share has room for a request.
    pub(super) fn has_room(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.share.is_some() && self.bucket.has_one()
    }

    /// Takes the room of a request. Returns whether there was any.
    pub(super) fn take(&mut self, now: Timestamp) -> bool {
        self.has_room(now) && self.bucket.take()
    }

    /// Time until a server with `limit` takes another request, from this entry or another one.
    pub(super) fn wait(&self, limit: Quota, now: Timestamp) -> Duration {
        match self.share {
            Some(share) => self.bucket.wait(share.rate),
            None => TokenBucket::new(0, now).wait(used_rate(limit)),
        }
    }

    /// Records that a request is sent.
    pub(super) fn record_sent(&mut self, now: Timestamp) {
        self.sent_in_window(now);
        self.sent.push_back(now);
    }

    /// Number of requests that were sent in the last window.
    pub(super) fn sent_in_window(&mut self, now: Timestamp) -> usize {
        while let Some(first) = self.sent.front()
            && now.since(*first) >= self.window
        {
            self.sent.pop_front();
        }
        self.sent.len()
    }

    /// Whether a request whose room was taken earlier may be sent now. Requests that were delayed
    /// after their room was taken may otherwise be sent all at once.
    pub(super) fn may_send(&mut self, now: Timestamp) -> bool {
        let window = self.window;
        let most = self.share.map_or(0, |share| share.requests_in(window));
        u64::try_from(self.sent_in_window(now)).is_ok_and(|sent| sent < most)
    }
}
