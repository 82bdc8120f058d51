//! Memory of metrics that nobody fetches.

use apricothall_kernel::telemetry::Telemetry;

/// Samples recorded between two times at which they are summed up.
const ROUND: usize = 10_000;
const ROUNDS: usize = 100;

/// Memory that may be added meanwhile, in KB; each sample kept takes some 18 bytes.
const MAX_GROWTH_KB: u64 = 4_000;

/// Resident memory of this process in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("readable");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let words = line.expect("a size").split_whitespace().next();
    words.and_then(|size| size.parse().ok()).expect("a number")
}

/// Guards against a process that grows with each request, as nobody fetches its metrics.
#[test]
fn metrics_that_nobody_fetches_take_no_memory() {
    let telemetry = Telemetry::install().expect("the first recorder");
    let record = || {
        for number in (0_u32..).take(ROUND) {
            metrics::histogram!("apricothall_test_seconds").record(f64::from(number));
        }
    };
    record();
    telemetry.condense();
    let before = resident_kb();
    for _ in 0..ROUNDS {
        record();
        telemetry.condense();
    }
    let grown = resident_kb().saturating_sub(before);
    println!("{grown} KB for {} samples", ROUND * ROUNDS);
    assert!(grown < MAX_GROWTH_KB, "{grown} KB");
    let text = telemetry.render();
    let count = format!("apricothall_test_seconds_count {}", ROUND * (ROUNDS + 1));
    assert!(text.contains(&count), "{text}");
}
