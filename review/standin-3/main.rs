//! Stand-ins of the third review, with one case for each folder. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod engine;
mod extra_answer;
mod foreign_entry;
mod header_limit;
mod http;
mod late_begin;
mod late_bytes;
mod late_write;
mod machines;
mod plain;
mod record;
mod sha256;
mod store;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Longest run of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// Exit code of a case that could not run.
const NOT_RUN: u8 = 2;

/// Result of a case.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    thread::spawn(|| {
        thread::sleep(LIMIT);
        std::process::exit(NOT_RUN.into());
    });
    let is_disturbed = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "extra-answer" => extra_answer::run(is_disturbed),
        "foreign-entry" => foreign_entry::run(is_disturbed),
        "header-limit" => header_limit::run(is_disturbed),
        "late-write" => late_write::run(is_disturbed),
        "late-begin" => late_begin::run(is_disturbed),
        "late-bytes" => late_bytes::run(is_disturbed),
        _ => Outcome::NotRun,
    };
    match outcome {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::NotRun => ExitCode::from(NOT_RUN),
    }
}
