//! Evacuated zones in the views of daemons that hear of changes late, twice, from peers, or from an
//! older copy of the store.

use apricothall_decide::evacuation::{EvacuationChange, EvacuationSet, Evacuations};
use apricothall_types::{Era, Revision, StoreRevision, Timestamp, Zone};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time after which operators have written their items again to an older copy, in ms.
const REWRITE_MS: u64 = 5_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn zone(name: &str) -> Zone {
    name.parse().expect("valid")
}

fn rev(era: u64, revision: u64) -> StoreRevision {
    StoreRevision {
        era: Era(era),
        revision: Revision(revision),
    }
}

fn set(era: u64, revision: u64, zones: &[&str]) -> EvacuationSet {
    EvacuationSet {
        as_of: rev(era, revision),
        zones: zones.iter().map(|name| zone(name)).collect(),
    }
}

fn names(known: &Evacuations) -> Vec<&str> {
    known.zones().iter().map(Zone::as_str).collect()
}

fn daemon(zones: &[&str]) -> Evacuations {
    let mut known = Evacuations::default();
    known.replace(set(1, 10, zones), at(0));
    known
}

/// Guards against a change that is logged twice.
#[test]
fn a_change_is_reported_once() {
    let mut known = daemon(&[]);
    let changes = known.begin(zone("a"), rev(1, 11), at(1));
    let expected = EvacuationChange {
        zone: zone("a"),
        evacuated: true,
    };
    assert_eq!(changes, [expected]);
    assert_eq!(known.begin(zone("a"), rev(1, 11), at(2)), []);
    assert_eq!(known.replace(set(1, 11, &["a"]), at(3)), []);
}

/// Guards against an evacuation that comes back as a peer has not heard of its removal yet.
#[test]
fn an_older_set_of_a_peer_is_ignored() {
    let mut known = daemon(&["a"]);
    known.end(&zone("a"), rev(1, 12), at(1));
    known.confirm(rev(1, 12));
    known.replace(set(1, 11, &["a"]), at(2));
    assert!(names(&known).is_empty());
}

/// Guards against changes that a watch delivers after a peer has told of later ones.
#[test]
fn a_late_event_is_ignored() {
    let mut known = daemon(&[]);
    known.replace(set(1, 20, &[]), at(1));
    known.begin(zone("a"), rev(1, 15), at(2));
    assert!(names(&known).is_empty());
}

/// Guards against requests to an evacuated zone because the store lost the item in a restore.
#[test]
fn an_evacuation_that_an_older_copy_lacks_stays_in_force() {
    let mut known = daemon(&["a"]);
    known.replace(set(2, 8, &[]), at(1_000));
    assert_eq!(names(&known), ["a"]);
    known.refresh(at(1_000 + REWRITE_MS));
    assert!(names(&known).is_empty(), "nobody has written it again");
}

/// Guards against a zone that is evacuated again because the store was restored from a copy made
/// before the evacuation was removed.
#[test]
fn a_removed_evacuation_is_not_taken_from_an_older_copy() {
    let mut known = daemon(&["a"]);
    known.end(&zone("a"), rev(1, 12), at(500));
    known.replace(set(2, 8, &["a"]), at(1_000));
    assert!(names(&known).is_empty());
    known.end(&zone("a"), rev(2, 9), at(2_000));
    known.refresh(at(1_000 + REWRITE_MS));
    assert!(names(&known).is_empty());
}

/// Guards against an evacuation that is withheld because an earlier one of the zone was removed.
#[test]
fn an_evacuation_written_in_the_new_era_holds_at_once() {
    let mut known = daemon(&["a"]);
    known.end(&zone("a"), rev(1, 12), at(500));
    known.replace(set(2, 8, &["a"]), at(1_000));
    known.begin(zone("a"), rev(2, 9), at(1_500));
    assert_eq!(names(&known), ["a"]);
}

/// Guards against an evacuation that daemons which learn of it from peers ignore for as long as
/// their hold against the copy lasts.
#[test]
fn an_evacuation_in_a_later_set_of_the_new_era_holds_at_once() {
    let mut known = daemon(&["a"]);
    known.end(&zone("a"), rev(1, 12), at(500));
    known.replace(set(2, 8, &[]), at(1_000));
    known.replace(set(2, 9, &["a"]), at(1_500));
    assert_eq!(names(&known), ["a"]);
    known.replace(set(2, 10, &[]), at(2_000));
    assert!(names(&known).is_empty());
}

/// Guards against a change that is lost as another one of the same answer of the store has a later
/// revision.
#[test]
fn all_changes_of_an_answer_are_applied() {
    let mut known = daemon(&[]);
    known.begin(zone("b"), rev(1, 12), at(1));
    known.begin(zone("a"), rev(1, 11), at(1));
    known.confirm(rev(1, 12));
    assert_eq!(names(&known), ["a", "b"]);
}

/// Guards against a daemon that takes its first list for a restored copy.
#[test]
fn a_new_daemon_takes_the_first_set_as_it_is() {
    let mut known = Evacuations::default();
    known.replace(set(3, 8, &["b"]), at(0));
    assert_eq!(names(&known), ["b"]);
}

/// Daemons that hear of changes in random order from the store and from each other agree with the
/// store once they have its latest set.
#[test]
fn all_daemons_agree_in_the_end() {
    let all = ["a", "b", "c"];
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut truth = EvacuationSet::default();
        let mut daemons = vec![Evacuations::default(); 4];
        for step in 1..60 {
            let now = at(step * 10);
            let changed = zone(all.choose(&mut rng).expect("not empty"));
            truth.as_of = rev(1, step);
            let evacuated = rng.random();
            if evacuated {
                truth.zones.insert(changed.clone());
            } else {
                truth.zones.remove(&changed);
            }
            // One daemon reads each change; the others learn sets of a random other daemon.
            if evacuated {
                daemons[0].begin(changed, truth.as_of, now);
            } else {
                daemons[0].end(&changed, truth.as_of, now);
            }
            daemons[0].confirm(truth.as_of);
            for _ in 0..2 {
                let told = daemons
                    .choose(&mut rng)
                    .expect("not empty")
                    .stored()
                    .clone();
                let hears = rng.random_range(0..daemons.len());
                daemons[hears].replace(told, now);
            }
        }
        let last = daemons[0].stored().clone();
        for daemon in &mut daemons {
            daemon.replace(last.clone(), at(1_000));
            assert_eq!(daemon.zones(), &truth.zones, "seed {seed}");
        }
    }
}
