//! `apricotctl explain`: why a request would be routed, limited or refused.

use apricothall_types::{CallerId, EntryName};
use clap::Args;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use smol_str::SmolStr;

use crate::error::ControlError;
use crate::operator::{Target, read};
use crate::table::{cell, with_header};

/// Characters that need no escaping in a query.
const KEY_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Arguments of `apricotctl explain`.
#[derive(Args)]
#[command(
    after_help = "Example: apricotctl explain --operator 127.0.0.1:7002 --entry-name drafter"
)]
pub struct ExplainArguments {
    #[command(flatten)]
    target: Target,
    /// Catalogue entry that the request is for.
    #[arg(long)]
    entry_name: EntryName,
    /// Account of the request.
    #[arg(long, default_value = "anonymous")]
    caller: CallerId,
    /// Value of its `Idempotency-Key`, for plain services.
    #[arg(long)]
    key: Option<SmolStr>,
    /// Beginning of the prompt, for models; shows the time that a cached prefix saves.
    #[arg(long)]
    prompt: Option<SmolStr>,
}

fn query_part(name: &str, value: Option<&SmolStr>) -> String {
    value.map_or_else(String::new, |value| {
        format!("&{name}={}", utf8_percent_encode(value, KEY_CHARACTERS))
    })
}

/// Asks an entry how it would handle the request. Nothing is forwarded to an agent.
///
/// # Errors
/// When the entry does not answer.
pub async fn run(arguments: &ExplainArguments) -> Result<(), ControlError> {
    let (name, caller) = (&arguments.entry_name, &arguments.caller);
    let key = query_part("key", arguments.key.as_ref());
    let prompt = query_part("prompt", arguments.prompt.as_ref());
    let path = format!("/explain?name={name}&caller={caller}{key}{prompt}");
    let answer: Value = read(arguments.target.operator, &path).await?;
    if arguments.target.json {
        println!("{answer}");
        return Ok(());
    }
    let mut table = with_header(&["step", "decision"]);
    for (step, decision) in answer.as_object().into_iter().flatten() {
        table.add_row([step.clone(), cell(decision)]);
    }
    println!("{table}");
    Ok(())
}
