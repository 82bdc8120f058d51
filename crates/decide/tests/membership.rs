//! Membership under message loss, network partitions, process freezes, restarts and a faulty VM
//! list.

mod fleet;

use apricothall_decide::membership::{Extra, size_bound};
use apricothall_types::{Holding, HoldingState, MemberState, VmState};
use fleet::{Fleet, encoded};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: u64 = 1_000;
/// Time in which a fleet of forty members must converge, in ms.
const SETTLE: u64 = 60 * SECOND;

fn settled(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, seed);
    fleet.run(SETTLE, Fleet::is_converged).expect("converges");
    fleet
}

macro_rules! fault {
    ($($case:ident: $count:literal, |$fleet:ident| $body:block => |$seen:ident| $goal:expr;)*) => {
        $(#[test] fn $case() {
            let mut fleet = settled($count, 7);
            let $fleet = &mut fleet;
            $body
            let periods = fleet.run(SETTLE, |$seen| $goal);
            assert!(periods.is_some(), "goal not reached in time");
        })*
    };
}

fault! {
    dead_member_is_gone_everywhere: 20,
        |f| { f.nodes[3].up = false; } => |f| f.all_see(3, Some(MemberState::Gone));
    restart_supersedes_the_old_record: 20,
        |f| { f.add(3, 2); } => |f| f.is_converged();
    restart_after_gone_is_alive_again: 20,
        |f| { f.nodes[3].up = false; f.run(SETTLE, |_| false); f.add(3, 2); } => |f| f.is_converged();
    leaving_mark_of_the_list_suffices: 20,
        |f| { f.publish(|vms| vms[3].state = VmState::Leaving); }
        => |f| f.all_see(3, Some(MemberState::Leaving));
    leaving_state_of_the_member_suffices: 20,
        |f| { f.nodes[3].view.update_own(|own| own.state = MemberState::Leaving); }
        => |f| f.all_see(3, Some(MemberState::Leaving));
    member_announces_its_shutdown: 20,
        |f| { f.nodes[3].view.update_own(|own| own.state = MemberState::Gone); }
        => |f| f.all_see(3, Some(MemberState::Gone));
    list_that_drops_living_members_changes_nothing: 20,
        |f| { f.publish(Vec::clear); f.run(SETTLE, |_| false); } => |f| f.is_converged();
    member_is_alive_again_after_a_freeze: 20,
        |f| { f.freeze(3, 45 * SECOND); f.run(46 * SECOND, |_| false); } => |f| f.is_converged();
    partition_heals: 20,
        |f| {
            for node in f.nodes.iter_mut().step_by(2) { node.partition = 1; }
            f.run(180 * SECOND, |_| false);
            assert_eq!(f.state(0, 1), Some(MemberState::Gone));
            for node in &mut f.nodes { node.partition = 0; }
        } => |f| f.is_converged();
    newcomer_learns_the_view: 40,
        |f| { f.list.vms.push(fleet::vm(40)); f.add(40, 1); } => |f| f.is_converged();
    half_of_the_fleet_dies_at_once: 20,
        |f| { for node in &mut f.nodes[..10] { node.up = false; } }
        => |f| (0..10).all(|i| f.all_see(i, Some(MemberState::Gone))) && f.is_converged();
}

#[test]
fn leaving_mark_reaches_its_member_through_peers() {
    let mut fleet = settled(10, 3);
    let mut list = fleet.list.clone();
    list.revision = list.revision.next();
    list.vms[3].state = VmState::Leaving;
    let now = fleet.now;
    fleet.nodes[5].view.observe_list(&list, now);
    let done = |f: &Fleet| f.nodes[3].view.own().state == MemberState::Leaving;
    assert!(fleet.run(SETTLE, done).is_some());
}

#[test]
fn member_does_not_declare_others_gone_after_a_freeze() {
    let mut fleet = settled(20, 5);
    fleet.freeze(3, 120 * SECOND);
    fleet.run(120 * SECOND, |_| false);
    fleet.run(5 * SECOND, |f| {
        let dead = f.nodes[3]
            .view
            .members()
            .filter(|s| s.state == MemberState::Gone);
        assert_eq!(dead.count(), 0);
        false
    });
}

#[test]
fn gone_member_that_is_not_listed_is_removed() {
    let mut fleet = settled(10, 9);
    fleet.nodes[3].up = false;
    fleet.publish(|vms| {
        vms.remove(3);
    });
    assert!(fleet.run(400 * SECOND, |f| f.all_see(3, None)).is_some());
}

#[test]
fn older_daemon_with_the_same_id_is_superseded() {
    let mut fleet = settled(5, 1);
    let mut old = fleet.nodes[3].view.clone();
    fleet.add(3, 2);
    fleet.run(SETTLE, Fleet::is_converged).expect("converges");
    let now = fleet.now;
    let mut rng = fleet.rng().clone();
    let request = old.tick(now, &mut rng).remove(0);
    let target = request.target.clone().expect("known");
    let at = fleet
        .nodes
        .iter()
        .position(|n| n.view.own().id == target)
        .expect("known");
    let reply = fleet.nodes[at]
        .view
        .receive(&request.message, now, &mut rng);
    old.receive_reply(&target, &reply, now);
    assert_eq!(old.superseded().map(|i| i.0), Some(2));
}

#[test]
fn extra_sections_stay_within_their_size_limit() {
    let mut fleet = settled(5, 1);
    let extra = |len| Extra {
        kind: 1,
        data: vec![7; len],
    };
    fleet.nodes[0]
        .view
        .set_extras(vec![extra(4000), extra(100)]);
    let now = fleet.now;
    let mut rng = fleet.rng().clone();
    let request = fleet.nodes[0].view.tick(now, &mut rng).remove(0);
    assert_eq!(request.message.extras, vec![extra(100)]);
    assert!(encoded(&request.message) <= size_bound(&request.message));
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize, u64),
    Split(u8),
    Heal,
    Change(usize),
    Drop(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        any::<usize>().prop_map(Fault::Kill),
        any::<usize>().prop_map(Fault::Restart),
        (any::<usize>(), 1..60_u64).prop_map(|(i, s)| Fault::Freeze(i, s * SECOND)),
        any::<u8>().prop_map(Fault::Split),
        Just(Fault::Heal),
        any::<usize>().prop_map(Fault::Change),
        any::<usize>().prop_map(Fault::Drop),
    ]
}

fn apply(fleet: &mut Fleet, fault: &Fault, count: usize, incarnation: u64) {
    match *fault {
        Fault::Kill(i) => fleet.nodes[i % count].up = false,
        Fault::Restart(i) => fleet.add(i % count, incarnation),
        Fault::Freeze(i, millis) => fleet.freeze(i % count, millis),
        Fault::Split(mask) => {
            for (i, node) in fleet.nodes.iter_mut().enumerate() {
                node.partition = u8::from(i % 8 < usize::from(mask % 8));
            }
        }
        Fault::Heal => fleet.nodes.iter_mut().for_each(|n| n.partition = 0),
        Fault::Change(i) => fleet.nodes[i % count].view.update_own(|own| {
            own.holdings = vec![Holding {
                name: "model-a".parse().expect("valid"),
                version: format!("v{incarnation}").parse().expect("valid"),
                state: HoldingState::Serving,
            }];
        }),
        Fault::Drop(i) => fleet.publish(|vms| {
            let place = i % vms.len().max(1);
            if place > 0 && place < vms.len() {
                vms.remove(place);
            }
        }),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        max_shrink_iters: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_converge_once_faults_stop(
        count in 5..40_usize,
        seed: u64,
        loss in 0.0..0.3_f64,
        faults in prop::collection::vec((fault(), 0..40_u64), 1..16),
    ) {
        let mut fleet = Fleet::new(count, seed);
        fleet.measure = true;
        fleet.loss = loss;
        fleet.delay = (1, 400);
        for (step, (fault, wait)) in faults.iter().enumerate() {
            apply(&mut fleet, fault, count, step as u64 + 2);
            fleet.run(wait * SECOND, |_| false);
        }
        fleet.thaw();
        fleet.loss = 0.0;
        fleet.nodes.iter_mut().for_each(|n| n.partition = 0);
        // The VM list catches up with the running members, as it does within its maximum lag.
        fleet.publish(|vms| *vms = (0..count).map(fleet::vm).collect());
        let done = |f: &Fleet| {
            let dead = (0..count).filter(|i| !f.nodes[*i].up);
            f.is_converged() && dead.into_iter().all(|i| {
                (0..count).filter(|v| f.nodes[*v].up && *v != i).all(|v| {
                    matches!(f.state(v, i), None | Some(MemberState::Gone))
                })
            })
        };
        // Suspicions raised during the faults may still be refuted at first.
        fleet.run(120 * SECOND, |_| false);
        prop_assert!(done(&fleet), "views have not converged after 120 s");
        let diverged = fleet.run(60 * SECOND, |f| !done(f));
        prop_assert!(diverged.is_none(), "views diverged again after {diverged:?} s");
        for node in &fleet.nodes {
            prop_assert!(node.largest <= 1_000 && node.bulk <= 32 * 1024);
        }
    }
}
