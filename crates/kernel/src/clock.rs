//! The clock of the VM.

use std::time::{SystemTime, UNIX_EPOCH};

use apricothall_types::{Incarnation, Timestamp, WallTime};
use rustix::time::{ClockId, clock_gettime};

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Reads the time that decision functions take as an argument.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Time since the VM booted, including time spent suspended or frozen.
    #[must_use]
    pub fn now(self) -> Timestamp {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Timestamp(secs * NANOS_PER_SECOND + nanos)
    }

    /// Wall-clock time, comparable between VMs within the clock skew.
    #[must_use]
    pub fn wall(self) -> WallTime {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Incarnation of a process that starts now: microseconds since the Unix epoch.
    #[must_use]
    pub fn incarnation(self) -> Incarnation {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Incarnation(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}
