//! `apricotctl entries`: the addresses that callers should use.

use std::net::SocketAddr;

use clap::Args;
use serde_json::Value;

use crate::error::ControlError;
use crate::operator::read;
use crate::table::{cell, with_header};

/// Arguments of `apricotctl entries`.
#[derive(Args)]
#[command(after_help = "Example: apricotctl entries --entry 127.0.0.1:7080")]
pub struct EntriesArguments {
    /// Address of any entry's port for callers.
    #[arg(long, value_name = "ADDRESS")]
    entry: SocketAddr,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

/// Shows the addresses.
///
/// # Errors
/// When the entry does not answer.
pub async fn run(arguments: &EntriesArguments) -> Result<(), ControlError> {
    let list: Value = read(arguments.entry, "/v1/entries").await?;
    if arguments.json {
        println!("{list}");
        return Ok(());
    }
    let mut table = with_header(&["address", "zone", "region"]);
    for entry in list["entries"].as_array().into_iter().flatten() {
        table.add_row([
            cell(&entry["address"]),
            cell(&entry["zone"]),
            cell(&entry["region"]),
        ]);
    }
    println!("{table}");
    println!("may be kept for {} ms", list["keep_ms"]);
    Ok(())
}
