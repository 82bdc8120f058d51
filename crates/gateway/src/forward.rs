//! Sends a call to servers until one responds, within the limits on time, attempts and retries.

use std::time::Duration;

use apricothall_decide::outlier::Attempt;
use apricothall_decide::repeat::{End, History, Next};
use apricothall_decide::server_limits::PassedOver;
use apricothall_types::{MemberId, Timestamp};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use smol_str::ToSmolStr;

use crate::Context;
use crate::answers::{Body, RequestOutcome, error_response, retry_later_response};
use crate::departures::DepartureWatch;
use crate::exchange::{Answer, AttemptError, begin_limit, exchange, log_withdrawal};
use crate::fleet::{CallEnd, Placed, Placement, ServerRef, rank_name};
use crate::forwarder::{Forwarder, count_attempt};
use crate::in_flight::AntiAffinityGuard;
use crate::log_budgets::millis;
use crate::quarantine::{Loss, Verdict};
use crate::request::{Call, end_to_end, logged_parts};
use crate::server_stream::{ServerStream, StreamError};
use crate::stream::{StreamRelay, relay};
use crate::whole_body::{BodyError, WholeBody};

/// Maximum size of a response that is buffered before forwarding, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// Minimum wait for the first event or response before a repeatable request is sent to another
/// server.
const MIN_FIRST_EVENT_WAIT: Duration = Duration::from_millis(700);

/// Divisor of the remaining time that gives the minimum `retry-after` of a refusal. After this
/// wait, a retry is recognized by the shorter time limit that it states.
const MIN_RETRY_AFTER_DIVISOR: u32 = 5;

/// `retry-after` of a request that failed without being run.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Divisor of the remaining time that gives the maximum `retry-after`, so that a retry has time
/// left.
const MAX_RETRY_AFTER_DIVISOR: u32 = 3;

/// `retry-after` when the server list contains no server of the service that accepts requests.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// State of a call across its attempts.
struct CallProgress {
    history: History,
    tried: Vec<MemberId>,
    fallback: Option<Response<Body>>,
}

impl Forwarder {
    /// Forwards `call` and returns the response.
    pub async fn forward(&self, call: Call) -> Response<Body> {
        let mut watch = DepartureWatch::new(&self.context, &call);
        let response = self.run_attempts(&call, &mut watch).await;
        watch.answered();
        let end = if response.status().is_server_error() {
            CallEnd::Refused
        } else {
            CallEnd::Answered
        };
        let now = self.context.clock.now();
        self.context.fleet.record_end(&call, end, now);
        response
    }

    /// Makes attempts until one returns a response or none is left.
    async fn run_attempts(&self, call: &Call, watch: &mut DepartureWatch<'_>) -> Response<Body> {
        self.context.fleet.note_request(&call.service, call.arrival);
        let mut progress = CallProgress {
            history: History {
                repeatable: call.route.is_repeatable(),
                allowed: call.route.attempts.max(1),
                ..History::default()
            },
            tried: Vec::new(),
            fallback: None,
        };
        loop {
            let now = self.context.clock.now();
            if now >= call.first_due() {
                return fail_call(&self.context, call, progress, now, "the time is over");
            }
            if let Some(verdict) = self
                .context
                .quarantine
                .verdict(&call.fingerprint, &call.parts)
            {
                return refuse_condemned(&self.context, call, &progress, &verdict, now);
            }
            let placed = match self.place(call, &progress.tried, now) {
                Placement::Selected(placed) => placed,
                other => return refuse_placement(&self.context, call, progress, other, now),
            };
            progress.tried.push(placed.server.id.clone());
            watch.attempt_started(&placed.server.id, now);
            let address = placed.server.address;
            let _anti_affinity =
                AntiAffinityGuard::begin(&self.context, address, &call.fingerprint);
            let (end, error) = match self.attempt(call, &placed, &mut progress).await {
                Ok(response) => return response,
                Err(failed) => failed,
            };
            let now = self.context.clock.now();
            let next = progress.history.record_end(end);
            if self.context.log_budgets.allow_failure(now) {
                tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), service = %call.service, server = %placed.server.id, version = placed.version, load = placed.load, news = placed.list_age.map(display), passed_over = placed.passed_over.as_ref().map(display), predicted_ms = millis(placed.predicted), waited_ms = millis(now.since(call.arrival)), parts = %logged_parts(&call.parts), %error, ?next, "attempt failed");
            }
            match next {
                Next::Again { budgeted } => {
                    if budgeted
                        && !self
                            .context
                            .fleet
                            .may_retry(&call.service, call.deadline, now)
                    {
                        return fail_call(
                            &self.context,
                            call,
                            progress,
                            now,
                            "the budget of repeats is used up",
                        );
                    }
                }
                Next::NotRun | Next::Unknown => {
                    return fail_call(&self.context, call, progress, now, "no attempt is left");
                }
            }
        }
    }

    fn place(&self, call: &Call, tried: &[MemberId], now: Timestamp) -> Placement {
        // After an attempt at a server, the request is treated as a new one.
        let returning = call.returning && tried.is_empty();
        let spent = if returning {
            Duration::ZERO
        } else {
            now.since(call.arrival)
        };
        let objective = call.route.target.saturating_sub(spent);
        self.place_within(call, tried, objective, returning, now)
    }

    /// Makes one attempt. An error includes its consequence for the request.
    async fn attempt(
        &self,
        call: &Call,
        placed: &Placed,
        progress: &mut CallProgress,
    ) -> Result<Response<Body>, (End, AttemptError)> {
        let last = progress.history.sent + 1 >= progress.history.allowed;
        let wait_for_deadline = last || !call.route.is_repeatable();
        let max_wait = if wait_for_deadline {
            Duration::MAX
        } else {
            MIN_FIRST_EVENT_WAIT + placed.predicted * 2
        };
        let max_wait = max_wait.min(call.first_due().since(self.context.clock.now()));
        count_attempt(progress.history.sent > 0);
        let sent = exchange(
            &self.context,
            &self.pool,
            call,
            placed,
            call.resume,
            max_wait,
        );
        let answer = sent.await.map_err(|e| self.record_error(placed, e))?;
        if call.is_stream() && answer.status.is_success() {
            return self
                .stream(call, placed, answer, max_wait, &progress.tried)
                .await;
        }
        let status = answer.status;
        let response = self.read_full_answer(call, placed, answer).await;
        let response = response.map_err(|e| self.record_error(placed, e))?;
        let again = status.is_server_error() && call.route.is_repeatable() && !last;
        if !again {
            return Ok(response);
        }
        progress.fallback = Some(response);
        let error = AttemptError::Lost(status.to_smolstr());
        Err((End::Failed, error))
    }

    /// Reads a response completely before any of it is forwarded.
    async fn read_full_answer(
        &self,
        call: &Call,
        placed: &Placed,
        answer: Answer,
    ) -> Result<Response<Body>, AttemptError> {
        let now = self.context.clock.now();
        let left = call.deadline.since(now);
        let budget = &self.context.body_budget;
        let reading = WholeBody::read(answer.body, ANSWER_BYTES, budget);
        let read = tokio::time::timeout(left, reading).await;
        let read = read.map_err(|_| AttemptError::TimedOut)?;
        let body = read.map_err(|error| {
            if matches!(error, BodyError::Lost(_)) {
                answer.in_flight.lost(Loss::Broken);
            }
            AttemptError::Lost(error.to_smolstr())
        })?;
        if answer.status.is_success() {
            answer.in_flight.completed();
        }
        let now = self.context.clock.now();
        let latency = now.since(answer.sent);
        let attempt = if answer.status.is_server_error() {
            Attempt::Failed
        } else {
            Attempt::Answered(latency)
        };
        let server = ServerRef::from(&placed.server);
        self.context
            .fleet
            .record(&server, attempt, placed.predicted, now);
        self.pool.release(answer.connection, now);
        if self.context.log_budgets.allow_success(now) {
            tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, server = %server.id, load = placed.load, news = placed.list_age.map(display), passed_over = placed.passed_over.as_ref().map(display), status = answer.status.as_u16(), predicted_ms = millis(placed.predicted), latency_ms = millis(latency), total_ms = millis(now.since(call.arrival)), config_age_ms = self.context.published.age(now).map(millis), "answered");
        }
        metrics::counter!("apricothall_answers_total", "status" => class(answer.status))
            .increment(1);
        metrics::histogram!("apricothall_answer_seconds")
            .record(now.since(call.arrival).as_secs_f64());
        let body = BodyExt::boxed(body.map_err(|never| match never {}));
        Ok(respond(answer.status, &answer.headers, body))
    }

    /// Forwards a stream, starting with its first event.
    async fn stream(
        &self,
        call: &Call,
        placed: &Placed,
        answer: Answer,
        max_wait: Duration,
        tried: &[MemberId],
    ) -> Result<Response<Body>, (End, AttemptError)> {
        let (status, headers) = (answer.status, answer.headers.clone());
        let mut stream = ServerStream::new(answer, placed, &self.context.body_budget);
        let now = self.context.clock.now();
        let wait = max_wait.min(call.first_due().since(now));
        let begin_wait =
            begin_limit(&self.context, call, placed, now).map_or(Duration::MAX, |by| by.since(now));
        let first = stream.next(wait.min(begin_wait)).await;
        let first = first.map_err(|error| {
            if matches!(error, StreamError::Stalled) && begin_wait < wait {
                log_withdrawal(&self.context, call, placed, begin_wait);
                return self.record_error(placed, AttemptError::NotBegun);
            }
            stream.record_loss(&error);
            self.record_error(placed, AttemptError::Lost(error.to_smolstr()))
        })?;
        let stream_relay = StreamRelay {
            forwarder: self.clone(),
            call: call.clone(),
            tried: tried.to_vec(),
            content_type: headers.get(CONTENT_TYPE).cloned(),
        };
        Ok(respond(
            status,
            &headers,
            relay(stream_relay, stream, first),
        ))
    }
}

/// Refuses a call for which no server was selected.
fn refuse_placement(
    context: &Context,
    call: &Call,
    progress: CallProgress,
    placement: Placement,
    now: Timestamp,
) -> Response<Body> {
    let (after, reason) = match placement {
        Placement::Limited(passed) => {
            return refuse_limited(context, call, progress, &passed, now);
        }
        Placement::Refused(after) => (after, "no room in time"),
        Placement::NoMemory(after) => (after, "no memory for its tokens"),
        Placement::OnTrial(after) => (after, "another entry tries a part of its prompt"),
        Placement::Excluded(exclusion) => (NO_SERVER_RETRY_AFTER, exclusion.reason()),
        Placement::Selected(_) | Placement::NoServer => (NO_SERVER_RETRY_AFTER, "no server"),
    };
    refuse_call(context, call, progress, after, reason, now)
}

/// Refuses a call for which there is no capacity, unless it may already have been run.
fn refuse_call(
    context: &Context,
    call: &Call,
    progress: CallProgress,
    after: Duration,
    reason: &'static str,
    now: Timestamp,
) -> Response<Body> {
    if progress.history.sent > 0 {
        return fail_call(context, call, progress, now, reason);
    }
    let left = call.deadline.since(now);
    let after = after
        .max(left / MIN_RETRY_AFTER_DIVISOR)
        .min(left / MAX_RETRY_AFTER_DIVISOR);
    if context.log_budgets.allow_failure(now) {
        tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, returning = call.returning, prompt = call.prompt, rank = call.rank.index(), margin = ?context.fleet.margin(call, now), after_ms = millis(after), config_age_ms = context.published.age(now).map(millis), reason, "refused");
    }
    metrics::counter!("apricothall_refusals_total", "reason" => reason, "rank" => rank_name(call))
        .increment(1);
    retry_later_response(after, reason)
}

/// Refuses a call because the limits of all servers that could run it are reached.
fn refuse_limited(
    context: &Context,
    call: &Call,
    progress: CallProgress,
    passed: &PassedOver,
    now: Timestamp,
) -> Response<Body> {
    if context.log_budgets.allow_failure(now) {
        tracing::info!(request = %call.id, service = %call.service, passed_over = %passed, wait_ms = millis(passed.wait), "limits of all servers reached");
    }
    refuse_call(
        context,
        call,
        progress,
        passed.wait,
        "the limits of servers are reached",
        now,
    )
}

/// Final response to a request that crashes servers, or whose prompt holds a part that does. It has
/// no `retry-after`, as the request will not be run again.
fn refuse_condemned(
    context: &Context,
    call: &Call,
    progress: &CallProgress,
    verdict: &Verdict,
    now: Timestamp,
) -> Response<Body> {
    if context.log_budgets.allow_failure(now) {
        tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, sent = progress.history.sent, %verdict, "condemned request refused");
    }
    metrics::counter!("apricothall_quarantine_refused_total").increment(1);
    let fate = match progress.history.final_answer() {
        Next::Unknown => RequestOutcome::Unknown,
        Next::NotRun | Next::Again { .. } => RequestOutcome::NotRun,
    };
    error_response(StatusCode::BAD_GATEWAY, fate, &verdict.to_string())
}

/// Final response when there are no further attempts.
fn fail_call(
    context: &Context,
    call: &Call,
    progress: CallProgress,
    now: Timestamp,
    reason: &'static str,
) -> Response<Body> {
    let waited = now.since(call.arrival);
    let fate = progress.history.final_answer();
    if context.log_budgets.allow_failure(now) {
        tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, sent = progress.history.sent, waited_ms = millis(waited), ?fate, config_age_ms = context.published.age(now).map(millis), reason, "given up");
    }
    metrics::counter!("apricothall_failures_total", "reason" => reason).increment(1);
    if let Some(response) = progress.fallback {
        return response;
    }
    match fate {
        Next::Unknown if now >= call.deadline => {
            error_response(StatusCode::GATEWAY_TIMEOUT, RequestOutcome::Unknown, reason)
        }
        Next::Unknown => error_response(StatusCode::BAD_GATEWAY, RequestOutcome::Unknown, reason),
        Next::NotRun | Next::Again { .. } => retry_later_response(FAILED_RETRY_AFTER, reason),
    }
}

fn respond(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = end_to_end(headers);
    response
}

fn class(status: StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        _ => "5xx",
    }
}
