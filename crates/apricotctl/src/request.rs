//! `apricotctl request`: sends one request through an entry.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_clients::sse::has_error_event;
use apricothall_clients::{HttpClient, PlatformError};
use apricothall_types::{CallerId, EntryName, IdempotencyKey};
use clap::Args;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::error::ControlError;
use crate::operator::CALL_TIMEOUT;

const EXAMPLES: &str = "Examples:
  apricotctl request --entry 127.0.0.1:7080 --model drafter --prompt 'span 12: two trees'
  apricotctl request --entry 127.0.0.1:7080 --service booking --path /cuts \\
      --key 0190a0c4-7d5e-7c3a-9b1f-2f6d1c9e4b10 --body '{\"span\":12}'";

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Arguments of `apricotctl request`.
#[derive(Args)]
#[command(after_help = EXAMPLES)]
pub struct RequestArguments {
    /// Address of an entry's port for callers.
    #[arg(long, value_name = "ADDRESS")]
    entry: SocketAddr,
    /// Model of the completion.
    #[arg(long, required_unless_present = "service", conflicts_with = "service")]
    model: Option<EntryName>,
    /// Prompt of the completion.
    #[arg(long, default_value = "")]
    prompt: String,
    /// Maximum number of tokens of the completion.
    #[arg(long, default_value_t = 32)]
    max_tokens: u32,
    /// Plain service to call.
    #[arg(long)]
    service: Option<EntryName>,
    /// Method of the service call.
    #[arg(long, default_value = "POST")]
    method: Method,
    /// Path of the service call.
    #[arg(long, default_value = "/")]
    path: SmolStr,
    /// Body of the service call.
    #[arg(long, default_value = "")]
    body: String,
    /// `Idempotency-Key` of the service call.
    #[arg(long)]
    key: Option<IdempotencyKey>,
    /// Ticket of the service call.
    #[arg(long)]
    ticket: Option<SmolStr>,
    /// Client account that the request is charged to.
    #[arg(long, default_value = "anonymous")]
    caller: CallerId,
    /// Deadline in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    deadline_ms: u64,
}

/// Sends the request and writes the answer as it arrives.
///
/// # Errors
/// When there is no complete answer; the error contains the outcome that the entry reports.
pub async fn run(arguments: RequestArguments) -> Result<(), ControlError> {
    let address = arguments.entry.to_smolstr();
    let fail = |source| ControlError::Daemon {
        address: address.clone(),
        source,
    };
    let limit = Duration::from_millis(arguments.deadline_ms) + CALL_TIMEOUT;
    let request = build(arguments).map_err(fail)?;
    let http = HttpClient::new(None, CALL_TIMEOUT);
    let exchange = async {
        let (parts, mut body) = http.send(request).await?.into_parts();
        let mut text = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| PlatformError::Lost(e.to_smolstr()))?;
            if let Some(data) = frame.data_ref() {
                text.extend_from_slice(data);
                if parts.status.is_success() {
                    std::io::stdout().write_all(data).ok();
                }
            }
        }
        Ok((parts, text))
    };
    let timed = tokio::time::timeout(limit, exchange).await;
    let (head, text) = timed.unwrap_or(Err(PlatformError::Timeout)).map_err(fail)?;
    println!();
    let is_incomplete = is_event_stream(&head.headers) && has_error_event(&text);
    if head.status.is_success() && !is_incomplete {
        return Ok(());
    }
    Err(ControlError::Refused(format_smolstr!(
        "status {}: {}",
        head.status,
        String::from_utf8_lossy(&text)
    )))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

fn build(arguments: RequestArguments) -> Result<Request<Full<bytes::Bytes>>, PlatformError> {
    let entry = arguments.entry;
    let mut builder = Request::builder()
        .header("x-caller", arguments.caller.as_str())
        .header("x-deadline-ms", arguments.deadline_ms.to_string());
    if let Some(key) = &arguments.key {
        builder = builder.header("idempotency-key", key.as_str());
    }
    if let Some(ticket) = &arguments.ticket {
        builder = builder.header("x-ticket", ticket.as_str());
    }
    let body = if let Some(model) = &arguments.model {
        builder = builder
            .method(Method::POST)
            .uri(format!("http://{entry}/v1/completions"));
        let tokens = arguments.max_tokens;
        json!({ "model": model, "prompt": arguments.prompt, "max_tokens": tokens, "stream": true })
            .to_string()
    } else {
        let name = arguments
            .service
            .map(|name| name.to_smolstr())
            .unwrap_or_default();
        let uri = format!("http://{entry}/v1/services/{name}{}", arguments.path);
        builder = builder.method(arguments.method).uri(uri);
        arguments.body
    };
    let request = builder.body(Full::from(body));
    request.map_err(|e| PlatformError::Malformed(e.to_smolstr()))
}
