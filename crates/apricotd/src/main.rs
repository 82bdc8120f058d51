//! The daemon of apricothall.

use std::path::PathBuf;
use std::process::ExitCode;

use apricothall_agent as _;
use apricothall_entry as _;
use apricothall_kernel::run::run;
use apricothall_kernel::{Settings, logging};
use apricothall_types::Role;
use clap::{Args, Parser, Subcommand};

/// Exit code of a refusal or failure.
const EXIT_FAILED: u8 = 1;

/// Spreads model weights over VMs and keeps live traffic correct meanwhile.
///
/// Exit codes: 0 ended as asked, 1 refused or failed, 2 wrong usage.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example: apricotd entry --config lima-entry-1.toml"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Takes requests from callers on an entry VM.
    Entry(Source),
    /// Serves the backend servers of its VM.
    Agent(Source),
}

#[derive(Args)]
struct Source {
    /// Settings file in TOML; `apricotctl check --print-default` shows one.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

fn main() -> ExitCode {
    let (role, source) = match Arguments::parse().command {
        Command::Entry(source) => (Role::Entry, source),
        Command::Agent(source) => (Role::Agent, source),
    };
    match start(role, &source) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotd: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn start(role: Role, source: &Source) -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings::load(&source.config, Some(role))?;
    logging::install(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(settings, role))?;
    Ok(())
}
