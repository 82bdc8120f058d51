//! `apricotctl catalogue`: the catalogue in force at a daemon.

use serde_json::Value;

use crate::error::ControlError;
use crate::operator::{Target, read};
use crate::table::{cell, with_header};

/// Fields of an entry that the table shows.
const ENTRY_FIELDS: [&str; 8] = [
    "name",
    "kind",
    "owner",
    "class",
    "current",
    "replicas",
    "repeatable",
    "fenced",
];

/// Shows the catalogue.
///
/// # Errors
/// When the daemon does not answer.
pub async fn run(target: &Target) -> Result<(), ControlError> {
    let status: Value = read(target.operator, "/status").await?;
    let catalogue = &status["catalogue"];
    if target.json {
        println!("{catalogue}");
        return Ok(());
    }
    let mut table = with_header(&ENTRY_FIELDS);
    for entry in catalogue["entries"].as_array().into_iter().flatten() {
        table.add_row(ENTRY_FIELDS.map(|field| cell(&entry[field])));
    }
    println!("revision {} in force", catalogue["revision"]);
    println!("{table}");
    Ok(())
}
