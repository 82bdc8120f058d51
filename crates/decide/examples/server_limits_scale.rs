//! Cost of limits that servers name, by the number of entries: time to choose the senders anew after
//! a change of the entries, time of a decision for a server that names a limit and for one that is
//! cold, and state.
//!
//! `cargo run --release -p apricothall-decide --example server_limits_scale`

use std::hint::black_box;
use std::time::{Duration, Instant};

use apricothall_decide::server_limits::cold::ColdStart;
use apricothall_decide::server_limits::{Place, Sender, ServerLife, ServerLimits};
use apricothall_decide::servers::{Server, ServerState};
use apricothall_types::{Quota, Timestamp, WallTime};

/// Number of limited servers.
const SERVERS: usize = 50;

/// Number of decisions that are timed.
const DECISIONS: u32 = 1_000_000;

/// Number of choices of the senders that are timed.
const CHOICES: u32 = 20;

fn sender(index: usize) -> Sender {
    let zone = index % 7;
    Sender {
        id: format!("front-zone-{zone}-{index}").parse().expect("valid"),
        zone: format!("zone-{zone}").parse().expect("valid"),
        region: format!("region-{}", zone % 3).parse().expect("valid"),
    }
}

fn server(index: usize) -> ServerLife {
    let place = sender(index);
    ServerLife {
        id: format!("i-{index:010x}").parse().expect("valid"),
        born: WallTime(1_780_000_000_000),
        place: Place {
            zone: place.zone,
            region: Some(place.region),
        },
    }
}

/// The entry of a server that stays cold for a long time.
fn cold_server(index: usize) -> Server {
    let life = server(index);
    Server {
        id: format!("c-{index:010x}").parse().expect("valid"),
        service: "p".into(),
        address: "10.0.0.1:80".parse().expect("valid"),
        zone: life.place.zone,
        slots: 8,
        state: ServerState::Ready,
        born: life.born,
        loaded: Vec::new(),
        cold_remaining: Some(Duration::from_mins(5)),
    }
}

/// Time of a decision for a server that is cold, as an entry makes it for each candidate.
fn time_cold_decision(limits: &mut ServerLimits, now: Timestamp) -> Duration {
    let start = ColdStart {
        duration: Duration::from_mins(5),
        limit: Quota::per_second(17),
    };
    limits.cold.set_services([("p".into(), start)].into(), now);
    for index in 0..SERVERS {
        limits.observe_entry(&cold_server(index), now);
    }
    let server = cold_server(0);
    let started = Instant::now();
    for step in 0..DECISIONS {
        let now = now + Duration::from_micros(u64::from(step));
        black_box(limits.observe_entry(&server, now));
        black_box(limits.verdict(&server.id, server.born, now));
    }
    started.elapsed() / DECISIONS
}

fn main() {
    println!(
        "entries  choice, us a server  decision, ns  cold decision, ns  senders of a limit of 1.6"
    );
    for entries in [8, 60, 300, 2_400] {
        let now = Timestamp::from_millis(100_000);
        let all: Vec<_> = (0..entries).map(sender).collect();
        let mut limits = ServerLimits::new(all[0].id.clone(), Timestamp::default());
        limits.set_entries(all.clone(), now);
        for index in 0..SERVERS {
            limits.observe(&server(index), Some(Quota(1_600)), now, now);
        }
        let started = Instant::now();
        for turn in 0..CHOICES {
            let count = entries - usize::from(turn.is_multiple_of(2));
            limits.set_entries(all[..count].to_vec(), now);
        }
        let servers = u32::try_from(SERVERS).expect("few");
        let choice = started.elapsed() / CHOICES / servers;
        let life = server(0);
        let started = Instant::now();
        for step in 0..DECISIONS {
            let now = now + Duration::from_micros(u64::from(step));
            black_box(limits.verdict(&life.id, life.born, now));
        }
        let decision = started.elapsed() / DECISIONS;
        let cold = time_cold_decision(&mut limits, now).as_nanos();
        let sending = all.iter().filter(|own| {
            let mut limits = ServerLimits::new(own.id.clone(), Timestamp::default());
            limits.set_entries(all.clone(), now);
            limits.observe(&life, Some(Quota(1_600)), now, now);
            limits.counts().1 == 1
        });
        let sending = sending.count();
        let (choice, decision) = (choice.as_secs_f64() * 1e6, decision.as_nanos());
        println!("{entries:7}  {choice:19.1}  {decision:12}  {cold:17}  {sending}");
    }
}
