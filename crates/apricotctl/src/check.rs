//! `apricotctl check`: validates settings and catalogues with the same code as the daemons.

use std::fs;
use std::path::{Path, PathBuf};

use apricothall_kernel::Settings;
use apricothall_kernel::settings::DEFAULT_FILE;
use apricothall_platform::check::{ChangeKind, Report, Severity};
use apricothall_types::{Catalogue, Role};
use clap::Args;
use serde_json::json;
use smol_str::format_smolstr;

use crate::error::ControlError;
use crate::table::with_header;

const EXAMPLES: &str = "Examples:
  apricotctl check lima-entry-1.toml
  apricotctl check --role agent lima-agent-1.toml
  apricotctl check --machine /etc/apricothall/node.toml
  apricotctl check --catalogue catalogue.toml
  apricotctl check --configuration config.json --in-force published.json
  apricotctl check --print-default > lima-entry-1.toml";

/// Arguments of `apricotctl check`.
#[derive(Args)]
#[command(after_help = EXAMPLES)]
pub struct CheckArguments {
    /// Settings files.
    #[arg(required_unless_present_any = ["catalogue", "configuration", "machine", "print_default"])]
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
    /// A configuration of the operators, as the platform's store holds it under `op/config`.
    #[arg(long, value_name = "FILE")]
    configuration: Option<PathBuf>,
    /// The configuration in force, with which the other one is compared.
    #[arg(long, value_name = "FILE", requires = "configuration")]
    in_force: Option<PathBuf>,
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
    if let Some(path) = &arguments.catalogue {
        check_catalogue(path, arguments.json)?;
    }
    if let Some(path) = &arguments.configuration {
        check_configuration(path, arguments.in_force.as_deref(), arguments.json)?;
    }
    Ok(())
}

fn check_catalogue(path: &Path, json: bool) -> Result<(), ControlError> {
    let text = fs::read_to_string(path)?;
    let catalogue = Catalogue::parse(&text).map_err(|source| {
        let path = format_smolstr!("{}", path.display());
        ControlError::Catalogue { path, source }
    })?;
    let count = catalogue.entries.len();
    if json {
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
    let text = fs::read_to_string(path)?;
    let read = apricothall_platform::read_text(&text, None)
        .map_err(|e| ControlError::Refused(format_smolstr!("{name}: {e}")))?;
    let (id, role) = (&read.settings.id, read.settings.role);
    let unusable = &read.unusable;
    let is_fine = unusable.is_empty();
    if json {
        println!(
            "{}",
            json!({ "file": path, "role": role, "id": id, "fine": is_fine, "unusable": unusable })
        );
    } else if is_fine {
        println!("{name}: fine, machine settings of {role} {id}");
    } else {
        for reason in unusable {
            println!("error: {reason}");
        }
    }
    if !is_fine {
        let count = unusable.len();
        return Err(ControlError::Refused(format_smolstr!(
            "{name}: settings that cannot be used: {count}"
        )));
    }
    Ok(())
}

/// Checks an operators' configuration. Warnings alone are no failure.
fn check_configuration(
    path: &Path,
    in_force: Option<&Path>,
    json: bool,
) -> Result<(), ControlError> {
    let name = path.display();
    let value = fs::read(path)?;
    let older = in_force.map(fs::read).transpose()?;
    let report = apricothall_platform::check::check(&value, older.as_deref()).map_err(|e| {
        let older = in_force.unwrap_or(path).display();
        ControlError::Refused(format_smolstr!("{older}: {e}"))
    })?;
    let errors = report.errors();
    if json {
        println!(
            "{}",
            json!({ "file": path, "report": report, "fine": errors == 0 })
        );
    } else {
        print_report(&report);
    }
    if errors > 0 {
        return Err(ControlError::Refused(format_smolstr!(
            "{name}: errors: {errors}"
        )));
    }
    if !json {
        let version = report.version.unwrap_or_default();
        let warnings = report.findings.len();
        println!("{name}: fine, configuration {version}, warnings: {warnings}");
    }
    Ok(())
}

fn print_report(report: &Report) {
    if !report.findings.is_empty() {
        let mut table = with_header(&["severity", "item", "finding"]);
        for finding in &report.findings {
            let severity = match finding.severity {
                Severity::Error => "error",
                Severity::Warning => "warning",
            };
            table.add_row([severity, &finding.item, &finding.reason]);
        }
        println!("{table}");
    }
    if !report.changes.is_empty() {
        let mut table = with_header(&["change", "item", "detail"]);
        for change in &report.changes {
            let kind = match change.kind {
                ChangeKind::Added => "added",
                ChangeKind::Removed => "removed",
                ChangeKind::Changed => "changed",
            };
            table.add_row([kind, &change.item, &change.detail]);
        }
        println!("{table}");
    }
}
