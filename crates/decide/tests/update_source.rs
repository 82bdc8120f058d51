//! Peers that a daemon requests server updates from, by its reader role and the peers with newer
//! state.

use std::time::Duration;

use apricothall_decide::readers::ReaderRole;
use apricothall_decide::update_source::{PeersAhead, Source, select_source};

macro_rules! sources {
    ($($case:ident: $role:ident, lost $lost:literal, near $near:literal, far $far:literal, $since:literal ms => $source:ident;)*) => {
        $(#[test] fn $case() {
            let since = Duration::from_millis($since);
            let ahead = PeersAhead { same_zone: $near, other_zones: $far, since };
            assert_eq!(select_source(ReaderRole::$role, $lost, ahead), Source::$source);
        })*
    };
}

sources! {
    no_peer_is_ahead: Follower, lost false, near false, far false, 9_000 ms => Nobody;
    a_follower_queries_its_zone_at_once: Follower, lost false, near true, far true, 0 ms => Zone;
    a_follower_leaves_other_zones_to_its_readers: Follower, lost false, near false, far true, 900 ms => Nobody;
    a_follower_queries_other_zones_if_its_readers_are_behind: Follower, lost false, near false, far true, 1_000 ms => Anywhere;
    a_reader_waits_for_its_own_watch: Primary, lost false, near true, far true, 400 ms => Nobody;
    a_reader_queries_other_zones_if_its_watch_is_behind: Primary, lost false, near false, far true, 500 ms => Anywhere;
    a_reader_queries_its_zone_if_its_watch_is_behind: Secondary, lost false, near true, far true, 500 ms => Zone;
    a_disconnected_reader_queries_its_zone_at_once: Secondary, lost true, near true, far true, 0 ms => Zone;
    a_disconnected_reader_queries_other_zones: Primary, lost true, near false, far true, 500 ms => Anywhere;
}
