//! Prints the measurements of a run as a table with their targets.

use comfy_table::Table;

use crate::figures::Figures;

/// Prints the measurements and the targets of a run without faults.
pub fn print(figures: &Figures) {
    let mut table = Table::new();
    table.set_header(["figure", "target", "measured"]);
    let ratio = |value: Option<f64>| value.map_or("-".into(), |v| format!("{v:.2}"));
    let origin_target = if figures.faults.is_empty() {
        "<= 1.05"
    } else {
        "<= 2"
    };
    let slow = format!("{:.2}", figures.slowdown);
    let bad = figures.during.lost + figures.during.mixed;
    let memory = format!("{} MiB", figures.memory >> 20);
    table.add_row([
        "time to all, store's region / (size / VM link)",
        "<= 1.25",
        &ratio(figures.near),
    ]);
    table.add_row([
        "time to all, far regions / (size / region link)",
        "<= 1.15",
        &ratio(figures.far),
    ]);
    table.add_row([
        "bytes from store and origin / size",
        origin_target,
        &ratio(Some(figures.origin)),
    ]);
    table.add_row([
        "bytes over one link between regions / size",
        "<= 1.05",
        &ratio(Some(figures.crossed)),
    ]);
    table.add_row(["p95 first token during / before", "<= 1.2", &slow]);
    table.add_row([
        "live requests lost, truncated, mixed",
        "0",
        &bad.to_string(),
    ]);
    table.add_row([
        "live requests refused",
        "-",
        &figures.during.refused.to_string(),
    ]);
    table.add_row(["memory of an agent without chunks", "<= 128 MB", &memory]);
    table.add_row([
        "gossip of a daemon, bytes a second",
        "<= 10000",
        &format!("{:.0}", figures.control),
    ]);
    table.add_row([
        "seconds until all serve",
        "-",
        &format!("{:.1}", figures.serving),
    ]);
    eprintln!("{table}");
}
