//! Calls to the port for operators.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::HttpClient;
use apricothall_clients::http_client::get;
use clap::Args;
use serde::de::DeserializeOwned;
use smol_str::ToSmolStr;

use crate::error::ControlError;

/// Timeout for connecting, and for the complete answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The daemon to query.
#[derive(Args, Clone)]
pub struct Target {
    /// Address of its port for operators, `operators.listen` in its settings.
    #[arg(long, value_name = "ADDRESS")]
    pub operator: SocketAddr,
    /// Print JSON instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Reads a JSON answer.
///
/// # Errors
/// When the daemon does not answer with valid JSON of the expected type.
pub async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, ControlError> {
    let fail = |source| ControlError::Daemon {
        address: address.to_smolstr(),
        source,
    };
    let http = HttpClient::new(None, CALL_TIMEOUT);
    let request = get(address, path).map_err(fail)?;
    let answer = http
        .call(request, CALL_TIMEOUT, MAX_ANSWER_BYTES)
        .await
        .map_err(fail)?;
    let answer = answer.error_for_status().map_err(fail)?;
    Ok(serde_json::from_slice(&answer.body)?)
}
