//! Developer tasks: distributing a version under live traffic, capacity measurements, load
//! simulations and plots of the results.

use std::path::Path;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod build;
mod burst;
mod capacity;
mod error;
mod faults;
mod figures;
mod fleet;
mod load;
mod progress;
mod report;
mod resources;
mod table;

use error::TaskError;

/// Developer tasks of apricothall.
#[derive(Parser)]
#[command(name = "cargo xtask")]
struct Arguments {
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Distributes a model to all agents under live traffic, with real daemons on loopback.
    #[command(after_help = "Example: cargo xtask burst --agents 12 --fault kill,corrupt --json")]
    Burst(burst::BurstArguments),
    /// Runs a burst from the origin alone and one with peer transfers, for each number of agents.
    #[command(after_help = "Example: cargo xtask compare --counts 6,12,24 --json")]
    Compare(CompareArguments),
    /// Measures idle fleets of real daemons, for docs/CAPACITY.md.
    #[command(after_help = "Example: cargo xtask capacity --agents 10,50,100")]
    Capacity(capacity::CapacityArguments),
    /// Simulates load patterns against the placement decisions of entries, with emulated engines.
    #[command(after_help = "Example: cargo xtask load --pattern burst,lost --margin 80")]
    Load(load::LoadArguments),
    /// Draws plots from the lines of JSON that bursts print.
    Report(report::ReportArguments),
}

#[derive(clap::Args)]
struct CompareArguments {
    /// Numbers of agents.
    #[arg(long, value_delimiter = ',', default_value = "6,12")]
    counts: Vec<usize>,
    #[command(flatten)]
    burst: burst::BurstArguments,
}

async fn compare(arguments: CompareArguments, binary: &Path) -> Result<(), TaskError> {
    for agents in arguments.counts {
        for strategy in ["origin", "ranked"] {
            let burst = burst::BurstArguments {
                agents,
                strategy: strategy.into(),
                ..arguments.burst.clone()
            };
            burst::run(burst, binary.to_owned()).await?;
        }
    }
    Ok(())
}

fn run(task: Task) -> Result<(), TaskError> {
    match &task {
        Task::Report(arguments) => return report::run(arguments),
        Task::Load(arguments) => {
            load::run(arguments);
            return Ok(());
        }
        Task::Burst(_) | Task::Compare(_) | Task::Capacity(_) => {}
    }
    let binary = build::daemon()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match task {
            Task::Burst(arguments) => burst::run(arguments, binary).await,
            Task::Capacity(arguments) => capacity::run(arguments, binary).await,
            Task::Compare(arguments) => compare(arguments, &binary).await,
            Task::Report(_) | Task::Load(_) => Ok(()),
        }
    })
}

fn main() -> ExitCode {
    match run(Arguments::parse().task) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}
