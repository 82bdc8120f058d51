//! Random changes of limits that overlap with restarts and freezes of entries.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::world::World;

/// Length of a run.
const RUN_TIME: Duration = Duration::from_secs(22);

/// Number of servers that name limits at times.
const LIMITED: usize = 3;

/// Number of servers that never do.
const OTHERS: usize = 3;

/// Range of the limits, in thousandths of a request per second.
const LIMITS: std::ops::Range<u32> = 200..4_000;

/// Runs `seed` with `entries` entries and returns the violations.
pub async fn run(seed: u64, entries: usize) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let zones: Vec<_> = (0..entries)
        .map(|_| if rng.random_bool(0.6) { "a" } else { "b" })
        .collect();
    let mut world = World::start(&format!("limits-{seed}"), &zones, LIMITED, OTHERS).await;
    world.start_callers();
    let ends = tokio::time::Instant::now() + RUN_TIME;
    while tokio::time::Instant::now() < ends {
        let step = apply_random_step(&mut world, entries, &mut rng).await;
        eprintln!("seed {seed}: {step}");
        tokio::time::sleep(Duration::from_millis(rng.random_range(200..2_500))).await;
    }
    world.thaw();
    world.close(Vec::new()).await
}

async fn apply_random_step(world: &mut World, entries: usize, rng: &mut ChaCha8Rng) -> String {
    let entry = rng.random_range(0..entries);
    let server = rng.random_range(0..LIMITED);
    match rng.random_range(0..12) {
        0 => world.kill(entry).await,
        1 => world.terminate(entry).await,
        2 => world.freeze(entry),
        3 => world.thaw(),
        4 => {
            world.limited[server].lift_limit();
            format!("server {server} names no limit")
        }
        _ => {
            let limit = f64::from(rng.random_range(LIMITS)) / 1_000.0;
            world.limited[server].name_limit(&limit.to_string());
            format!("server {server} names {limit}")
        }
    }
}
