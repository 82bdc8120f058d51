//! How long callers of streams wait for an event before they leave.

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
