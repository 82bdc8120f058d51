//! `apricotctl check`: validates settings and catalogues with the same code as the daemons.

use std::path::{Path, PathBuf};

use apricothall_kernel::Settings;
use apricothall_kernel::settings::DEFAULT_FILE;
use apricothall_types::{Catalogue, Role};
use clap::Args;
use serde_json::json;
use smol_str::format_smolstr;

use crate::error::ControlError;

const EXAMPLES: &str = "Examples:
  apricotctl check lima-entry-1.toml
  apricotctl check --role agent lima-agent-1.toml
  apricotctl check --machine /etc/apricothall/node.toml
  apricotctl check --catalogue catalogue.toml
  apricotctl check --print-default > lima-entry-1.toml";

/// Arguments of `apricotctl check`.
#[derive(Args)]
#[command(after_help = EXAMPLES)]
pub struct CheckArguments {
    /// Settings files.
    #[arg(required_unless_present_any = ["catalogue", "machine", "print_default"])]
    files: Vec<PathBuf>,
    /// Role that the settings are for; inferred from the sections when absent.
    #[arg(long)]
    role: Option<Role>,
    /// A settings file as a platform provides it to its machines.
    #[arg(long, value_name = "FILE")]
    machine: Option<PathBuf>,
    /// A catalogue file.
    #[arg(long, value_name = "FILE")]
    catalogue: Option<PathBuf>,
    /// Print a complete settings file with comments.
    #[arg(long)]
    print_default: bool,
    /// Print one line of JSON per file.
    #[arg(long)]
    json: bool,
}

/// Checks all given files.
///
/// # Errors
/// The first error.
pub fn run(arguments: &CheckArguments) -> Result<(), ControlError> {
    if arguments.print_default {
        print!("{DEFAULT_FILE}");
        return Ok(());
    }
    for path in &arguments.files {
        let settings = Settings::load(path, arguments.role)?;
        let role = arguments.role.unwrap_or_else(|| settings.infer_role());
        let id = &settings.daemon.id;
        if arguments.json {
            println!(
                "{}",
                json!({ "file": path, "role": role, "id": id, "fine": true })
            );
        } else {
            println!("{}: fine, settings of {role} {id}", path.display());
        }
    }
    if let Some(path) = &arguments.machine {
        check_machine(path, arguments.json)?;
    }
    let Some(path) = &arguments.catalogue else {
        return Ok(());
    };
    let text = std::fs::read_to_string(path)?;
    let catalogue = Catalogue::parse(&text).map_err(|source| {
        let path = format_smolstr!("{}", path.display());
        ControlError::Catalogue { path, source }
    })?;
    let count = catalogue.entries.len();
    if arguments.json {
        println!(
            "{}",
            json!({ "file": path, "entries": count, "fine": true })
        );
    } else {
        println!("{}: fine, {count} catalogue entries", path.display());
    }
    Ok(())
}

fn check_machine(path: &Path, json: bool) -> Result<(), ControlError> {
    let name = path.display();
    let text = std::fs::read_to_string(path)?;
    let settings = apricothall_platform::read_text(&text)
        .map_err(|e| ControlError::Refused(format_smolstr!("{name}: {e}")))?;
    let (id, role) = (&settings.id, settings.role);
    if json {
        println!(
            "{}",
            json!({ "file": path, "role": role, "id": id, "fine": true })
        );
    } else {
        println!("{name}: fine, machine settings of {role} {id}");
    }
    Ok(())
}
