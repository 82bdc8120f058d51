//! Tasks for developers: the burst, the main job of a fresh clone.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod build;
mod burst;
mod capacity;
mod figures;
mod fleet;
mod progress;
mod table;

/// Tasks for developers of apricothall.
#[derive(Parser)]
#[command(name = "cargo xtask")]
struct Arguments {
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Spreads a model to all agents under live traffic, with real daemons on loopback.
    #[command(after_help = "Example: cargo xtask burst --agents 12 --fault kill,corrupt --json")]
    Burst(burst::BurstArguments),
    /// Measures idle fleets of real daemons, for docs/CAPACITY.md.
    #[command(after_help = "Example: cargo xtask capacity --agents 10,50,100")]
    Capacity(capacity::CapacityArguments),
}

fn main() -> ExitCode {
    let task = Arguments::parse().task;
    let done = build::daemon().and_then(|binary| {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        match task {
            Task::Burst(arguments) => runtime.block_on(burst::run(arguments, binary)),
            Task::Capacity(arguments) => runtime.block_on(capacity::run(arguments, binary)),
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}
