//! A single attempt: sends a call to one server and reads the head of the response.

use std::time::Duration;

use apricothall_clients::NamedLimit;
use apricothall_decide::path_delay::{arrival_margin, withdrawal_margin};
use apricothall_decide::repeat::End;
use apricothall_decide::servers::Server;
use apricothall_decide::statuses::{is_final, promises_not_run};
use apricothall_types::Timestamp;
use bytes::Bytes;
use http::header::{CONTENT_ENCODING, RETRY_AFTER};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use thiserror::Error;

use crate::Context;
use crate::connections::{AckLimit, ConnectError, ConnectionPool, ServerConnection};
use crate::fleet::Placed;
use crate::in_flight::InFlight;
use crate::log_budgets::millis;
use crate::quarantine::{Loss, Suspect};
use crate::request::{Call, may_use_keys};

/// Maximum admission order that is sent.
const MAX_URGENCY: u8 = 9;

/// Minimum time between the predicted start of a request on an old version and the retirement of
/// that version, checked again immediately before the request is sent.
const VERSION_MARGIN: Duration = Duration::from_millis(700);

/// Offset of the admission order for retried requests, so that they queue behind others of the same
/// priority.
const RETRY_URGENCY_OFFSET: u8 = 4;

/// Reason why an attempt returned no response to forward.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// No connection was established.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection was closed before the request was sent.
    #[error("connection closed before the request was sent")]
    Closed,
    /// The configuration has become too old to accept API keys.
    #[error("the configuration is too old for keys")]
    Stale,
    /// The version that the request is bound to was retired before the request was sent.
    #[error("the version was retired")]
    VersionRetired,
    /// The zone of the server was evacuated after it was selected.
    #[error("the zone of the server is evacuated")]
    Evacuated,
    /// A limit of the server has no room for the request, as it became known after the server was
    /// selected, or as too many requests were delayed before they were sent.
    #[error("the server's limit is reached")]
    LimitReached,
    /// The request was condemned before it was sent, because servers crashed while they ran it.
    #[error("request condemned because servers crashed while they ran it")]
    Condemned,
    /// The server reports that it did not run the request.
    #[error("refused with {status}")]
    Refused {
        /// Status of the response.
        status: StatusCode,
    },
    /// The connection was lost before the response was complete.
    #[error("connection lost: {0}")]
    Lost(SmolStr),
    /// No response arrived in time.
    #[error("no answer in time")]
    TimedOut,
    /// The request had not begun when the version that it is bound to was about to retire.
    #[error("not begun before the retirement of its version")]
    NotBegun,
    /// The response has no final status. The server may be running the request.
    #[error("response without a final status: {0}")]
    InvalidStatus(SmolStr),
    /// The server answers with a status by which callers send the request again, but does not state
    /// that it has not run it.
    #[error("{status} without the statement that the request was not run")]
    Unstated {
        /// Status of the response.
        status: StatusCode,
    },
    /// The response does not belong to this request.
    #[error("response does not match the request: {0}")]
    Mismatched(SmolStr),
}

impl AttemptError {
    /// Consequence of the error for the request.
    #[must_use]
    pub const fn consequence(&self) -> End {
        match self {
            Self::Connect(_)
            | Self::Closed
            | Self::Stale
            | Self::VersionRetired
            | Self::Evacuated
            | Self::LimitReached
            | Self::Condemned => End::Unsent,
            Self::Refused { .. } => End::Refused,
            Self::Lost(_)
            | Self::TimedOut
            | Self::NotBegun
            | Self::InvalidStatus(_)
            | Self::Unstated { .. }
            | Self::Mismatched(_) => End::Lost,
        }
    }

    /// Whether the address is used by another server than expected, or the server holds another
    /// version.
    #[must_use]
    pub fn is_misdirected(&self) -> bool {
        let Self::Refused { status } = self else {
            return false;
        };
        *status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Whether the error counts as a failure of the server.
    #[must_use]
    pub const fn is_server_failure(&self) -> bool {
        !matches!(
            self,
            Self::Refused { .. }
                | Self::Stale
                | Self::VersionRetired
                | Self::Evacuated
                | Self::LimitReached
                | Self::Condemned
                | Self::NotBegun
                | Self::Closed
        )
    }
}

/// Head of a server's response, with the body still to be read.
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// All headers, including hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Incoming,
    /// Connection, to be returned to the pool once the body has been read completely.
    pub connection: ServerConnection,
    /// Counts the request as in flight at the server.
    pub in_flight: InFlight,
    /// When the request was sent.
    pub sent: Timestamp,
}

/// Sends `call` to the server in `placed` and waits for the response head until `max_wait` has
/// elapsed or the deadline of the call. `resume` is the id of the last event already received.
///
/// # Errors
/// If no response to this request arrives.
pub async fn exchange(
    context: &Context,
    pool: &ConnectionPool,
    call: &Call,
    placed: &Placed,
    resume: Option<u64>,
    max_wait: Duration,
) -> Result<Answer, AttemptError> {
    let mut connection = connect(context, pool, call, placed).await?;
    let now = context.clock.now();
    if call.account.is_some() && !may_use_keys(context, now) {
        return Err(AttemptError::Stale);
    }
    if context.published.is_evacuated(&placed.server.zone) {
        return Err(AttemptError::Evacuated);
    }
    if !is_version_usable(context, call, placed, now) {
        return Err(AttemptError::VersionRetired);
    }
    if context
        .quarantine
        .verdict(&call.fingerprint, &call.parts)
        .is_some()
    {
        return Err(AttemptError::Condemned);
    }
    let left = call.deadline.since(now);
    if left.is_zero() {
        return Err(AttemptError::Closed);
    }
    let limits = &context.server_limits;
    if !limits.confirm(context, &placed.server, placed.reserved, now) {
        return Err(AttemptError::LimitReached);
    }
    let request = build(context, call, placed, resume, left);
    let suspect = Suspect {
        fingerprint: call.fingerprint,
        parts: call.parts.clone(),
        tried: placed.tried.clone(),
    };
    let in_flight = InFlight::begin(context, placed, suspect, now);
    connection.allowance().await_head();
    let sending = connection.sender().try_send_request(request);
    let begin_wait =
        begin_limit(context, call, placed, now).map_or(Duration::MAX, |by| by.since(now));
    let wait = max_wait.min(left);
    let answered = tokio::time::timeout(wait.min(begin_wait), sending).await;
    let response = match answered {
        Err(_) if begin_wait < wait => {
            in_flight.settle();
            log_withdrawal(context, call, placed, begin_wait);
            return Err(AttemptError::NotBegun);
        }
        Err(_) => return Err(AttemptError::TimedOut),
        Ok(Err(mut error)) => {
            if error.take_message().is_some() {
                in_flight.settle();
                return Err(AttemptError::Closed);
            }
            let error = error.into_error();
            if error.is_parse_status() {
                in_flight.settle();
                return Err(AttemptError::InvalidStatus(error.to_smolstr()));
            }
            in_flight.lost(Loss::Broken);
            return Err(AttemptError::Lost(error.to_smolstr()));
        }
        Ok(Ok(response)) => response,
    };
    connection.allowance().head_received();
    let (parts, body) = response.into_parts();
    in_flight.settle();
    if !is_final(parts.status.as_u16()) {
        return Err(AttemptError::InvalidStatus(parts.status.to_smolstr()));
    }
    record_signals(context, call, placed, &parts, now);
    check_head(context, call, parts.status, &parts.headers)?;
    in_flight.answered();
    if let Some(limit) = idle_limit(&parts.headers) {
        connection.limit_idle(limit);
    }
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
        connection,
        in_flight,
        sent: now,
    })
}

/// Logs a request that is withdrawn as it had not begun `waited` after it was sent.
pub fn log_withdrawal(context: &Context, call: &Call, placed: &Placed, waited: Duration) {
    let now = context.clock.now();
    if !context.log_budgets.allow_failure(now) {
        return;
    }
    let round_trip = context.fleet.round_trip(placed.server.address, now);
    let margin = withdrawal_margin(round_trip);
    tracing::info!(request = %call.id, server = %placed.server.id, version = placed.version, waited_ms = millis(waited), margin_ms = millis(margin), round_trip_ms = millis(round_trip), "request withdrawn");
}

/// Time by which `call` must have begun at the server in `placed`, if its version is being retired.
#[must_use]
pub fn begin_limit(
    context: &Context,
    call: &Call,
    placed: &Placed,
    now: Timestamp,
) -> Option<Timestamp> {
    let engines = call.engines.as_ref()?;
    let versions = context.published.versions(&engines.model.name);
    let allowed = context.settings().bounds.version;
    let due = versions.retirement_due(placed.version?, allowed)?;
    let round_trip = context.fleet.round_trip(placed.server.address, now);
    Some(due - withdrawal_margin(round_trip))
}

/// Whether the version that was selected before connecting may still be used.
fn is_version_usable(context: &Context, call: &Call, placed: &Placed, now: Timestamp) -> bool {
    let (Some(version), Some(engines)) = (placed.version, &call.engines) else {
        return true;
    };
    let versions = context.published.versions(&engines.model.name);
    let allowed = context.settings().bounds.version;
    let round_trip = context.fleet.round_trip(placed.server.address, now);
    let margin = VERSION_MARGIN + placed.predicted + arrival_margin(round_trip);
    versions.is_usable(version, allowed, margin, now)
}

/// Gets a connection. Only repeatable requests use a pooled one, as the server may be closing it.
async fn connect(
    context: &Context,
    pool: &ConnectionPool,
    call: &Call,
    placed: &Placed,
) -> Result<ServerConnection, AttemptError> {
    let address = placed.server.address;
    let now = context.clock.now();
    let ack_limit = if call.route.is_repeatable() {
        AckLimit::Short
    } else {
        AckLimit::Deadline
    };
    if call.route.is_repeatable()
        && let Some(connection) = pool.acquire(address, now)
    {
        connection.set_ack_limit(ack_limit);
        return Ok(connection);
    }
    let connected = ConnectionPool::connect(address, ack_limit, now).await;
    let after = context.clock.now();
    let took = after.since(now);
    context.fleet.record_round_trip(address, took, after);
    Ok(connected?)
}

fn build(
    context: &Context,
    call: &Call,
    placed: &Placed,
    resume: Option<u64>,
    left: Duration,
) -> Request<Full<Bytes>> {
    let names = &context.dialect.headers;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(names.deadline.clone(), HeaderValue::from(millis));
    if let Ok(id) = HeaderValue::from_str(placed.server.id.as_str()) {
        headers.insert(names.server.clone(), id);
    }
    if let Some(version) = placed.version {
        headers.insert(names.version.clone(), HeaderValue::from(version));
        let urgency = HeaderValue::from(u16::from(urgency(call, resume)));
        headers.insert(names.urgency.clone(), urgency);
    }
    if let Some(last) = resume {
        headers.insert(names.resume.clone(), HeaderValue::from(last));
    }
    request
}

/// Admission order: resumed streams first, then by priority. Retried requests follow others of the
/// same priority.
fn urgency(call: &Call, resume: Option<u64>) -> u8 {
    if resume.is_some() && call.resume != resume {
        return 0;
    }
    let offset = if call.returning {
        RETRY_URGENCY_OFFSET
    } else {
        0
    };
    call.priority()
        .saturating_add(1)
        .saturating_add(offset)
        .min(MAX_URGENCY)
}

/// Records the limit, shutdown and back-off signals in the head of a response to a request that was
/// sent at `sent`.
fn record_signals(context: &Context, call: &Call, placed: &Placed, head: &Parts, sent: Timestamp) {
    let names = &context.dialect.headers;
    let mismatched = head.headers.get(&names.attempt) != Some(&call.attempt);
    // Another server now uses the address of the selected one.
    if mismatched || head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let now = context.clock.now();
    let server = &placed.server;
    record_limit(context, server, head, sent, now);
    if head.headers.contains_key(&names.leaving) {
        context.fleet.record_shutdown(server, now);
        if context.log_budgets.allow_failure(now) {
            tracing::info!(server = %server.id, request = %call.id, "server announced its shutdown");
        }
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(after) = retry_after(&head.headers)
    {
        context.fleet.record_pause(server, after, now);
        if context.log_budgets.allow_failure(now) {
            tracing::info!(server = %server.id, request = %call.id, after_ms = millis(after), "server asked for a pause");
        }
    }
}

/// Records the limit that a server names, or that it names none. Only an answer that the server
/// signed tells that there is none.
fn record_limit(context: &Context, server: &Server, head: &Parts, sent: Timestamp, now: Timestamp) {
    let headers = &context.dialect.headers;
    let named = NamedLimit::read(&head.headers, &headers.limit);
    if matches!(named, NamedLimit::Limit(_)) {
        metrics::counter!("apricothall_server_limits_named_total").increment(1);
    } else if !head.headers.contains_key(&headers.seal) {
        return;
    }
    let Some(limit) = named.told() else {
        return;
    };
    let settings = context.settings();
    let limits = &context.server_limits;
    limits.record_answer(&settings, server, limit, sent, now);
}

/// Back-off time requested by the server, if given in seconds.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers
        .get(RETRY_AFTER)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Checks that the head belongs to a response to `call` that may be forwarded.
fn check_head(
    context: &Context,
    call: &Call,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), AttemptError> {
    let names = &context.dialect.headers;
    if headers.get(&names.attempt) != Some(&call.attempt) {
        return Err(AttemptError::Mismatched("attempt id differs".into()));
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::Refused { status });
    }
    if !call.route.is_repeatable() && promises_not_run(status.as_u16()) {
        return Err(AttemptError::Unstated { status });
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(AttemptError::Mismatched(
            "body has a content encoding".into(),
        ));
    }
    if status.is_success() && !headers.contains_key(&names.seal) {
        return Err(AttemptError::Mismatched(format_smolstr!(
            "status {status} without the server's seal header"
        )));
    }
    Ok(())
}

/// Keep-alive timeout announced by the server.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let value = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Duration::try_from_secs_f64(value.trim().parse().ok()?).ok()
}
