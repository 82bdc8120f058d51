//! Parses the headers and reads the body of a caller's request.

use std::str::FromStr;
use std::time::Duration;

use apricothall_fleet::Trace;
use apricothall_kernel::configs::CallersConfig;
use apricothall_types::{CallerId, Class, IdempotencyKey, Outcome};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::problem::Problem;

/// Account that is charged for requests without `x-caller`.
const ANONYMOUS: &str = "anonymous";

/// Maximum length of `x-ticket` in bytes.
const MAX_TICKET_BYTES: usize = 512;

/// Metadata of a request: caller, class, deadline, idempotency key, ticket and trace.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// Account that is charged for the request.
    pub caller: CallerId,
    /// Requested class, if any.
    pub class: Option<Class>,
    /// Time left until the deadline.
    pub budget: Duration,
    /// Value of `Idempotency-Key`.
    pub key: Option<IdempotencyKey>,
    /// Value of `x-ticket`.
    pub ticket: Option<SmolStr>,
    /// The caller's trace, or a new one.
    pub trace: Trace,
}

impl RequestMeta {
    /// Parses the headers.
    ///
    /// # Errors
    /// When a header is malformed.
    pub fn from_headers(
        headers: &HeaderMap,
        trace: Trace,
        config: &CallersConfig,
    ) -> Result<Self, Problem> {
        let caller = parse_header(headers, "x-caller")?;
        let anonymous = || {
            ANONYMOUS
                .parse()
                .map_err(|_| Problem::bad_request("no caller"))
        };
        let deadline = parse_header::<u64>(headers, "x-deadline-ms")?.map(Duration::from_millis);
        let ticket = single_header(headers, "x-ticket")?.map(SmolStr::new);
        if ticket.as_ref().is_some_and(|t| t.len() > MAX_TICKET_BYTES) {
            return Err(Problem::bad_request("x-ticket: too long"));
        }
        Ok(Self {
            caller: caller.map_or_else(anonymous, Ok)?,
            class: parse_class(headers)?,
            budget: deadline.unwrap_or(config.deadline.0),
            key: parse_header(headers, "idempotency-key")?,
            ticket,
            trace,
        })
    }
}

impl RequestMeta {
    /// Deducts from the budget the time for which the request waited in a socket.
    ///
    /// # Errors
    /// Returns a problem when the deadline has passed. For a call with a key or ticket the outcome
    /// is `Unknown`, as an earlier copy may have run.
    pub fn deduct_wait(self, waited: Duration) -> Result<Self, Problem> {
        let budget = self.budget.saturating_sub(waited);
        if !budget.is_zero() {
            return Ok(Self { budget, ..self });
        }
        let is_keyed = self.key.is_some() || self.ticket.is_some();
        let outcome = if is_keyed {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let late = Problem::unknown("the deadline passed before the request was read");
        Err(Problem {
            status: StatusCode::GATEWAY_TIMEOUT,
            outcome,
            ..late
        })
    }
}

/// Returns the caller's trace, or a new one if `traceparent` is absent or invalid.
#[must_use]
pub fn trace_or_new(headers: &HeaderMap) -> Trace {
    let sent = headers
        .get("traceparent")
        .and_then(|v| v.to_str().ok())
        .and_then(Trace::parse);
    sent.unwrap_or_else(|| Trace::random(&mut rand::rng()))
}

fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Problem::bad_request(format_smolstr!("{name}: sent twice")));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| Problem::bad_request(format_smolstr!("{name}: not visible ASCII")))
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Problem>
where
    T: FromStr,
    T::Err: ToSmolStr,
{
    let value = single_header(headers, name)?.map(str::parse).transpose();
    value.map_err(|e: T::Err| Problem::bad_request(format_smolstr!("{name}: {}", e.to_smolstr())))
}

fn parse_class(headers: &HeaderMap) -> Result<Option<Class>, Problem> {
    Ok(match single_header(headers, "x-class")? {
        None => None,
        Some("critical") => Some(Class::Critical),
        Some("interactive") => Some(Class::Interactive),
        Some("batch") => Some(Class::Batch),
        Some(_) => {
            return Err(Problem::bad_request(
                "x-class: use critical, interactive or batch",
            ));
        }
    })
}

/// Reads the whole body within the size and time limits of the settings.
///
/// # Errors
/// When the body is too large, too slow or truncated.
pub async fn read_body(
    request: Request<Incoming>,
    config: &CallersConfig,
) -> Result<Bytes, Problem> {
    let limit = usize::try_from(config.body.0).unwrap_or(usize::MAX);
    let read = Limited::new(request.into_body(), limit).collect();
    let Ok(read) = tokio::time::timeout(config.read.0, read).await else {
        let status = StatusCode::REQUEST_TIMEOUT;
        return Err(Problem {
            status,
            ..Problem::bad_request("the body came too slowly")
        });
    };
    read.map(http_body_util::Collected::to_bytes).map_err(|e| {
        if e.is::<LengthLimitError>() {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            let detail = format_smolstr!("the body exceeds {}", config.body);
            return Problem {
                status,
                ..Problem::bad_request(detail)
            };
        }
        Problem::bad_request("the body was cut off")
    })
}
