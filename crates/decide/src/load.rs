//! Load estimate of a backend server at one entry.
//!
//! The entry counts its own requests exactly and takes those of other entries from the last load
//! report. What the others have sent since then is extrapolated from what the entry itself sent.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_types::{Timestamp, TokenCount};

use crate::latency_average::LatencyAverage;
use crate::path_delay::PathDelay;
use crate::placement::Distance;
use crate::priorities::{MAX_RANKS, Rank};
use crate::timing::{Backlog, QueuedRequests, Timing, Work};
use crate::token_memory::{Senders, TokenMemory};

/// Time until a sent request appears in a load report.
const REPORT_LAG: Duration = Duration::from_millis(60);

/// Time for which the send times of requests are kept. No valid load report is older.
const SENT_RETENTION: Duration = Duration::from_secs(3);

/// Assumed number of prompts that each other entry of the zone sends, not yet reported, for each
/// prompt of this entry to a server of which it is the primary sender.
const UNREPORTED_PRIMARY: f64 = 0.2;

/// As [`UNREPORTED_PRIMARY`], for the other servers of the zone.
const UNREPORTED_SHARED: f64 = 0.6;

/// As [`UNREPORTED_PRIMARY`], per other entry of the pool, for servers outside the zone.
const UNREPORTED_REMOTE: f64 = 0.5;

/// Assumed latency of a plain service before its first answer.
const PLAIN_LATENCY: Duration = Duration::from_millis(40);

/// Weight of a new ratio in the correction factor.
const RATIO_WEIGHT: f64 = 0.1;

/// Bounds of one ratio of measured to predicted latency, which limit the effect of an outlier.
const RATIO_BOUNDS: (f64, f64) = (0.2, 10.0);

/// Bounds of the correction factor that is applied to predictions.
const CORRECTION_BOUNDS: (f64, f64) = (0.9, 6.0);

/// Lower bound of the prediction in a latency ratio, in seconds.
const MIN_PREDICTED_SECS: f64 = 0.001;

/// Entries that send requests to the same servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entries {
    /// Number of entries in this availability zone, including this one.
    pub zone: u32,
    /// Index of this entry among those of its zone, ordered by ID.
    pub index: u32,
    /// Number of entries in all zones.
    pub all: u32,
}

impl Entries {
    /// A single entry.
    pub const ALONE: Self = Self {
        zone: 1,
        index: 0,
        all: 1,
    };

    /// Whether this entry is the primary sender of the server with index `at` in its zone.
    #[must_use]
    pub const fn is_primary_for(&self, at: u32) -> bool {
        at % self.zone == self.index
    }

    /// Number of entries that send to a server at `distance`.
    #[must_use]
    pub const fn sender_count(&self, distance: Distance) -> u32 {
        match distance {
            Distance::Zone => self.zone,
            Distance::Region | Distance::Far => self.all,
        }
    }
}

/// Relation between this entry and a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerRelation {
    /// Distance to the server.
    pub distance: Distance,
    /// Whether this entry is the primary sender of its zone for the server.
    pub is_primary: bool,
    /// Number of entries that send to the server.
    pub sender_count: u32,
}

/// Predicted effect of one more request at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time until its first event, or until its answer.
    pub latency: Duration,
    /// Longest pause that it causes in the streams of other requests.
    pub pause: Duration,
    /// Estimated number of requests at the server.
    pub occupied: u32,
    /// Whether a slot is free.
    pub has_free_slot: bool,
    /// Whether less than half of the slots are occupied.
    pub under_half_full: bool,
}

/// The prompt of a request for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prompt {
    /// Length in tokens.
    pub tokens: f64,
    /// Its rank. The engine starts it before all requests of lower ranks in its queue.
    pub rank: Rank,
}

/// A load report of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LoadReport {
    received_at: Timestamp,
    until: Timestamp,
    slowdown: f64,
}

/// Requests of some ranks that were sent to an engine and may still be in its queue.
#[derive(Clone, Copy, Debug, Default)]
struct RankQueue {
    requests: QueuedRequests,
    backlog: Backlog,
}

/// Load state of one server.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: u32,
    others: u32,
    recent: VecDeque<Timestamp>,
    report: Option<LoadReport>,
    backlog: Backlog,
    /// Backlog of the requests of the highest rank.
    urgent: Backlog,
    /// For each rank, its requests and those of higher ranks.
    ranks: [RankQueue; MAX_RANKS],
    latency: Option<LatencyAverage>,
    correction: Option<f64>,
    backoff_until: Timestamp,
    /// Delay of the path to the server.
    pub path: PathDelay,
    /// Memory of the server for the tokens of requests.
    pub memory: TokenMemory,
}

impl Load {
    /// Records a sent request.
    pub fn request_started(&mut self, now: Timestamp) {
        self.own += 1;
        self.recent.push_back(now);
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) > SENT_RETENTION)
        {
            self.recent.pop_front();
        }
    }

    /// Records the end of a request.
    pub const fn request_ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Whether this entry has no request in progress at the server.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.own == 0
    }

    /// Records a load report: the server has `total` requests, and its engine is `slowdown` times
    /// slower than published. The report is valid until `until`.
    pub fn record_report(&mut self, total: u32, slowdown: f64, now: Timestamp, until: Timestamp) {
        let seen = self.own.saturating_sub(self.sent_since(now - REPORT_LAG));
        self.others = total.saturating_sub(seen);
        let received_at = now;
        self.report = Some(LoadReport {
            received_at,
            until,
            slowdown,
        });
    }

    /// Sends no requests to the server before `until`.
    pub const fn back_off_until(&mut self, until: Timestamp) {
        self.backoff_until = until;
    }

    /// Whether the server currently gets no requests because of a back-off.
    #[must_use]
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Updates the latency average and the correction factor with a measured latency and its
    /// prediction.
    pub fn record_latency(&mut self, latency: Duration, predicted: Duration, now: Timestamp) {
        let ratio = latency.as_secs_f64() / predicted.as_secs_f64().max(MIN_PREDICTED_SECS);
        let correction = self.correction.unwrap_or(1.0)
            * ratio
                .clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1)
                .powf(RATIO_WEIGHT);
        self.correction = Some(correction.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1));
        match &mut self.latency {
            Some(average) => average.record(latency, now),
            None => self.latency = Some(LatencyAverage::new(latency, now)),
        }
    }

    /// Adds a prompt that is about to be sent to the backlog, and the prompts that other entries
    /// are assumed to send at the same time.
    pub fn add_prompt(
        &mut self,
        timing: &Timing,
        prompt: Prompt,
        at: ServerRelation,
        now: Timestamp,
    ) {
        let unreported = match at.distance {
            Distance::Zone if at.is_primary => UNREPORTED_PRIMARY,
            Distance::Zone => UNREPORTED_SHARED,
            Distance::Region | Distance::Far => UNREPORTED_REMOTE,
        };
        let factor = 1.0 + f64::from(at.sender_count.saturating_sub(1)) * unreported;
        let prefill = timing.prefill_ms(prompt.tokens);
        self.backlog.add(prefill * factor, now);
        let completion_interval = timing.completion_interval_ms();
        if prompt.rank.is_highest() {
            self.urgent
                .add((prefill + completion_interval) * factor, now);
        }
        let slowdown = self.valid_report(now).map_or(1.0, |n| n.slowdown.max(1.0));
        for queue in &mut self.ranks[prompt.rank.index()..] {
            queue
                .requests
                .add(factor, completion_interval * slowdown, now);
            queue.backlog.add(prefill * factor, now);
        }
    }

    fn valid_report(&self, now: Timestamp) -> Option<LoadReport> {
        self.report.filter(|n| now < n.until)
    }

    /// Predicts the effect of a request with `prompt` at an engine.
    #[must_use]
    pub fn forecast_engine(
        &self,
        timing: &Timing,
        prompt: Prompt,
        at: ServerRelation,
        now: Timestamp,
    ) -> Forecast {
        let report = self.valid_report(now);
        let taken = match report {
            Some(report) => {
                self.estimated_requests(at.sender_count, report.received_at - REPORT_LAG)
            }
            None => self.own.saturating_mul(at.sender_count.max(1)),
        };
        let running = taken.min(timing.slots);
        let mut work = Work {
            running,
            waiting: taken - running,
            backlog_ms: self.backlog.remaining_ms(now),
            slowdown: report.map_or(1.0, |n| n.slowdown),
        };
        if prompt.rank.is_highest() && taken >= timing.slots {
            // Only other requests of the highest rank are ahead of it in the queue.
            work.waiting = 0;
            work.backlog_ms = work.backlog_ms.min(self.urgent.remaining_ms(now));
        } else if !prompt.rank.is_lowest() && taken >= timing.slots {
            let queue = &self.ranks[prompt.rank.index()];
            let interval = timing.completion_interval_ms() * work.slowdown.max(1.0);
            work.waiting = work.waiting.min(queue.requests.remaining(interval, now));
            work.backlog_ms = work.backlog_ms.min(queue.backlog.remaining_ms(now));
        }
        let first = timing.first_event(work, prompt.tokens);
        Forecast {
            latency: first.mul_f64(self.correction.unwrap_or(1.0)),
            pause: timing.pause(work, prompt.tokens),
            occupied: taken,
            has_free_slot: taken < timing.slots,
            under_half_full: taken < timing.slots.div_ceil(2),
        }
    }

    /// Time until an engine with `capacity` has room for a request of `tokens` tokens; zero if it
    /// has.
    #[must_use]
    pub fn room_after(
        &self,
        timing: &Timing,
        tokens: TokenCount,
        capacity: TokenCount,
        at: ServerRelation,
        now: Timestamp,
    ) -> Duration {
        let senders = Senders {
            count: at.sender_count,
            is_primary: at.is_primary,
        };
        let lag = REPORT_LAG + self.path.slowest(now);
        let lacking = self.memory.lacking(tokens, capacity, senders, lag, now);
        timing.time_to_free(lacking)
    }

    /// Predicts the effect of a request at a plain service with `slots` slots.
    #[must_use]
    pub fn forecast_plain(&self, slots: u32, now: Timestamp) -> Forecast {
        // While one request measures a server that was slow, the others still avoid it.
        let mean = match self.latency {
            None => PLAIN_LATENCY,
            Some(average) if self.is_idle() => average.aged(PLAIN_LATENCY, now),
            Some(average) => average.mean(),
        };
        let waiting = (self.own + 1).saturating_sub(slots);
        Forecast {
            latency: mean + mean * waiting / slots.max(1),
            pause: Duration::ZERO,
            occupied: self.own,
            has_free_slot: self.own < slots,
            under_half_full: self.own * 2 < slots,
        }
    }

    /// Estimated requests at the server, if each of `sender_count` entries has sent as many as this
    /// one since `measured`, the time of the last load report.
    fn estimated_requests(&self, sender_count: u32, measured: Timestamp) -> u32 {
        let unreported = self.sent_since(measured);
        let others = unreported.saturating_mul(sender_count.saturating_sub(1));
        self.own.saturating_add(self.others).saturating_add(others)
    }

    /// Number of requests that this entry sent after `since`.
    fn sent_since(&self, since: Timestamp) -> u32 {
        let sent = self.recent.iter().rev().take_while(|at| **at > since);
        u32::try_from(sent.count()).unwrap_or(u32::MAX)
    }
}
