//! Requests of this entry that were served, by priority and client account.

use apricothall_decide::contention::RequestOutcome;
use apricothall_decide::placement::Margin;
use apricothall_types::Timestamp;

use super::Fleet;
use crate::request::Call;

/// Names of the priority ranks in metrics.
const RANK_NAMES: [&str; 4] = ["0", "1", "2", "3"];

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A server answered it.
    Answered,
    /// It was refused, or its attempts failed.
    Refused,
    /// Its caller left before an answer.
    CallerLeft,
}

impl CallEnd {
    const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerLeft => "left",
        }
    }
}

/// Name of the rank of `call` in metrics.
#[must_use]
pub fn rank_name(call: &Call) -> &'static str {
    RANK_NAMES
        .get(call.rank.index())
        .copied()
        .unwrap_or("other")
}

impl Fleet {
    /// Records the end of `call`, or the first event of its stream.
    pub fn record_end(&self, call: &Call, end: CallEnd, now: Timestamp) {
        metrics::counter!("apricothall_ranked_requests_total", "rank" => rank_name(call), "end" => end.name())
            .increment(1);
        let mut state = self.state();
        let contention = state.contention.entry(call.service.clone()).or_default();
        let outcome = RequestOutcome {
            is_returning: call.returning,
            is_served: end == CallEnd::Answered,
        };
        let account = call.account.as_ref().map(|a| &a.name);
        contention.record(call.rank, account, outcome, now);
    }

    /// Margin of `call` for the current shares of its priority and client account.
    #[must_use]
    pub fn margin(&self, call: &Call, now: Timestamp) -> Margin {
        let state = self.state();
        let Some(contention) = state.contention.get(&call.service) else {
            return Margin::Usual;
        };
        let account = call.account.as_ref().map(|a| &a.name);
        contention.margin(call.rank, account, now)
    }
}
