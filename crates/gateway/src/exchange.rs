//! One attempt: a call sent to one server, and the head of its answer.

use std::time::Duration;

use apricothall_decide::repeat::End;
use apricothall_types::Timestamp;
use bytes::Bytes;
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use thiserror::Error;

use crate::Context;
use crate::connections::{ConnectError, ConnectionPool, ServerConnection};
use crate::fleet::Placed;
use crate::in_flight::InFlight;
use crate::log_budgets::millis;
use crate::quarantine::Loss;
use crate::request::{Call, may_use_keys};

/// Highest value of the order of admission.
const LAST_URGENCY: u8 = 9;

/// Time kept between the predicted start of a request on an old version and that version's end,
/// when it is looked at again right before the send.
const VERSION_MARGIN: Duration = Duration::from_millis(700);

/// Time before the end of a version at which a request that has not begun on it is taken back.
const BEGIN_MARGIN: Duration = Duration::from_millis(120);

/// How far requests that come back stand behind others of their rank.
const RETURN_URGENCY: u8 = 4;

/// Why an attempt brought no answer to pass on.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// No connection was made.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection ended before the request was sent.
    #[error("connection closed before use")]
    Closed,
    /// The configuration has become too old for keys.
    #[error("the configuration is too old for keys")]
    Stale,
    /// The version that the request is bound to has run out meanwhile.
    #[error("the version has run out")]
    VersionRetired,
    /// Servers have ended under the request meanwhile.
    #[error("servers ended under the request")]
    Condemned,
    /// The server says that it did not run the request.
    #[error("refused with {status}")]
    Refused {
        /// Its status.
        status: StatusCode,
    },
    /// The connection ended before the answer did.
    #[error("connection lost: {0}")]
    Lost(SmolStr),
    /// There was no answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// There was no sign of a start before the version that the request is bound to ran out.
    #[error("not begun before its version ran out")]
    NotBegun,
    /// The answer is not that of this request.
    #[error("not an answer to this request: {0}")]
    Mismatched(SmolStr),
}

impl AttemptError {
    /// What the error means for the request.
    #[must_use]
    pub const fn end(&self) -> End {
        match self {
            Self::Connect(_)
            | Self::Closed
            | Self::Stale
            | Self::VersionRetired
            | Self::Condemned => End::Unsent,
            Self::Refused { .. } => End::Refused,
            Self::Lost(_) | Self::TimedOut | Self::NotBegun | Self::Mismatched(_) => End::Lost,
        }
    }

    /// Whether the server is another than expected, or holds another version.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let Self::Refused { status } = self else {
            return false;
        };
        *status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Whether it speaks against the server's health.
    #[must_use]
    pub const fn is_fault(&self) -> bool {
        !matches!(
            self,
            Self::Refused { .. }
                | Self::Stale
                | Self::VersionRetired
                | Self::Condemned
                | Self::NotBegun
                | Self::Closed
        )
    }
}

/// The head of a server's answer, and its body to come.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers, those of the connection included.
    pub headers: HeaderMap,
    /// Body.
    pub body: Incoming,
    /// Connection, to be kept once the body has been read whole.
    pub connection: ServerConnection,
    /// Counts the request at the server.
    pub flight: InFlight,
    /// When the request was sent.
    pub sent: Timestamp,
}

impl Answer {
    /// Whether the end of the body shows that it is whole.
    #[must_use]
    pub fn is_framed(&self) -> bool {
        self.headers.contains_key(CONTENT_LENGTH) || self.headers.contains_key(TRANSFER_ENCODING)
    }
}

/// Sends `call` to the server in `placed` and waits for the head of the answer, until `patience`
/// has passed or the call's answer is due. `resume` is the last event that is already there.
///
/// # Errors
/// When there is no answer to this request.
pub async fn exchange(
    context: &Context,
    pool: &ConnectionPool,
    call: &Call,
    placed: &Placed,
    resume: Option<u64>,
    patience: Duration,
) -> Result<Answer, AttemptError> {
    let mut connection = connect(context, pool, call, placed).await?;
    let now = context.clock.now();
    if call.account.is_some() && !may_use_keys(context, now) {
        return Err(AttemptError::Stale);
    }
    if !is_usable(context, call, placed, now) {
        return Err(AttemptError::VersionRetired);
    }
    if context.quarantine.is_condemned(&call.fingerprint) {
        return Err(AttemptError::Condemned);
    }
    let left = call.deadline.since(now);
    if left.is_zero() {
        return Err(AttemptError::Closed);
    }
    let request = build(context, call, placed, resume, left);
    let flight = InFlight::begin(context, &placed.server, call.fingerprint, now);
    connection.allowance().await_head();
    let sending = connection.sender().try_send_request(request);
    let begin = begin_limit(context, call, placed).map_or(Duration::MAX, |by| by.since(now));
    let wait = patience.min(left);
    let answered = tokio::time::timeout(wait.min(begin), sending).await;
    let response = match answered {
        Err(_) if begin < wait => return Err(AttemptError::NotBegun),
        Err(_) => return Err(AttemptError::TimedOut),
        Ok(Err(mut error)) => {
            if error.take_message().is_some() {
                flight.settle();
                return Err(AttemptError::Closed);
            }
            flight.lost(Loss::Broken);
            return Err(AttemptError::Lost(error.into_error().to_smolstr()));
        }
        Ok(Ok(response)) => response,
    };
    connection.allowance().head_received();
    let (parts, body) = response.into_parts();
    flight.settle();
    note_signals(context, call, placed, &parts);
    check(context, call, parts.status, &parts.headers)?;
    flight.answered();
    if let Some(limit) = idle_limit(&parts.headers) {
        connection.limit_idle(limit);
    }
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
        connection,
        flight,
        sent: now,
    })
}

/// When `call` must have begun at the server in `placed`, if its version runs out.
#[must_use]
pub fn begin_limit(context: &Context, call: &Call, placed: &Placed) -> Option<Timestamp> {
    let engines = call.engines.as_ref()?;
    let versions = context.published.versions(&engines.model.name);
    let allowed = context.settings().bounds.version;
    let due = versions.retirement_due(placed.version?, allowed)?;
    Some(due - BEGIN_MARGIN)
}

/// Whether the version that was chosen before the connection was made may still be used.
fn is_usable(context: &Context, call: &Call, placed: &Placed, now: Timestamp) -> bool {
    let (Some(version), Some(engines)) = (placed.version, &call.engines) else {
        return true;
    };
    let versions = context.published.versions(&engines.model.name);
    let allowed = context.settings().bounds.version;
    let margin = VERSION_MARGIN + placed.predicted;
    versions.is_usable(version, allowed, margin, now)
}

/// A connection; only requests that may run twice use one that could be closing.
async fn connect(
    context: &Context,
    pool: &ConnectionPool,
    call: &Call,
    placed: &Placed,
) -> Result<ServerConnection, AttemptError> {
    let address = placed.server.address;
    let now = context.clock.now();
    if call.route.is_repeatable()
        && let Some(kept) = pool.acquire(address, now)
    {
        return Ok(kept);
    }
    Ok(ConnectionPool::connect(address, now).await?)
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

/// Order of admission: answers that go on first, then by rank, those that come back later.
fn urgency(call: &Call, resume: Option<u64>) -> u8 {
    if resume.is_some() && call.resume != resume {
        return 0;
    }
    let back = if call.returning { RETURN_URGENCY } else { 0 };
    call.priority()
        .saturating_add(1)
        .saturating_add(back)
        .min(LAST_URGENCY)
}

/// Notes what the server says of itself beside its answer.
fn note_signals(context: &Context, call: &Call, placed: &Placed, head: &Parts) {
    let names = &context.dialect.headers;
    let foreign = head.headers.get(&names.attempt) != Some(&call.attempt);
    // What answers there now is not the server that was chosen.
    if foreign || head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let now = context.clock.now();
    let server = &placed.server;
    if head.headers.contains_key(&names.leaving) {
        context.fleet.note_leaving(server, now);
        if context.log_budgets.allow_failure(now) {
            tracing::info!(server = %server.id, request = %call.id, "server says that it leaves");
        }
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(after) = retry_after(&head.headers)
    {
        context.fleet.note_pause(server, after, now);
        if context.log_budgets.allow_failure(now) {
            tracing::info!(server = %server.id, request = %call.id, after_ms = millis(after), "server wants nothing for a while");
        }
    }
}

/// Time that a server asks to be left alone for, if it states seconds.
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

/// Whether the head is that of an answer to `call` that may be passed on.
fn check(
    context: &Context,
    call: &Call,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), AttemptError> {
    let names = &context.dialect.headers;
    if headers.get(&names.attempt) != Some(&call.attempt) {
        return Err(AttemptError::Mismatched("another request's id".into()));
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::Refused { status });
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(AttemptError::Mismatched("its body is encoded".into()));
    }
    if status.is_success() && !headers.contains_key(&names.seal) {
        return Err(AttemptError::Mismatched(format_smolstr!(
            "{status} without the server's mark"
        )));
    }
    Ok(())
}

/// Idle time after which the server closes the connection, if it says so.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let value = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(value.parse().ok()?))
}
