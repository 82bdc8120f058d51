//! Retry budget, outlier ejection and graceful shutdown.

use std::time::Duration;

use apricothall_decide::configs::{DrainConfig, OutlierConfig, RetryConfig};
use apricothall_decide::drain::{Drain, DrainTrigger, Intake, Step, Work};
use apricothall_decide::outlier::{Attempt, OutlierDetector, Permit};
use apricothall_decide::retry::{Budget, Failure, Verdict, retry_after};
use apricothall_types::{MemberId, Outcome, Role, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn ids(count: usize) -> Vec<MemberId> {
    (0..count)
        .map(|i| format!("vm-{i}").parse().expect("valid id"))
        .collect()
}

const SAFE: Failure = Failure {
    outcome: Outcome::NotRun,
    repeatable: false,
    answered: false,
    suspect: false,
    attempts: 1,
};

macro_rules! retries {
    ($($case:ident: $verdict:pat = $failure:expr, $deadline:expr;)*) => {
        $(#[test] fn $case() {
            let mut budget = Budget::new(RetryConfig::default(), ms(0));
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let verdict = budget.decide($failure, ms($deadline), ms(0), &mut rng);
            assert!(matches!(verdict, $verdict), "{verdict:?}");
        })*
    };
}

retries! {
    not_run_is_retried: Verdict::Retry(_) =
        SAFE, 1_000;
    unknown_booking_is_not: Verdict::Unsafe =
        Failure { outcome: Outcome::Unknown, ..SAFE }, 1_000;
    failed_booking_is_not: Verdict::Unsafe =
        Failure { outcome: Outcome::Failed, ..SAFE }, 1_000;
    unknown_draft_is_retried: Verdict::Retry(_) =
        Failure { outcome: Outcome::Unknown, repeatable: true, ..SAFE }, 1_000;
    answered_draft_is_not: Verdict::Unsafe =
        Failure { repeatable: true, answered: true, ..SAFE }, 1_000;
    suspect_is_not: Verdict::Suspect =
        Failure { suspect: true, ..SAFE }, 1_000;
    last_attempt_is_final: Verdict::Attempts =
        Failure { attempts: 3, ..SAFE }, 1_000;
    passed_deadline_is_final: Verdict::Deadline =
        SAFE, 0;
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..Config::default()
    })]

    #[test]
    fn retries_stay_within_the_budget(steps in prop::collection::vec((0..200_u64, 0..4_u8), 1..400)) {
        let config = RetryConfig::default();
        let mut budget = Budget::new(config.clone(), ms(0));
        let mut rng = ChaCha8Rng::seed_from_u64(2);
        let (mut now, mut requests, mut retries) = (0, 0, 0);
        for (pause, kind) in steps {
            now += pause;
            if kind == 0 {
                budget.note_request(ms(now));
                requests += 1;
                continue;
            }
            let verdict = budget.decide(SAFE, ms(now + 10_000), ms(now), &mut rng);
            retries += u64::from(matches!(verdict, Verdict::Retry(_)));
            let earned = requests * u64::from(config.ratio) * 10 + now * u64::from(config.minimum);
            prop_assert!(retries * 1_000 <= u64::from(config.saved) * 1_000 + earned + 1);
        }
    }

    #[test]
    fn ejected_members_stay_below_the_share(steps in prop::collection::vec((0..9_usize, any::<bool>(), 0..900_u64), 1..400)) {
        let members = ids(9);
        let mut outlier = OutlierDetector::new(OutlierConfig::default());
        outlier.retain(members.clone());
        let mut now = ms(0);
        for (index, fails, pause) in steps {
            now = now + Duration::from_millis(pause);
            let id = &members[index];
            if outlier.permit(id, now) == Permit::Ejected {
                continue;
            }
            outlier.note_start(id, now);
            let slow = Duration::from_millis(pause * 10);
            outlier.record(id, if fails { Attempt::Failed } else { Attempt::Answered(slow) }, now);
            prop_assert!(outlier.ejected().count() <= 3);
        }
    }
}

#[test]
fn retry_after_is_whole_seconds_and_spread() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    assert_eq!(retry_after(Duration::ZERO, &mut rng), 1);
    for _ in 0..100 {
        let seconds = retry_after(Duration::from_secs(10), &mut rng);
        assert!((10..=15).contains(&seconds));
    }
    assert_eq!(retry_after(Duration::MAX, &mut rng), 300);
}

#[test]
fn ejection_time_doubles_and_a_successful_probe_ends_it() {
    let members = ids(4);
    let id = &members[0];
    let mut outlier = OutlierDetector::new(OutlierConfig::default());
    outlier.retain(members.clone());
    for _ in 0..2 {
        assert!(!outlier.record(id, Attempt::Failed, ms(0)));
    }
    assert!(outlier.record(id, Attempt::Failed, ms(0)));
    assert_eq!(outlier.permit(id, ms(1_999)), Permit::Ejected);
    assert_eq!(outlier.permit(id, ms(2_000)), Permit::Probe);
    outlier.note_start(id, ms(2_000));
    assert_eq!(outlier.permit(id, ms(2_001)), Permit::Ejected);
    assert!(outlier.record(id, Attempt::Failed, ms(2_100)));
    assert_eq!(outlier.permit(id, ms(6_099)), Permit::Ejected);
    outlier.note_start(id, ms(6_100));
    outlier.record(id, Attempt::Answered(Duration::ZERO), ms(6_200));
    assert_eq!(outlier.permit(id, ms(6_200)), Permit::Open);
}

#[test]
fn a_member_much_slower_than_the_median_is_ejected() {
    let members = ids(5);
    let mut outlier = OutlierDetector::new(OutlierConfig::default());
    outlier.retain(members.clone());
    for _ in 0..10 {
        for (id, millis) in members.iter().zip([100, 110, 120, 90, 900]) {
            outlier.record(id, Attempt::Answered(Duration::from_millis(millis)), ms(0));
        }
    }
    assert_eq!(outlier.ejected().collect::<Vec<_>>(), [&members[4]]);
}

const IDLE: Work = Work {
    running: 0,
    deliveries: 0,
    transfers: 0,
};
const BUSY: Work = Work { running: 1, ..IDLE };
const DELIVERING: Work = Work {
    deliveries: 1,
    ..IDLE
};
const SERVING: Work = Work {
    transfers: 1,
    ..IDLE
};

macro_rules! drains {
    ($($case:ident: $role:ident $trigger:ident, $work:expr, $after:expr => $intake:ident $step:ident;)*) => {
        $(#[test] fn $case() {
            let mut drain = Drain::new(DrainConfig::default(), Role::$role);
            assert_eq!(drain.intake(ms(0)), Intake::Take);
            assert_eq!(drain.step($work, ms(0)), Step::Serve);
            assert!(drain.record_trigger(DrainTrigger::$trigger, ms(1_000)));
            // A second trigger must neither shorten nor restart the drain.
            assert!(!drain.record_trigger(DrainTrigger::Signal, ms(1_500)));
            let now = ms(1_000 + $after);
            assert_eq!((drain.intake(now), drain.step($work, now)), (Intake::$intake, Step::$step));
        })*
    };
}

drains! {
    agent_refuses_at_once: Agent Signal, BUSY, 0 => Refuse Drain;
    agent_refuses_after_the_vm_list: Agent VmList, BUSY, 0 => Refuse Drain;
    agent_refuses_after_a_peer_report: Agent Peer, BUSY, 0 => Refuse Drain;
    agent_finishes_running_requests: Agent Signal, BUSY, 600_000 => Refuse Drain;
    agent_ends_when_idle: Agent Signal, IDLE, 3_000 => Refuse End;
    agent_serves_peers_within_the_transfer_time: Agent VmList, SERVING, 19_000 => Refuse Drain;
    agent_ends_despite_transfers: Agent VmList, SERVING, 20_000 => Refuse End;
    entry_forwards_for_the_grace: Entry Peer, IDLE, 1_900 => Forward Drain;
    entry_refuses_within_the_bound: Entry Peer, IDLE, 3_000 => Refuse Drain;
    entry_answers_during_the_keep_time: Entry Signal, IDLE, 29_000 => Refuse Drain;
    entry_ends_after_the_keep_time: Entry Signal, IDLE, 30_000 => Refuse End;
    entry_finishes_running_requests: Entry Signal, BUSY, 600_000 => Refuse Drain;
    // Guards against a stop that cuts answers which callers still receive (review/2).
    entry_waits_for_answers_to_be_received: Entry Signal, DELIVERING, 600_000 => Refuse Drain;
    limit_aborts_deliveries: Entry Signal, DELIVERING, 3_600_000 => Refuse Abort;
    limit_aborts_remaining_work: Entry Signal, BUSY, 3_600_000 => Refuse Abort;
}

#[test]
fn long_grace_is_capped() {
    let config = "grace = \"1m\"";
    let config: DrainConfig = toml::from_str(config).expect("parses");
    let mut drain = Drain::new(config, Role::Entry);
    drain.record_trigger(DrainTrigger::VmList, ms(0));
    assert_eq!(drain.intake(ms(3_000)), Intake::Refuse);
}
