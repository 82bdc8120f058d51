//! Cases of the second review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod bounds;
mod engine;
mod forgotten;
mod promise;
mod sha256;
mod slow_reader;
mod storm;
mod unread;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = PathBuf::from(folder).join("record.txt");
    let result = match case.as_str() {
        "bounds" => bounds::run(trouble, &record),
        "forgotten" => forgotten::run(trouble, &record),
        "promise" => promise::run(trouble, &record),
        "revoked-key" => unread::revoked_key(trouble, &record),
        "wrong-service" => unread::wrong_service(trouble, &record),
        "slow-reader" => slow_reader::run(trouble, &record),
        "storm" => storm::run(trouble, &record),
        other => Err(std::io::Error::other(format!("no case {other}"))),
    };
    match result {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
