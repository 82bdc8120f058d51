//! Admission queue: capacity, critical requests, deadlines and aging.

use std::collections::BTreeMap;

use apricothall_decide::admission::{Admission, QueueUpdate, SlotRequest, Verdict};
use apricothall_decide::configs::AdmissionConfig;
use apricothall_decide::limits::Reason;
use apricothall_types::{Class, Interval, RequestId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const CLASSES: [Class; 3] = [Class::Batch, Class::Interactive, Class::Critical];

fn config() -> AdmissionConfig {
    AdmissionConfig {
        batch: 3,
        interactive: 4,
        critical: 2,
        reserve: 1,
        service: Interval::millis(100),
        ..AdmissionConfig::default()
    }
}

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn slot_request(id: u128, class: Class, deadline: u64) -> SlotRequest {
    let id = RequestId(id);
    let deadline = ms(deadline);
    SlotRequest {
        id,
        class,
        deadline,
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { class: usize, within: u64 },
    Finish,
    Poll,
    Freeze(u64),
    Resize(u32),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..3_usize, 0..3_000_u64).prop_map(|(class, within)| Event::Arrive { class, within }),
        3 => Just(Event::Finish),
        1 => Just(Event::Poll),
        1 => (0..2_000_u64).prop_map(Event::Freeze),
        1 => (0..5_u32).prop_map(Event::Resize),
    ]
}

/// Tracks the decisions on all requests and checks that each request is started or refused exactly
/// once.
#[derive(Default)]
struct Observer {
    open: BTreeMap<RequestId, (Class, Timestamp)>,
    running: Vec<RequestId>,
}

impl Observer {
    fn apply(&mut self, change: &QueueUpdate, now: Timestamp) {
        for (id, refusal) in &change.refused {
            let (class, deadline) = self.open.remove(id).expect("queued");
            let passed = now >= deadline;
            assert_eq!(refusal.reason == Reason::Deadline, passed);
            assert!(passed || class < Class::Critical, "critical displaced");
        }
        for id in &change.started {
            let (_, deadline) = self.open.remove(id).expect("queued");
            assert!(now < deadline, "started past its deadline");
            self.running.push(*id);
        }
    }
}

fn schedule(events: Vec<Event>) {
    let mut admission = Admission::new(config(), 3);
    let mut observer = Observer::default();
    let mut now = ms(1);
    for (id, event) in events.into_iter().enumerate() {
        now = now + std::time::Duration::from_millis(7);
        match event {
            Event::Arrive { class, within } => {
                let class = CLASSES[class];
                let id = RequestId(id as u128);
                let deadline = now + std::time::Duration::from_millis(within);
                let ask = SlotRequest {
                    id,
                    class,
                    deadline,
                };
                let (verdict, change) = admission.request_slot(ask, now);
                observer.apply(&change, now);
                match verdict {
                    Verdict::Run => observer.running.push(id),
                    Verdict::Wait => {
                        observer.open.insert(id, (class, deadline));
                    }
                    Verdict::Refuse(refusal) if class == Class::Critical => {
                        let lower =
                            admission.waiting(Class::Batch) + admission.waiting(Class::Interactive);
                        let full = lower == 0 && admission.waiting(class) >= config().critical;
                        assert!(full || now >= deadline, "{refusal:?} with {lower} lower");
                    }
                    Verdict::Refuse(refusal) => assert!(!refusal.after.is_zero()),
                }
            }
            Event::Finish => {
                if let Some(id) = observer.running.pop() {
                    let change = admission.finish(id, now);
                    observer.apply(&change, now);
                }
            }
            Event::Poll => observer.apply(&admission.poll(now), now),
            Event::Freeze(millis) => now = now + std::time::Duration::from_millis(millis),
            Event::Resize(slots) => observer.apply(&admission.resize(slots, now), now),
        }
        assert!(admission.queued() <= admission.queue_capacity());
        assert!(admission.waiting(Class::Batch) <= config().batch);
        assert!(admission.waiting(Class::Interactive) <= config().interactive);
        assert_eq!(admission.queued(), observer.open.len());
        assert_eq!(admission.running(), observer.running.len());
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    #[test]
    fn queue_invariants_hold(events in prop::collection::vec(event(), 1..200)) {
        schedule(events);
    }
}

#[test]
fn critical_displaces_the_youngest_of_the_lowest_class() {
    let mut admission = Admission::new(config(), 1);
    admission.request_slot(slot_request(0, Class::Batch, 60_000), ms(0));
    for id in 1..4 {
        admission.request_slot(slot_request(id, Class::Batch, 60_000), ms(0));
    }
    for id in 4..6 {
        let (verdict, change) =
            admission.request_slot(slot_request(id, Class::Critical, 60_000), ms(0));
        assert_eq!((verdict, change), (Verdict::Wait, QueueUpdate::default()));
    }
    let (verdict, change) = admission.request_slot(slot_request(6, Class::Critical, 60_000), ms(0));
    assert_eq!(verdict, Verdict::Wait);
    let refused: Vec<_> = change.refused.iter().map(|r| (r.0, r.1.reason)).collect();
    assert_eq!(refused, [(RequestId(3), Reason::Displaced)]);
}

#[test]
fn wait_beyond_the_deadline_is_refused_at_once() {
    let mut admission = Admission::new(config(), 2);
    admission.request_slot(slot_request(0, Class::Interactive, 60_000), ms(0));
    let (verdict, _) = admission.request_slot(slot_request(1, Class::Interactive, 50), ms(0));
    let Verdict::Refuse(refusal) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.reason, Reason::Wait);
}

#[test]
fn deadline_is_enforced_at_the_start_after_a_freeze() {
    let mut admission = Admission::new(config(), 1);
    admission.request_slot(slot_request(0, Class::Interactive, 60_000), ms(0));
    admission.request_slot(slot_request(1, Class::Interactive, 5_000), ms(0));
    assert_eq!(admission.next_deadline(), Some(ms(5_000)));
    let change = admission.finish(RequestId(0), ms(5_000));
    assert!(change.started.is_empty());
    assert_eq!(change.refused[0].1.reason, Reason::Deadline);
}

#[test]
fn aged_batch_starts_under_constant_interactive_load() {
    let mut admission = Admission::new(config(), 2);
    let mut now = ms(0);
    admission.request_slot(
        slot_request(0, Class::Interactive, u64::MAX / 2_000_000),
        now,
    );
    admission.request_slot(slot_request(1, Class::Batch, u64::MAX / 2_000_000), now);
    let mut running = RequestId(0);
    for id in 2..1_000 {
        now = now + std::time::Duration::from_millis(100);
        admission.request_slot(
            slot_request(id, Class::Interactive, u64::MAX / 2_000_000),
            now,
        );
        let change = admission.finish(running, now);
        running = change.started[0];
        if running == RequestId(1) {
            return;
        }
    }
    panic!("the batch request was never started");
}
