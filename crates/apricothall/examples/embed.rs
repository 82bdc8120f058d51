//! Embeds three components in another program: routing, admission and the register of
//! non-repeatable calls. It needs no daemon, no socket and no clock other than a counter.

use std::collections::BTreeSet;
use std::time::Duration;

use apricothall::admission::{Admission, SlotRequest, Verdict};
use apricothall::configs::{AdmissionConfig, DedupeConfig, RoutingConfig};
use apricothall::dedupe::{
    CallKey, ClockReading, Home, Order, Register, RegisterDecision, fingerprint,
};
use apricothall::routing::{Distance, Prefix, Query, Replica, Router};
use apricothall::types::{Class, Incarnation, RequestId, Timestamp, WallTime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

type BoxError = Box<dyn std::error::Error>;

fn main() -> Result<(), BoxError> {
    route()?;
    admit();
    run_once()
}

/// Ten requests with one prefix prefer the replicas that rank first for it, up to a load limit.
fn route() -> Result<(), BoxError> {
    let mut router = Router::new(RoutingConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut replicas = Vec::new();
    for name in ["vm-a", "vm-b", "vm-c"] {
        replicas.push(Replica {
            id: name.parse()?,
            distance: Distance::Zone,
        });
    }
    let excluded = BTreeSet::new();
    for step in 0..10 {
        let prefix = Some(Prefix::of(b"Span notes of crew 4:"));
        let query = Query {
            replicas: &replicas,
            excluded: &excluded,
            prefix,
            prompt: None,
        };
        let now = Timestamp::from_millis(step);
        let choice = router.choose(query, now, &mut rng).ok_or("no replica")?;
        println!(
            "request {step}: {} because {:?}",
            choice.member, choice.cause
        );
        router.note_start(&choice.member);
    }
    Ok(())
}

/// With one slot, the second request is queued and starts when the first ends.
fn admit() {
    let mut admission = Admission::new(AdmissionConfig::default(), 1);
    let now = Timestamp::from_millis(0);
    let deadline = now + Duration::from_secs(30);
    for id in [1, 2] {
        let ask = SlotRequest {
            id: RequestId(id),
            class: Class::Interactive,
            deadline,
        };
        let (verdict, _) = admission.request_slot(ask, now);
        let word = match verdict {
            Verdict::Run => "runs".to_owned(),
            Verdict::Wait => "waits".to_owned(),
            Verdict::Refuse(refusal) => format!("is refused: {refusal:?}"),
        };
        println!("request {id} {word}");
    }
    let change = admission.finish(RequestId(1), Timestamp::from_millis(800));
    println!("after the first ends, start {:?}", change.started);
}

/// A booking runs once; a repeated request gets the stored answer.
fn run_once() -> Result<(), BoxError> {
    let home = Home {
        id: "vm-a".parse()?,
        incarnation: Incarnation(7),
    };
    let mut register = Register::new(home.clone(), DedupeConfig::default());
    let (caller, name) = ("head-teacher".parse()?, "booking".parse()?);
    let key = CallKey::new(&name, &caller, &"cover-2026-12-04-room-3".parse()?);
    let clock = ClockReading {
        now: Timestamp::from_millis(0),
        wall: WallTime(0),
    };
    let order = Order {
        home,
        key,
        fingerprint: fingerprint(&caller, "POST", "/cover", b"room 3"),
        request: RequestId(9),
        deadline: clock.now + Duration::from_secs(5),
        expires: WallTime(60_000),
    };
    if register.admit(&order, clock) == RegisterDecision::Run {
        println!("the booking is made");
        register.finished(key, b"booked".to_vec().into());
    }
    println!("its repetition gets {:?}", register.admit(&order, clock));
    Ok(())
}
