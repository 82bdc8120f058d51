//! `apricotctl status`: the state of a daemon and the members it knows.

use serde_json::Value;

use crate::error::ControlError;
use crate::operator::{Target, read};
use crate::table::{cell, with_header};

/// Fields of a member that the table shows.
const MEMBER_FIELDS: [&str; 8] = [
    "id",
    "role",
    "zone",
    "state",
    "revision",
    "incarnation",
    "address",
    "holdings",
];

/// Shows the status.
///
/// # Errors
/// When the daemon does not answer.
pub async fn run(target: &Target) -> Result<(), ControlError> {
    let status: Value = read(target.operator, "/status").await?;
    if target.json {
        println!("{status}");
        return Ok(());
    }
    let Some(sections) = status.as_object() else {
        return Ok(());
    };
    let mut summary = with_header(&["section", "value"]);
    for (name, value) in sections.iter().filter(|(name, _)| *name != "members") {
        summary.add_row([name.clone(), cell(value)]);
    }
    println!("{summary}");
    let mut members = with_header(&MEMBER_FIELDS);
    for member in status["members"].as_array().into_iter().flatten() {
        members.add_row(MEMBER_FIELDS.map(|field| cell(&member[field])));
    }
    println!("{members}");
    Ok(())
}
