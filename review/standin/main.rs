//! Runs one case of the review against the project's own programs: `review CASE ROOT FOLDER WORK`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod daemon;
mod http;
mod record;
mod server;
mod sha256;
mod store;
mod world;

#[path = "../1/case.rs"]
mod case_1;
#[path = "../2/case.rs"]
mod case_2;
#[path = "../3/case.rs"]
mod case_3;
#[path = "../4/case.rs"]
mod case_4;
#[path = "../5/case.rs"]
mod case_5;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use world::World;

/// Time after which a run is given up.
const LIMIT: Duration = Duration::from_secs(115);

/// Whether the rule held, and what was seen.
pub struct Verdict {
    pub held: bool,
    pub seen: String,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, root, folder, work] = arguments.as_slice() else {
        eprintln!("usage: review CASE ROOT FOLDER WORK");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let running = std::panic::catch_unwind(|| run(case, root, folder, work, trouble));
    let found = running.unwrap_or_else(|_| Err("a stand-in failed".to_owned()));
    match found {
        Ok(verdict) => {
            println!(
                "{}: {}",
                if verdict.held { "held" } else { "broken" },
                verdict.seen
            );
            ExitCode::from(u8::from(!verdict.held))
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, root: &str, folder: &str, work: &str, trouble: bool) -> Result<Verdict, String> {
    let record = PathBuf::from(folder).join("record.txt");
    let record = Record::create(&record).map_err(|e| e.to_string())?;
    record.add(if trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let world = World::new(PathBuf::from(root), PathBuf::from(work), record.clone())?;
    let verdict = match case {
        "1" => case_1::run(&world, trouble),
        "2" => case_2::run(&world, trouble),
        "3" => case_3::run(&world, trouble),
        "4" => case_4::run(&world, trouble),
        "5" => case_5::run(&world, trouble),
        other => Err(format!("no case {other}")),
    };
    match &verdict {
        Ok(found) => record.add(format!("held: {}; {}", found.held, found.seen)),
        Err(error) => record.add(format!("could not run: {error}")),
    }
    verdict
}
