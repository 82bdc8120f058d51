//! The daemon of apricothall.

use std::path::PathBuf;
use std::process::ExitCode;

use apricothall_agent as _;
use apricothall_entry as _;
use apricothall_kernel::run::run;
use apricothall_kernel::{Settings, logging};
use apricothall_types::Role;
use clap::{Args, Parser, Subcommand};

/// Exit code when the daemon cannot start or fails.
const EXIT_FAILED: u8 = 1;

/// Distributes model weights to VMs and keeps live traffic correct in the meantime.
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
    /// Accepts requests from callers on an entry VM.
    Entry(SettingsSource),
    /// Serves the backend servers of its VM.
    Agent(SettingsSource),
}

#[derive(Args)]
#[group(required = true, multiple = false)]
struct SettingsSource {
    /// Settings file in TOML; `apricotctl check --print-default` shows one.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Run on a VM whose platform provides the settings in its own format.
    #[arg(long)]
    machine: bool,
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

fn start(role: Role, source: &SettingsSource) -> Result<(), Box<dyn std::error::Error>> {
    let Some(config) = &source.config else {
        return start_with_platform_settings();
    };
    let settings = Settings::load(config, Some(role))?;
    logging::install(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(settings, role))?;
    Ok(())
}

/// Runs with the platform's settings. Such VMs have a fraction of one core, so one thread does all
/// work.
fn start_with_platform_settings() -> Result<(), Box<dyn std::error::Error>> {
    let _writer = logging::install_json_stdout()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let running =
        apricothall_gateway::run::run(apricothall_platform::read, apricothall_platform::dialect());
    let ended = runtime.block_on(running);
    // A connection that still waits for its peer must not delay the end beyond the drain limit.
    runtime.shutdown_background();
    Ok(ended?)
}
