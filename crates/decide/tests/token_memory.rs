//! Memory of engines under load patterns that would exceed it.

use std::time::Duration;

use apricothall_decide::token_memory::{MemoryReport, Senders, TokenMemory};
use apricothall_types::{Timestamp, TokenCount};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CAPACITY: TokenCount = TokenCount(40_000);

/// Time until a sent request appears in a report.
const LAG: Duration = Duration::from_millis(60);

const ALONE: Senders = Senders {
    count: 1,
    is_primary: true,
};

const PRIMARY: Senders = Senders {
    count: 4,
    is_primary: true,
};

const OTHER: Senders = Senders {
    count: 4,
    is_primary: false,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn lacking(memory: &TokenMemory, tokens: u64, senders: Senders, now: Timestamp) -> u64 {
    memory
        .lacking(TokenCount(tokens), CAPACITY, senders, LAG, now)
        .0
}

fn report(memory: &mut TokenMemory, used: u64, now: Timestamp) {
    let report = MemoryReport {
        used: TokenCount(used),
        total: CAPACITY,
    };
    memory.record_report(Some(report), now, now + Duration::from_millis(900));
}

#[test]
fn own_requests_fill_the_memory_and_free_it() {
    let mut memory = TokenMemory::default();
    report(&mut memory, 0, at(0));
    memory.reserve(TokenCount(30_000), at(100));
    assert_eq!(lacking(&memory, 10_000, ALONE, at(100)), 0);
    assert_eq!(lacking(&memory, 11_500, ALONE, at(100)), 1_500);
    // A report that does not contain the request yet does not free its tokens.
    report(&mut memory, 0, at(120));
    assert_eq!(lacking(&memory, 11_500, ALONE, at(120)), 1_500);
    report(&mut memory, 0, at(800));
    assert_eq!(lacking(&memory, 11_500, ALONE, at(800)), 1_500);
    memory.release(TokenCount(30_000));
    assert_eq!(lacking(&memory, 11_500, ALONE, at(800)), 0);
}

#[test]
fn requests_of_others_come_from_the_report() {
    let mut memory = TokenMemory::default();
    report(&mut memory, 35_000, at(0));
    assert_eq!(lacking(&memory, 6_000, ALONE, at(10)), 1_000);
    report(&mut memory, 30_000, at(100));
    assert_eq!(lacking(&memory, 6_000, ALONE, at(110)), 0);
}

#[test]
fn a_smaller_engine_than_published_holds_less() {
    let mut memory = TokenMemory::default();
    let small = MemoryReport {
        used: TokenCount(0),
        total: TokenCount(5_000),
    };
    memory.record_report(Some(small), at(0), at(900));
    assert_eq!(lacking(&memory, 6_000, ALONE, at(10)), 1_000);
}

/// Without a report, each other entry is assumed to hold as much as this one.
#[test]
fn a_missing_report_divides_the_memory_among_the_entries() {
    let mut memory = TokenMemory::default();
    memory.reserve(TokenCount(9_000), at(0));
    assert_eq!(lacking(&memory, 4_000, PRIMARY, at(10)), 0);
    assert_eq!(lacking(&memory, 5_000, PRIMARY, at(10)), 1_000);
    report(&mut memory, 9_000, at(100));
    assert_eq!(lacking(&memory, 10_000, PRIMARY, at(200)), 0);
    assert_eq!(lacking(&memory, 5_000, PRIMARY, at(2_000)), 1_000);
}

/// Guards against several entries that use the room of one report.
#[test]
fn the_primary_sender_has_half_of_the_room() {
    let mut memory = TokenMemory::default();
    report(&mut memory, 28_000, at(0));
    assert_eq!(lacking(&memory, 6_000, PRIMARY, at(100)), 0);
    assert_eq!(lacking(&memory, 7_000, PRIMARY, at(100)), 2_000);
    assert_eq!(lacking(&memory, 2_000, OTHER, at(100)), 0);
    memory.reserve(TokenCount(2_000), at(100));
    assert_eq!(lacking(&memory, 1_000, OTHER, at(110)), 6_000);
    assert_eq!(lacking(&memory, 4_000, PRIMARY, at(110)), 0);
}

/// Engines that report no memory have that of the entry's own requests checked.
#[test]
fn a_report_without_memory_limits_own_requests_only() {
    let mut memory = TokenMemory::default();
    memory.reserve(TokenCount(30_000), at(0));
    memory.record_report(None, at(500), at(1_400));
    assert_eq!(lacking(&memory, 10_000, OTHER, at(600)), 0);
    assert_eq!(lacking(&memory, 11_000, PRIMARY, at(600)), 1_000);
}

/// A request that needs the whole memory is served by an idle engine.
#[test]
fn the_largest_request_fits_into_an_idle_engine() {
    let mut memory = TokenMemory::default();
    report(&mut memory, 0, at(0));
    assert_eq!(lacking(&memory, CAPACITY.0, PRIMARY, at(10)), 0);
    assert_eq!(lacking(&memory, CAPACITY.0 + 1, PRIMARY, at(10)), 1);
}

/// A request at the engine of the simulation.
struct Held {
    entry: usize,
    tokens: u64,
    arrives: u64,
    ends: u64,
}

/// Largest number of tokens that an engine holds, and the number of requests that it gets, if each
/// of four entries has `rate` requests per second for it. It reports every 100 ms, 30 ms late.
fn largest_use(rate: f64, mean: f64, seed: u64) -> (u64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut entries = vec![TokenMemory::default(); 4];
    let mut held: Vec<Held> = Vec::new();
    let (mut most, mut sent) = (0, 0);
    let mut reported = 0;
    for now in 0..20_000_u64 {
        held.retain(|request| {
            if request.ends == now {
                entries[request.entry].release(TokenCount(request.tokens));
            }
            request.ends > now
        });
        let used = held.iter().filter(|r| r.arrives <= now);
        let used: u64 = used.map(|r| r.tokens).sum();
        most = most.max(used);
        if now % 100 == 0 {
            reported = used;
        }
        for (entry, memory) in entries.iter_mut().enumerate() {
            if now % 100 == 30 {
                report(memory, reported, at(now));
            }
            if !rng.random_bool(rate / 1_000.0) {
                continue;
            }
            let tokens = scaled(mean, rng.random::<f64>());
            let senders = if entry == 0 { PRIMARY } else { OTHER };
            if lacking(memory, tokens, senders, at(now)) > 0 {
                continue;
            }
            memory.reserve(TokenCount(tokens), at(now));
            sent += 1;
            held.push(Held {
                entry,
                tokens,
                arrives: now + 5,
                ends: now + 1_500 + rng.random_range(0..1_000),
            });
        }
    }
    (most, sent)
}

/// A size between half and three halves of `mean`.
fn scaled(mean: f64, draw: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small and positive"
    )]
    let tokens = (mean * (0.5 + draw)) as u64;
    tokens
}

macro_rules! engines_survive {
    ($($case:ident: $rate:literal per second of $mean:literal tokens => $served:literal requests at least;)*) => {
        $(#[test] fn $case() {
            for seed in 1..=20 {
                let (most, served) = largest_use($rate, $mean, seed);
                assert!(most <= CAPACITY.0, "seed {seed}: {most} tokens");
                assert!(served >= $served, "seed {seed}: {served} requests");
            }
        })*
    };
}

// Guards against engines that terminate because several entries use the same room at once. The
// engine can run about 18 requests of 1,100 tokens at a time in half of its memory.
engines_survive! {
    demand_within_the_memory: 3.0 per second of 1_100.0 tokens => 180 requests at least;
    demand_of_four_times_the_memory: 20.0 per second of 1_100.0 tokens => 250 requests at least;
    long_prompts: 4.0 per second of 6_000.0 tokens => 20 requests at least;
}
