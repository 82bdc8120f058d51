//! The command line for operators of apricothall.

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

mod catalogue;
mod check;
mod entries;
mod error;
mod explain;
mod operator;
mod request;
mod status;
mod story;
mod table;

use error::ControlError;

/// Checks settings, queries daemons and sends single requests.
///
/// Exit codes: 0 fine, 1 refused or failed, 2 wrong usage.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks a settings file or a catalogue with the same code as the daemons.
    Check(check::CheckArguments),
    /// Shows members, revision in force, versions and transfers of a daemon.
    Status(operator::Target),
    /// Shows the addresses that callers should use.
    Entries(entries::EntriesArguments),
    /// Shows the catalogue in force at a daemon.
    Catalogue(operator::Target),
    /// Shows why a request would be routed, limited or refused.
    Explain(explain::ExplainArguments),
    /// Shows the history of a request, from log lines.
    Story(story::StoryArguments),
    /// Sends one request through an entry.
    Request(request::RequestArguments),
    /// Prints a shell completion script.
    #[command(after_help = "Example: apricotctl completions bash > apricotctl.bash")]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotctl: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), ControlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    match command {
        Command::Check(arguments) => check::run(&arguments),
        Command::Status(target) => runtime.block_on(status::run(&target)),
        Command::Entries(arguments) => runtime.block_on(entries::run(&arguments)),
        Command::Catalogue(target) => runtime.block_on(catalogue::run(&target)),
        Command::Explain(arguments) => runtime.block_on(explain::run(&arguments)),
        Command::Story(arguments) => story::run(&arguments),
        Command::Request(arguments) => runtime.block_on(request::run(arguments)),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "apricotctl", &mut std::io::stdout());
            Ok(())
        }
    }
}
