//! Rollout decisions, placement, and the bound on concurrent reloads under stale views.

use apricothall_decide::configs::RolloutConfig;
use apricothall_decide::rollout::{
    Candidate, Decision, LocalState, Reason, Report, Target, decide, place, ranks,
};
use apricothall_types::{MemberId, Revision, Timestamp, Version};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const NOW: Timestamp = Timestamp::from_millis(100_000);
const CHANGE: Revision = Revision(7);
const OLD: Timestamp = Timestamp::from_millis(1_000);

fn id(at: usize) -> MemberId {
    format!("vm-{at}").parse().expect("valid id")
}

fn version(text: &str) -> Version {
    text.parse().expect("valid version")
}

fn report(at: usize, serving: Option<&str>, time: Timestamp) -> Report {
    Report {
        id: id(at),
        serving: serving.map(version),
        revision: CHANGE,
        at: time,
    }
}

fn own(serving: Option<&str>, loading: Option<&str>, complete: &[&str]) -> LocalState {
    LocalState {
        serving: serving.map(version),
        loading: loading.map(version),
        complete: complete.iter().map(|v| version(v)).collect(),
    }
}

/// Returns the decision of the second of three replicas for wanted version 2 and a window of one.
fn second(own: &LocalState, reports: &[Report]) -> Decision {
    let wanted = Target {
        version: version("2"),
        since: CHANGE,
        ranks: vec![id(0), id(1), id(2)],
        window: std::num::NonZeroU32::MIN,
    };
    decide(
        &RolloutConfig::default(),
        &id(1),
        own,
        Some(&wanted),
        reports,
        NOW,
    )
}

macro_rules! second_decides {
    ($($case:ident: $own:expr, [$($report:expr),*] => $decision:expr;)*) => {
        $(#[test] fn $case() { assert_eq!(second(&$own, &[$($report),*]), $decision); })*
    };
}

second_decides! {
    new_entry_is_fetched: own(None, None, &[]), [] => Decision::Fetch(version("2"));
    changed_version_is_fetched: own(Some("1"), None, &["1"]), [] => Decision::Fetch(version("2"));
    change_during_a_load_waits: own(None, Some("1"), &["2"]), [] => Decision::Wait(Reason::Loading);
    served_version_is_kept: own(Some("2"), None, &[]), [] => Decision::Keep;
    first_is_unseen: own(Some("1"), None, &["2"]), [] => Decision::Wait(Reason::Rank);
    first_has_the_old_one: own(Some("1"), None, &["2"]),
        [report(0, Some("1"), NOW), report(2, Some("1"), NOW)] => Decision::Wait(Reason::Rank);
    first_is_done: own(Some("1"), None, &["2"]),
        [report(0, Some("2"), NOW), report(2, Some("1"), NOW)] => Decision::Reload(version("2"));
    rollback_needs_no_fetch: own(Some("3"), None, &["2", "3"]),
        [report(0, Some("2"), NOW), report(2, Some("3"), NOW)] => Decision::Reload(version("2"));
    last_is_out: own(Some("1"), None, &["2"]),
        [report(0, Some("2"), NOW), report(2, None, NOW)] => Decision::Wait(Reason::Window);
    last_report_is_old: own(Some("1"), None, &["2"]),
        [report(0, Some("2"), NOW), report(2, Some("1"), OLD)] => Decision::Wait(Reason::Window);
    out_of_service_itself: own(None, None, &["2"]),
        [report(0, Some("2"), NOW), report(2, None, NOW)] => Decision::Reload(version("2"));
}

#[test]
fn report_from_before_the_change_does_not_count() {
    let stale = Report {
        revision: Revision(CHANGE.0 - 1),
        ..report(0, Some("2"), NOW)
    };
    let own = own(Some("3"), None, &["2"]);
    let found = second(&own, &[stale, report(2, Some("3"), NOW)]);
    assert_eq!(found, Decision::Wait(Reason::Rank));
}

#[test]
fn removed_entry_is_dropped() {
    let own = own(Some("1"), None, &["1"]);
    let found = decide(&RolloutConfig::default(), &id(1), &own, None, &[], NOW);
    assert_eq!(found, Decision::Drop);
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|at| Candidate {
            id: id(at),
            zone: format!("zone-{}", at % 3).parse().expect("valid zone"),
        })
        .collect()
}

/// A replica of the model: its own state and the reports that it last received from each replica.
#[derive(Clone, Default)]
struct Replica {
    own: LocalState,
    received: Vec<Report>,
    /// Reports that it has sent, any of which may arrive late.
    sent: Vec<Report>,
    wants: usize,
    /// Change that the current or latest load belongs to.
    loads: usize,
}

#[derive(Clone, Debug)]
enum Step {
    /// A replica decides and starts a reload if permitted.
    Decide(usize),
    /// The load of a replica finishes.
    Finish(usize),
    /// A replica's report reaches another replica. Partitions and suspended processes are modelled
    /// as reports that are not delivered.
    Deliver(usize, usize, usize),
    /// The next wanted version reaches a replica.
    Learn(usize),
}

fn step(count: usize) -> impl Strategy<Value = Step> {
    let one = 0..count;
    prop_oneof![
        3 => one.clone().prop_map(Step::Decide),
        2 => one.clone().prop_map(Step::Finish),
        2 => (one.clone(), one.clone(), 0..MAX_LAG).prop_map(|(a, b, late)| Step::Deliver(a, b, late)),
        1 => one.prop_map(Step::Learn),
    ]
}

const COUNT: usize = 4;
/// Maximum number of newer reports that a delivered report may lag behind.
const MAX_LAG: usize = 6;

struct Zone {
    replicas: Vec<Replica>,
    ranks: Vec<MemberId>,
    window: u32,
    versions: usize,
}

impl Zone {
    fn new(window: u32, versions: usize) -> Self {
        let replica = Replica {
            own: own(Some("0"), None, &["0", "1"]),
            received: (0..COUNT)
                .map(|of| report_of(of, Some(version("0")), 0))
                .collect(),
            sent: Vec::new(),
            wants: 0,
            loads: 0,
        };
        let ids: Vec<_> = (0..COUNT).map(id).collect();
        Self {
            replicas: vec![replica; COUNT],
            ranks: ranks("entry", &ids),
            window,
            versions,
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Decide(at) => self.decide(at),
            Step::Finish(at) => {
                let own = &mut self.replicas[at].own;
                if let Some(loaded) = own.loading.take() {
                    own.serving = Some(loaded);
                }
            }
            Step::Deliver(from, to, late) => {
                let Replica {
                    own, wants, sent, ..
                } = &mut self.replicas[from];
                sent.push(report_of(from, own.serving.clone(), *wants));
                let back = sent.len().saturating_sub(late + 1);
                self.replicas[to].received[from] = self.replicas[from].sent[back].clone();
            }
            Step::Learn(at) => {
                let wants = &mut self.replicas[at].wants;
                *wants = (*wants + 1).min(self.versions);
            }
        }
    }

    fn decide(&mut self, at: usize) {
        let replica = &self.replicas[at];
        let wanted = Target {
            version: change(replica.wants),
            since: Revision(replica.wants as u64),
            ranks: self.ranks.clone(),
            window: self.window.try_into().expect("not zero"),
        };
        // Every report counts as recent, as the bound must hold for views of any age.
        let reports = &replica.received;
        let config = RolloutConfig::default();
        let found = decide(&config, &id(at), &replica.own, Some(&wanted), reports, NOW);
        if let Decision::Reload(next) = found {
            let own = &mut self.replicas[at].own;
            own.serving = None;
            own.loading = Some(next);
            self.replicas[at].loads = self.replicas[at].wants;
        }
    }

    /// Returns the number of replicas that are loading for one change.
    fn out(&self, change: usize) -> usize {
        let is_out = |r: &&Replica| r.own.loading.is_some() && r.loads == change;
        self.replicas.iter().filter(is_out).count()
    }

    /// Ends all faults: all changes reach every replica, all reports arrive, and all loads finish.
    fn end_faults(&mut self) {
        for _ in 0..COUNT * self.versions * 2 {
            for at in 0..COUNT {
                self.apply(&Step::Finish(at));
                self.apply(&Step::Learn(at));
            }
            for pair in 0..COUNT * COUNT {
                self.apply(&Step::Deliver(pair / COUNT, pair % COUNT, 0));
            }
            for at in 0..COUNT {
                self.apply(&Step::Decide(at));
            }
        }
    }

    fn is_updated(&self) -> bool {
        let last = change(self.versions);
        self.replicas
            .iter()
            .all(|r| r.own.serving.as_ref() == Some(&last))
    }
}

/// Versions alternate, so that every second change is a rollback.
fn change(number: usize) -> Version {
    version(if number.is_multiple_of(2) { "0" } else { "1" })
}

fn report_of(of: usize, serving: Option<Version>, wants: usize) -> Report {
    Report {
        id: id(of),
        serving,
        revision: Revision(wants as u64),
        at: NOW,
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// For each version change, at most `window` replicas reload at once.
    #[test]
    fn reloads_stay_within_the_window(
        window in 1_u32..3,
        versions in 1_usize..4,
        steps in prop::collection::vec(step(COUNT), 0..300),
    ) {
        let mut zone = Zone::new(window, versions);
        for step in &steps {
            zone.apply(step);
            for change in 1..=versions {
                prop_assert!(zone.out(change) <= window as usize);
            }
        }
        zone.end_faults();
        prop_assert!(zone.is_updated());
    }

    #[test]
    fn placement_is_spread_and_stable(count in 1_usize..40, replicas in 1_u32..40, gone: usize) {
        let all = candidates(count);
        let before = place("entry", replicas, &all);
        prop_assert_eq!(before.len(), count.min(replicas as usize));
        let mut rest = all.clone();
        rest.remove(gone % count);
        prop_assume!(!rest.is_empty());
        let after = place("entry", replicas, &rest);
        let moved = after.iter().filter(|id| !before.contains(id)).count();
        prop_assert!(moved <= 3, "{moved} replicas moved");
    }
}
