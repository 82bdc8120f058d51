//! Traffic, convergence and processor time of membership and revisions against fleet size.
//!
//! `cargo run --release -p apricothall-decide --example gossip_scale [SIZE...]`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Instant;

use apricothall_types::{Holding, HoldingState, MemberState};
use fleet::Fleet;
use fleet::service::stamp;

const SECOND: u64 = 1_000;
const SIZES: [usize; 5] = [10, 50, 200, 800, 2400];
const SETTLE_SECS: u64 = 20;
const STEADY_SECS: u64 = 3;
const LIMIT: u64 = 60 * SECOND;
const BURST_VMS: usize = 540;
const BURST_ROUNDS: u64 = 3;
const BURST_SECS: u64 = 15;
const SEED: u64 = 2400;

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        SIZES.to_vec()
    } else {
        sizes
    };
    println!(
        "{:>5} {:>8} {:>8} {:>7} {:>7} {:>8} {:>9} {:>8} {:>8} {:>7} {:>8}",
        "n",
        "sent/s",
        "recv/s",
        "msg/10s",
        "largest",
        "cpu us/s",
        "rev s",
        "gone s",
        "burst B/s",
        "left",
        "settle s"
    );
    for n in sizes {
        row(n);
    }
}

fn row(n: usize) {
    let mut fleet = Fleet::new(n, SEED);
    fleet.publish_value(stamp(1, 1));
    fleet.run(SETTLE_SECS * SECOND, |_| false);

    let clock = Instant::now();
    fleet.run(STEADY_SECS * SECOND, |_| false);
    let cpu = clock.elapsed().as_micros() / n as u128 / u128::from(STEADY_SECS);

    fleet.measure = true;
    fleet.run(STEADY_SECS * SECOND, |_| false);
    let per = (n as u64) * STEADY_SECS;
    let sent = total(&fleet, |node| node.sent) / per;
    let received = total(&fleet, |node| node.received) / per;
    let messages = total(&fleet, |node| node.messages) * 10 / per;
    let largest = fleet
        .nodes
        .iter()
        .map(|node| node.largest)
        .max()
        .unwrap_or(0);
    fleet.measure = false;

    fleet.service[0] = Some(stamp(2, 1));
    let revision = fleet.run(LIMIT, |f| f.all_in_force(stamp(2, 1)));
    fleet.nodes[n - 1].up = false;
    let gone = fleet.run(LIMIT, |f| f.all_see(n - 1, Some(MemberState::Gone)));

    eprintln!(
        "n {n}: sent/s {sent} recv/s {received} msgs in 10 s {messages} largest {largest} cpu us/s {cpu} rev {revision:?} gone {gone:?}"
    );
    let before = total(&fleet, |node| node.sent + node.received);
    fleet.measure = true;
    burst(&mut fleet, n.min(BURST_VMS));
    fleet.measure = false;
    let bytes = total(&fleet, |node| node.sent + node.received) - before;
    let rate = bytes / (n as u64 * BURST_ROUNDS * BURST_SECS);
    let left = fleet
        .nodes
        .iter()
        .map(|node| node.view.backlog())
        .max()
        .unwrap_or(0);
    let settle = fleet.run(LIMIT, Fleet::is_converged);
    println!(
        "{n:>5} {sent:>8} {received:>8} {messages:>7} {largest:>7} {cpu:>8} {:>9} {:>8} {rate:>8} {left:>7} {:>8}",
        shown(revision),
        shown(gone),
        shown(settle)
    );
}

fn burst(fleet: &mut Fleet, count: usize) {
    for round in 0..BURST_ROUNDS {
        for step in 0..BURST_SECS {
            let part = (0..count).filter(|i| *i as u64 % BURST_SECS == step);
            for node in part {
                fleet.nodes[node].view.update_own(|own| {
                    own.holdings = vec![Holding {
                        name: "drafting".parse().expect("valid"),
                        version: format!("2026-{round}").parse().expect("valid"),
                        state: HoldingState::Complete,
                    }];
                });
            }
            fleet.run(SECOND, |_| false);
        }
    }
}

fn total(fleet: &Fleet, field: impl Fn(&fleet::Node) -> u64) -> u64 {
    fleet.nodes.iter().map(field).sum()
}

fn shown(seconds: Option<u64>) -> String {
    seconds.map_or_else(|| "-".to_owned(), |s| s.to_string())
}
