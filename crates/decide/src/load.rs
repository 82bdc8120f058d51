//! Load of a backend server as one entry estimates it: its own requests exactly, those of others
//! from the last note, and what others have sent since by what it sent itself.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_types::Timestamp;

use crate::placement::Distance;
use crate::timing::{Backlog, Timing, Work};

/// Time that a request takes to show in a note.
const REPORT_LAG: Duration = Duration::from_millis(60);

/// Time for which sent requests are remembered; no note is older.
const SENT_RETENTION: Duration = Duration::from_secs(3);

/// Prompts that each other entry of the zone is taken to send meanwhile, for each one sent to a
/// server that this entry goes first at.
const UNREPORTED_PRIMARY: f64 = 0.2;

/// The same at another server of the zone.
const UNREPORTED_SHARED: f64 = 0.6;

/// The same for each entry at a far server.
const UNREPORTED_REMOTE: f64 = 0.5;

/// Latency assumed of a plain service before it has answered.
const PLAIN_LATENCY: Duration = Duration::from_millis(40);

/// Weight of a new figure in a moving average.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Bounds of one ratio of seen to predicted latency, so that none weighs too much.
const RATIO_BOUNDS: (f64, f64) = (0.2, 10.0);

/// Bounds of the correction that predictions get from such ratios.
const CORRECTION_BOUNDS: (f64, f64) = (0.9, 6.0);

/// Shortest prediction that a ratio is taken of, in seconds.
const MIN_PREDICTED_SECS: f64 = 0.001;

/// Entries that send requests to the same servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entries {
    /// Those of this availability zone, this one included.
    pub zone: u32,
    /// Place of this one among them, in the order of their ids.
    pub index: u32,
    /// All.
    pub all: u32,
}

impl Entries {
    /// This entry alone.
    pub const ALONE: Self = Self {
        zone: 1,
        index: 0,
        all: 1,
    };

    /// Whether this entry goes before the others at the server with the place `at` in its zone.
    #[must_use]
    pub const fn is_primary_for(&self, at: u32) -> bool {
        at % self.zone == self.index
    }

    /// Entries that send to a server at `distance`.
    #[must_use]
    pub const fn sender_count(&self, distance: Distance) -> u32 {
        match distance {
            Distance::Zone => self.zone,
            Distance::Region | Distance::Far => self.all,
        }
    }
}

/// Where a server stands for this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerRelation {
    /// How far it is.
    pub distance: Distance,
    /// Whether this entry goes before the others of its zone there.
    pub is_primary: bool,
    /// Entries that send to it.
    pub sender_count: u32,
}

/// What is expected of one more request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time to its first event, or to its answer.
    pub latency: Duration,
    /// Longest pause that it causes for others.
    pub pause: Duration,
    /// Requests thought to be at the server.
    pub occupied: u32,
    /// Whether there is a free place.
    pub has_free_slot: bool,
    /// Whether under half of the places are taken.
    pub under_half_full: bool,
}

/// The prompt of a request for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prompt {
    /// Its tokens.
    pub tokens: f64,
    /// Whether the engine takes it before all that wait there.
    pub urgent: bool,
}

/// A note on an engine's load.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LoadReport {
    received_at: Timestamp,
    until: Timestamp,
    slowdown: f64,
}

/// Load of one server.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: u32,
    others: u32,
    recent: VecDeque<Timestamp>,
    report: Option<LoadReport>,
    backlog: Backlog,
    urgent: Backlog,
    latency: Option<Duration>,
    correction: Option<f64>,
    backoff_until: Timestamp,
}

impl Load {
    /// Counts a request as sent.
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

    /// Counts a request as ended.
    pub const fn request_ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Whether none of this entry's requests is there.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.own == 0
    }

    /// Takes a note: `total` requests are there, and the engine is `pace` times slower than
    /// published. It holds until `until`.
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

    /// Gives the server a pause.
    pub const fn back_off_until(&mut self, until: Timestamp) {
        self.backoff_until = until;
    }

    /// Whether the server has a pause.
    #[must_use]
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Takes the latency of an answer for which `predicted` was expected.
    pub fn record_latency(&mut self, latency: Duration, predicted: Duration) {
        let ratio = latency.as_secs_f64() / predicted.as_secs_f64().max(MIN_PREDICTED_SECS);
        let correction = self.correction.unwrap_or(1.0)
            * ratio
                .clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1)
                .powf(AVERAGE_WEIGHT);
        self.correction = Some(correction.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1));
        let mean = self.latency.unwrap_or(latency);
        let mixed = mean.mul_f64(1.0 - AVERAGE_WEIGHT) + latency.mul_f64(AVERAGE_WEIGHT);
        self.latency = Some(mixed);
    }

    /// Counts a prompt that is about to be sent, and those that others send alike.
    pub fn add_prompt(
        &mut self,
        timing: &Timing,
        prompt: Prompt,
        at: ServerRelation,
        now: Timestamp,
    ) {
        let part = match at.distance {
            Distance::Zone if at.is_primary => UNREPORTED_PRIMARY,
            Distance::Zone => UNREPORTED_SHARED,
            Distance::Region | Distance::Far => UNREPORTED_REMOTE,
        };
        let factor = 1.0 + f64::from(at.sender_count.saturating_sub(1)) * part;
        let reading = timing.prefill_ms(prompt.tokens);
        self.backlog.add(reading * factor, now);
        if prompt.urgent {
            let turn = timing.completion_interval_ms();
            self.urgent.add((reading + turn) * factor, now);
        }
    }

    /// What is expected of a request with `prompt` at an engine.
    #[must_use]
    pub fn forecast_engine(
        &self,
        timing: &Timing,
        prompt: Prompt,
        at: ServerRelation,
        now: Timestamp,
    ) -> Forecast {
        let report = self.report.filter(|n| now < n.until);
        let taken = match report {
            Some(report) => self.taken(at.sender_count, report.received_at - REPORT_LAG),
            None => self.own * at.sender_count.max(1),
        };
        let running = taken.min(timing.slots);
        let mut work = Work {
            running,
            waiting: taken - running,
            prefill_backlog_ms: self.backlog.remaining_ms(now),
            slowdown: report.map_or(1.0, |n| n.slowdown),
        };
        if prompt.urgent && taken >= timing.slots {
            // Of those that wait, only other urgent ones go before it.
            work.waiting = 0;
            work.prefill_backlog_ms = work.prefill_backlog_ms.min(self.urgent.remaining_ms(now));
        }
        let first = timing.first_event(work, prompt.tokens);
        Forecast {
            latency: first.mul_f64(self.correction.unwrap_or(1.0)),
            pause: timing.pause(work, prompt.tokens),
            occupied: taken,
            has_free_slot: taken < timing.slots,
            under_half_full: taken * 2 < timing.slots,
        }
    }

    /// What is expected of a request at a plain service with `slots` places.
    #[must_use]
    pub fn forecast_plain(&self, slots: u32) -> Forecast {
        let mean = self.latency.unwrap_or(PLAIN_LATENCY);
        let waiting = (self.own + 1).saturating_sub(slots);
        Forecast {
            latency: mean + mean * waiting / slots.max(1),
            pause: Duration::ZERO,
            occupied: self.own,
            has_free_slot: self.own < slots,
            under_half_full: self.own * 2 < slots,
        }
    }

    /// Requests at the server, if each of `alike` entries has sent as many as this one since the
    /// time that the last note speaks of.
    fn taken(&self, sender_count: u32, report: Timestamp) -> u32 {
        let unreported = self.sent_since(report);
        self.own + self.others + unreported * sender_count.saturating_sub(1)
    }

    /// Requests sent by this entry after `since`.
    fn sent_since(&self, since: Timestamp) -> u32 {
        let sent = self.recent.iter().rev().take_while(|at| **at > since);
        u32::try_from(sent.count()).unwrap_or(u32::MAX)
    }
}
