//! `apricotctl story`: the history of a request, from the log lines of several processes.

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::PathBuf;

use clap::Args;
use serde_json::{Map, Value};
use smol_str::{SmolStr, ToSmolStr};

use crate::error::ControlError;
use crate::table::{cell, with_header};

const EXAMPLES: &str = "Examples:
  apricotctl story 9c41d07be2a35f68 entry-*.log
  cat entry-*.log | apricotctl story 9c41d07be2a35f68";

/// Arguments of `apricotctl story`.
#[derive(Args)]
#[command(after_help = EXAMPLES)]
pub struct StoryArguments {
    /// Id of the caller's attempt, or the fingerprint of a request to include all its attempts.
    request: SmolStr,
    /// Log files with JSON lines; standard input when there are none.
    logs: Vec<PathBuf>,
    /// Print the lines unchanged.
    #[arg(long)]
    json: bool,
}

/// A log line about the request.
struct Step {
    time: SmolStr,
    source: SmolStr,
    fields: Map<String, Value>,
}

/// Prints the log lines about the request in chronological order.
///
/// # Errors
/// When a log cannot be read or no line is about the request.
pub fn run(arguments: &StoryArguments) -> Result<(), ControlError> {
    let mut steps = Vec::new();
    if arguments.logs.is_empty() {
        collect_steps(&mut steps, stdin().lock(), "", &arguments.request)?;
    }
    for path in &arguments.logs {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let file = BufReader::new(File::open(path)?);
        collect_steps(&mut steps, file, &name, &arguments.request)?;
    }
    if steps.is_empty() {
        let text = format!("no line tells of request {}", arguments.request);
        return Err(ControlError::Refused(text.into()));
    }
    steps.sort_by(|a, b| a.time.cmp(&b.time));
    if arguments.json {
        for step in steps {
            println!("{}", Value::Object(step.fields));
        }
        return Ok(());
    }
    let mut table = with_header(&["time", "process", "step", "decided by"]);
    for step in steps {
        let message = step.fields.get("message").map(cell).unwrap_or_default();
        let step_fields = step_fields(&step.fields);
        table.add_row([
            step.time.to_string(),
            step.source.to_string(),
            message,
            step_fields,
        ]);
    }
    println!("{table}");
    Ok(())
}

/// Adds the lines of `log` about `request`, an attempt's id or a fingerprint. The last word before
/// the JSON is taken as the name of the process, as log collectors add it there.
fn collect_steps(
    steps: &mut Vec<Step>,
    log: impl BufRead,
    name: &str,
    request: &str,
) -> Result<(), ControlError> {
    for line in log.lines() {
        let line = line?;
        let Some(start) = line.find('{').filter(|_| line.contains(request)) else {
            continue;
        };
        let (before, json) = line.split_at(start);
        let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
            eprintln!("apricotctl: not a JSON line: {line}");
            continue;
        };
        let is_named = |field| fields.get(field).and_then(Value::as_str) == Some(request);
        if !is_named("request") && !is_named("fingerprint") {
            continue;
        }
        let time = fields.get("timestamp").and_then(Value::as_str);
        let source = before.split_whitespace().last().unwrap_or(name);
        steps.push(Step {
            time: time.unwrap_or_default().to_smolstr(),
            source: source.to_smolstr(),
            fields,
        });
    }
    Ok(())
}

/// The fields that explain a step, as `name=value`.
fn step_fields(fields: &Map<String, Value>) -> String {
    const KNOWN: [&str; 4] = ["timestamp", "level", "message", "target"];
    let rest = fields.iter().filter(|(k, _)| !KNOWN.contains(&k.as_str()));
    let texts = rest.map(|(name, value)| format!("{name}={}", cell(value)));
    texts.collect::<Vec<_>>().join(" ")
}
