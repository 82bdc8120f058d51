//! Delay of the network path to a server, and what it means for the time at which a request must be
//! sent or withdrawn.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_types::Timestamp;

/// Time for which a measurement counts.
const RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of measurements.
const MAX_SAMPLES: usize = 32;

/// Time before its limit at which a request is withdrawn on a path without delay.
const BASE_MARGIN: Duration = Duration::from_millis(120);

/// Upper bound of the margins.
const MAX_MARGIN: Duration = Duration::from_millis(900);

/// Recent round trips to one server, measured when connections are established.
#[derive(Clone, Debug, Default)]
pub struct PathDelay {
    samples: VecDeque<(Timestamp, Duration)>,
}

impl PathDelay {
    /// Records a round trip, or the time after which an attempt to measure it was given up.
    pub fn record(&mut self, round_trip: Duration, now: Timestamp) {
        self.samples.push_back((now, round_trip));
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The slowest recent round trip; zero if there is none.
    #[must_use]
    pub fn slowest(&self, now: Timestamp) -> Duration {
        let recent = self.samples.iter().rev();
        let recent = recent.take_while(|(at, _)| now.since(*at) < RETENTION);
        recent.map(|(_, trip)| *trip).max().unwrap_or_default()
    }
}

/// Time before its limit at which a request that has not begun is withdrawn, so that its server
/// learns of it in time. A server sees the end of a connection up to a round trip late, as it may
/// queue behind other traffic.
#[must_use]
pub fn withdrawal_margin(round_trip: Duration) -> Duration {
    (BASE_MARGIN + round_trip).min(MAX_MARGIN)
}

/// Time by which a request reaches its server later than predicted.
#[must_use]
pub fn arrival_margin(round_trip: Duration) -> Duration {
    round_trip.min(MAX_MARGIN)
}
