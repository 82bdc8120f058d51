//! `cargo xtask load`: simulates load patterns against the placement decisions of entries, with
//! emulated engines.

use std::time::Duration;

use apricothall_decide::placement::PlacementConfig;
use apricothall_standin::emulator::TIMING;
use apricothall_standin::experiment::{Experiment, Outcome, Pattern, Ranks, RequestKind, simulate};
use clap::{Args, ValueEnum};
use comfy_table::Table;

/// Duration of a simulation run, in ms.
const DURATION_MS: u64 = 24_000;

/// Arguments of the task.
#[derive(Args)]
pub struct LoadArguments {
    /// Variations of load and engines; all patterns if omitted.
    #[arg(long, value_delimiter = ',')]
    pattern: Vec<PatternName>,
    /// Number of engines in the zone.
    #[arg(long, default_value_t = 10)]
    engines: usize,
    /// Number of entries in the zone.
    #[arg(long, default_value_t = 4)]
    entries: u32,
    /// Requests per second for each engine.
    #[arg(long, default_value_t = 8.0)]
    rate: f64,
    /// Number of seeds; they are counted from 1.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Percentage of the objective that a prediction may take.
    #[arg(long)]
    margin: Option<u32>,
    /// The same percentage for retries of refused requests.
    #[arg(long)]
    return_margin: Option<u32>,
    /// Cost of a server for which another entry is the primary, in ms.
    #[arg(long)]
    shared_cost: Option<u64>,
    /// Tell only the highest priority from the others, as for services without protected ranks.
    #[arg(long)]
    two_ranks: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum PatternName {
    Calm,
    Burst,
    Overload,
    Shortage,
    Slow,
    Lost,
    Arriving,
    Priorities,
}

impl From<PatternName> for Pattern {
    fn from(name: PatternName) -> Self {
        match name {
            PatternName::Calm => Self::Calm,
            PatternName::Burst => Self::Burst,
            PatternName::Overload => Self::Overload,
            PatternName::Shortage => Self::Shortage,
            PatternName::Slow => Self::Slow,
            PatternName::Lost => Self::Lost,
            PatternName::Arriving => Self::Arriving,
            PatternName::Priorities => Self::Priorities,
        }
    }
}

/// Runs the simulations and prints a row for each pattern and kind of request.
pub fn run(arguments: &LoadArguments) {
    let mut patterns = arguments.pattern.clone();
    if patterns.is_empty() {
        patterns = PatternName::value_variants().to_vec();
    }
    let mut table = Table::new();
    table.set_header([
        "pattern", "kind", "asked", "timely", "late", "refused", "lost", "worth",
    ]);
    for pattern in patterns {
        let experiment = experiment(arguments, pattern.into());
        for (kind, outcome) in experiment
            .kinds
            .iter()
            .zip(sum(&experiment, arguments.seeds))
        {
            table.add_row([
                format!("{pattern:?}").to_lowercase(),
                kind.name.to_string(),
                outcome.total.to_string(),
                outcome.timely.to_string(),
                outcome.late.to_string(),
                outcome.refused.to_string(),
                outcome.lost.to_string(),
                format!("{:.3}", outcome.score()),
            ]);
        }
    }
    println!("{table}");
}

/// Sums the results for each kind of request over all seeds.
fn sum(experiment: &Experiment, seeds: u64) -> Vec<Outcome> {
    let mut sums = vec![Outcome::default(); experiment.kinds.len()];
    for seed in 1..=seeds {
        let outcomes = simulate(&Experiment {
            seed,
            ..experiment.clone()
        });
        for (sum, outcome) in sums.iter_mut().zip(outcomes) {
            sum.total += outcome.total;
            sum.timely += outcome.timely;
            sum.late += outcome.late;
            sum.refused += outcome.refused;
            sum.lost += outcome.lost;
        }
    }
    sums
}

/// Engines with 16 slots and three kinds of requests.
fn experiment(arguments: &LoadArguments, pattern: Pattern) -> Experiment {
    let kind = |name: &str, share, prompt, answer, objective, priority| RequestKind {
        name: name.into(),
        share,
        prompt,
        answer,
        objective: Duration::from_millis(objective),
        priority,
    };
    let kinds = if pattern == Pattern::Priorities {
        vec![
            kind("hazard", 0.34, 964.0, 119.0, 300, 1),
            kind("draft", 0.33, 964.0, 119.0, 300, 2),
            kind("digest", 0.33, 964.0, 119.0, 1_500, 3),
        ]
    } else {
        vec![
            kind("report", 0.39, 1_330.0, 144.0, 400, 0),
            kind("summary", 0.28, 827.0, 144.0, 400, 0),
            kind("note", 0.33, 647.0, 72.0, 300, 0),
        ]
    };
    let default = PlacementConfig::default();
    let shared_cost = arguments.shared_cost.map(Duration::from_millis);
    #[expect(clippy::cast_precision_loss, reason = "few engines")]
    let engines = arguments.engines as f64;
    Experiment {
        timing: TIMING,
        kinds,
        engines: arguments.engines,
        entries: arguments.entries,
        rate: arguments.rate * engines,
        pattern,
        length: DURATION_MS,
        placement: PlacementConfig {
            margin: arguments.margin.unwrap_or(default.margin),
            return_margin: arguments.return_margin.unwrap_or(default.return_margin),
            shared_cost: shared_cost.unwrap_or(default.shared_cost),
            ..default
        },
        ranks: if arguments.two_ranks {
            Ranks::Two
        } else {
            Ranks::Configured
        },
        seed: 1,
    }
}
