//! Guards against deadlines that ignore a pause of the process: the time that a request waited in a
//! socket during the pause counts against its deadline.

use std::time::Duration;

use apricothall_entry::arrival::PauseDetector;
use apricothall_types::Timestamp;

macro_rules! max_waits {
    ($($case:ident: runs at $ticks:expr, read at $read:expr => $waited:expr;)*) => {
        $(#[test] fn $case() {
            let detector = PauseDetector::new(Timestamp::from_millis(0));
            for tick in $ticks {
                detector.record_tick(Timestamp::from_millis(tick));
            }
            let waited = detector.max_wait(Timestamp::from_millis($read));
            assert_eq!(waited, Duration::from_millis($waited));
        })*
    };
}

max_waits! {
    running: runs at [100, 200, 300], read at 350 => 0;
    first_read_after_a_pause: runs at [100], read at 5_100 => 5_000;
    read_after_the_first_tick: runs at [100, 5_100, 5_200], read at 5_250 => 5_150;
    long_after_a_pause: runs at [100, 5_100, 5_500, 5_900, 6_300], read at 6_400 => 0;
    short_gap: runs at [100, 500], read at 900 => 0;
}
