//! Cost of limits that servers name, by the number of entries: time to choose the senders anew after
//! a change of the entries, time of a decision, and state.
//!
//! `cargo run --release -p apricothall-decide --example server_limits_scale`

use std::hint::black_box;
use std::time::{Duration, Instant};

use apricothall_decide::server_limits::{Place, Sender, ServerLife, ServerLimits};
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

fn main() {
    println!("entries  choice, us a server  decision, ns  senders of a limit of 1.6");
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
        let sending = all.iter().filter(|own| {
            let mut limits = ServerLimits::new(own.id.clone(), Timestamp::default());
            limits.set_entries(all.clone(), now);
            limits.observe(&life, Some(Quota(1_600)), now, now);
            limits.counts().1 == 1
        });
        let sending = sending.count();
        let (choice, decision) = (choice.as_secs_f64() * 1e6, decision.as_nanos());
        println!("{entries:7}  {choice:19.1}  {decision:12}  {sending}");
    }
}
