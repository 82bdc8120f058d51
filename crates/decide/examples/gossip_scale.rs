//! Measures traffic, convergence time and CPU time of membership and revision gossip by fleet size.
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
const SETTLE_SECS: u64 = 60;
const STEADY_SECS: u64 = 3;
const LIMIT: u64 = 60 * SECOND;
const CHURN_SECS: u64 = 60;
/// Seconds between two revisions, which is 22,000 per day.
const REVISION_SECS: usize = 4;
/// Seconds between two restarts at the target size, which with failures is 4,750 per day.
const RESTART_SECS: u64 = 18;
const TARGET: u64 = 2_400;
const POLL_INTERVAL_MS: u64 = 50;
const COPIES: usize = 50;
const PAGE_BYTES: u64 = 4_096;
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
        "n | steady: sent B/s, received B/s, messages in 10 s | cpu us/s | slowest revision ms | \
         gone s | burst: sent B/s, received B/s, messages in 10 s | left | settled after s"
    );
    for n in sizes {
        print_row(n);
    }
}

fn print_row(n: usize) {
    let mut fleet = Fleet::new(n, SEED);
    fleet.publish_value(stamp(1, 1));
    fleet.run(SETTLE_SECS * SECOND, |_| false);
    eprintln!("n {n}: memory of one view {} B", view_bytes(&fleet));

    let clock = Instant::now();
    fleet.run(STEADY_SECS * SECOND, |_| false);
    let cpu = clock.elapsed().as_micros() / n as u128 / u128::from(STEADY_SECS);
    let steady = measured(&mut fleet, STEADY_SECS, |f| {
        f.run(STEADY_SECS * SECOND, |_| false);
    });
    eprintln!("n {n}: steady {steady}, cpu us/s {cpu}");

    let mut spreads = Vec::new();
    let churned = measured(&mut fleet, CHURN_SECS, |f| spreads = churn(f, n));
    eprintln!("n {n}: churn {churned}, revision in force everywhere after ms {spreads:?}");

    fleet.nodes[n - 1].up = false;
    let gone = fleet.run(LIMIT, |f| f.all_see(n - 1, Some(MemberState::Gone)));
    eprintln!("n {n}: gone {} s", format_seconds(gone));

    let rate = measured(&mut fleet, BURST_ROUNDS * BURST_SECS, |f| {
        burst(f, n.min(BURST_VMS));
    });
    let left = fleet.nodes.iter().map(|node| node.view.backlog()).max();
    let settle = fleet.run(LIMIT, Fleet::is_converged);
    println!(
        "{n:>5} | {steady} | {cpu:>6} | {:>6} | {} | {rate} | {:>5} | {}",
        spreads.iter().max().copied().unwrap_or(0),
        format_seconds(gone),
        left.unwrap_or(0),
        format_seconds(settle)
    );
}

/// Applies restarts, failures and revisions at the target rates, scaled to `n` members. Returns the
/// time in milliseconds after which each revision was in force at all members.
fn churn(fleet: &mut Fleet, n: usize) -> Vec<u64> {
    let mut spreads = Vec::new();
    let every = (RESTART_SECS * TARGET / n as u64).max(1);
    for second in (0..CHURN_SECS).step_by(REVISION_SECS) {
        if second % every < REVISION_SECS as u64 {
            let index = 1 + usize::try_from(second).expect("small") % (n - 1);
            fleet.add(index, 2 + second);
        }
        let value = stamp(2 + second, 1);
        fleet.service[0] = Some(value);
        let start = fleet.now;
        fleet.check_interval_ms = POLL_INTERVAL_MS;
        let done = fleet.run(REVISION_SECS as u64 * SECOND, |f| f.all_in_force(value));
        fleet.check_interval_ms = SECOND;
        let spent = u64::try_from(fleet.now.since(start).as_millis()).expect("seconds");
        spreads.push(done.map_or(LIMIT, |_| spent));
        fleet.run(
            (REVISION_SECS as u64 * SECOND).saturating_sub(spent),
            |_| false,
        );
    }
    spreads
}

/// Resident memory of a view, measured as the growth of the process per copy.
fn view_bytes(fleet: &Fleet) -> u64 {
    let before = resident();
    let copies = vec![fleet.nodes[0].view.clone(); COPIES];
    let grown = resident().saturating_sub(before);
    drop(copies);
    grown / COPIES as u64
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Bytes sent and received per second and messages sent in 10 s, per member.
fn measured(fleet: &mut Fleet, secs: u64, work: impl FnOnce(&mut Fleet)) -> String {
    let read = |f: &Fleet| {
        let sent = total(f, |node| node.sent);
        (
            sent,
            total(f, |node| node.received),
            total(f, |node| node.messages),
        )
    };
    let before = read(fleet);
    fleet.measure = true;
    work(fleet);
    fleet.measure = false;
    let after = read(fleet);
    let per = fleet.nodes.len() as u64 * secs;
    let rate = |from: u64, to: u64| to.saturating_sub(from) / per;
    let messages = rate(before.2 * 10, after.2 * 10);
    format!(
        "{:>5} {:>5} {messages:>3}",
        rate(before.0, after.0),
        rate(before.1, after.1)
    )
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

fn format_seconds(seconds: Option<u64>) -> String {
    seconds.map_or_else(|| "-".to_owned(), |s| s.to_string())
}
