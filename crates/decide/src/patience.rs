//! How long callers wait for an event of a stream, and how long they may leave an answer unread.

use std::time::Duration;

use apricothall_types::Timestamp;

/// Pause that every caller of a stream accepts.
const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Number of latency objectives that a caller waits for an event.
const TARGETS: u32 = 4;

/// Number of longest pauses by the objective that a caller waits for an event.
const GAPS: u32 = 8;

/// Time in which an answer reaches its caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Time for which every caller may read nothing of an answer.
pub const MIN_READ_PAUSE: Duration = Duration::from_secs(8);

/// Time beyond its longest pause after which the caller of a stream that takes nothing is gone.
const STREAM_MARGIN: Duration = Duration::from_secs(1);

/// How long a caller may take nothing of an answer before its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPause {
    /// Time for which no byte can be written.
    pub unread: Duration,
    /// Time for which what was sent stays unacknowledged, or the caller has no room for more.
    pub unacknowledged: Option<Duration>,
}

/// Pause in reading of the caller of a whole answer, which waits for `wait` at most. The servers are
/// done with the request, so nothing is saved if a caller that is gone is noticed sooner.
#[must_use]
pub fn answer_pause(wait: Duration) -> ReadPause {
    ReadPause {
        unread: MIN_READ_PAUSE.max(wait),
        unacknowledged: None,
    }
}

/// Pause in reading of the caller of a stream that accepts pauses of `longest_pause` between events.
/// An engine works on for as long as a caller that is gone is not noticed.
#[must_use]
pub fn stream_pause(longest_pause: Duration) -> ReadPause {
    let pause = longest_pause + STREAM_MARGIN;
    ReadPause {
        unread: MIN_READ_PAUSE.max(pause),
        unacknowledged: Some(pause),
    }
}

/// Longest pause without an event, also before the first, that a caller accepts on a route with the
/// latency objective `target`, whose streams may pause for `gap`.
#[must_use]
pub fn longest_pause(target: Duration, gap: Option<Duration>) -> Duration {
    let gaps = gap.unwrap_or_default() * GAPS;
    MIN_PAUSE.max(target * TARGETS).max(gaps)
}

/// Time by which a caller that has waited since `since` must be answered, as it leaves otherwise.
#[must_use]
pub fn answer_due(since: Timestamp, target: Duration, gap: Option<Duration>) -> Timestamp {
    since + longest_pause(target, gap).saturating_sub(ANSWER_MARGIN)
}
