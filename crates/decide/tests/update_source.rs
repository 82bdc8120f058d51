//! Whom a daemon asks for servers, by what it does and whom it hears.

use std::time::Duration;

use apricothall_decide::readers::ReaderRole;
use apricothall_decide::update_source::{PeersAhead, Source, select_source};

macro_rules! sources {
    ($($case:ident: $turn:ident, lost $lost:literal, near $near:literal, far $far:literal, $since:literal ms => $source:ident;)*) => {
        $(#[test] fn $case() {
            let since = Duration::from_millis($since);
            let ahead = PeersAhead { same_zone: $near, other_zones: $far, since };
            assert_eq!(select_source(ReaderRole::$turn, $lost, ahead), Source::$source);
        })*
    };
}

sources! {
    nobody_knows_more: Follower, lost false, near false, far false, 9_000 ms => Nobody;
    a_learner_asks_its_zone_at_once: Follower, lost false, near true, far true, 0 ms => Zone;
    a_learner_leaves_other_zones_to_its_readers: Follower, lost false, near false, far true, 900 ms => Nobody;
    a_learner_whose_readers_hear_nothing: Follower, lost false, near false, far true, 1_000 ms => Anywhere;
    a_reader_waits_for_its_own_watch: Primary, lost false, near true, far true, 400 ms => Nobody;
    a_reader_whose_watch_hears_nothing: Primary, lost false, near false, far true, 500 ms => Anywhere;
    a_second_reader_whose_watch_hears_nothing: Secondary, lost false, near true, far true, 500 ms => Zone;
    a_reader_that_is_not_answered_asks_its_zone_at_once: Secondary, lost true, near true, far true, 0 ms => Zone;
    a_reader_that_is_not_answered_asks_other_zones: Primary, lost true, near false, far true, 500 ms => Anywhere;
}
