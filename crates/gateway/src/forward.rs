//! Brings a call to servers until one answers, within its time, attempts and budget.

use std::time::Duration;

use apricothall_decide::outlier::Attempt;
use apricothall_decide::repeat::{End, History, Next};
use apricothall_types::{MemberId, Timestamp};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use smol_str::ToSmolStr;

use crate::Context;
use crate::answers::{Body, Fate, full, own, refuse};
use crate::exchange::{Answer, AttemptError, begin_limit, exchange};
use crate::feed::{Feed, FeedError};
use crate::fleet::{Place, Placed, Placement};
use crate::flight::SetApart;
use crate::forwarder::{Forwarder, note_attempt};
use crate::lines::millis;
use crate::quarantine::Loss;
use crate::request::{Call, end_to_end};
use crate::stream::{Relay, relay};

/// Largest answer that is held whole before it is passed on, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// Least wait for the first sign of an answer before a repeatable request goes elsewhere.
const PATIENCE: Duration = Duration::from_millis(700);

/// Shortest part of the time left for which a refused caller is told to stay away, so that a
/// caller that comes back can be told by the time that it states.
const SHORTEST_SHARE: u32 = 5;

/// Time after which a caller may come back whose request failed without having run.
const FAILED_PAUSE: Duration = Duration::from_millis(300);

/// Part of the time left within which callers come back when told to.
const RETURN_SHARE: u32 = 3;

/// Time after which a caller may come back when no server is known.
const NOBODY_PAUSE: Duration = Duration::from_millis(2_500);

/// What became of a call so far.
struct Story {
    history: History,
    tried: Vec<MemberId>,
    spare: Option<Response<Body>>,
}

impl Forwarder {
    /// The answer to `call`.
    pub async fn forward(&self, call: Call) -> Response<Body> {
        self.context.fleet.note_request(&call.service, call.arrival);
        let mut story = Story {
            history: History {
                repeatable: call.route.is_repeatable(),
                allowed: call.route.attempts.max(1),
                ..History::default()
            },
            tried: Vec::new(),
            spare: None,
        };
        loop {
            let now = self.context.clock.now();
            if now >= call.deadline {
                return give_up(&self.context, &call, story, now, "the time is over");
            }
            if self.context.quarantine.is_condemned(&call.fingerprint) {
                return condemn(&self.context, &call, &story, now);
            }
            let placed = match self.place(&call, &story.tried, now) {
                Placement::Go(placed) => placed,
                Placement::Refuse(after) => {
                    return turn_away(&self.context, &call, story, after, "no room in time", now);
                }
                Placement::Nobody => {
                    return turn_away(&self.context, &call, story, NOBODY_PAUSE, "no server", now);
                }
            };
            story.tried.push(placed.server.id.clone());
            let address = placed.server.address;
            let _apart = SetApart::begin(&self.context, address, &call.fingerprint);
            let (end, error) = match self.attempt(&call, &placed, &mut story).await {
                Ok(response) => return response,
                Err(failed) => failed,
            };
            let now = self.context.clock.now();
            let next = story.history.record_end(end);
            if self.context.lines.failure(now) {
                tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), service = %call.service, server = %placed.server.id, version = placed.version, load = placed.load, news = placed.news.map(display), predicted_ms = millis(placed.predicted), waited_ms = millis(now.since(call.arrival)), %error, ?next, "attempt failed");
            }
            match next {
                Next::Again { budgeted } => {
                    if budgeted
                        && !self
                            .context
                            .fleet
                            .may_repeat(&call.service, call.deadline, now)
                    {
                        return give_up(
                            &self.context,
                            &call,
                            story,
                            now,
                            "the budget of repeats is used up",
                        );
                    }
                }
                Next::NotRun | Next::Unknown => {
                    return give_up(&self.context, &call, story, now, "no attempt is left");
                }
            }
        }
    }

    fn place(&self, call: &Call, tried: &[MemberId], now: Timestamp) -> Placement {
        // One that a server has had already moves on as if it were new.
        let returning = call.returning && tried.is_empty();
        let spent = if returning {
            Duration::ZERO
        } else {
            now.since(call.arrival)
        };
        let objective = call.route.target.saturating_sub(spent);
        self.place_within(call, tried, objective, returning, now)
    }

    /// One attempt. An error says what it means and what happened.
    async fn attempt(
        &self,
        call: &Call,
        placed: &Placed,
        story: &mut Story,
    ) -> Result<Response<Body>, (End, AttemptError)> {
        let last = story.history.sent + 1 >= story.history.allowed;
        let patient = last || !call.route.is_repeatable();
        let patience = if patient {
            Duration::MAX
        } else {
            PATIENCE + placed.predicted * 2
        };
        note_attempt(story.history.sent > 0);
        let sent = exchange(
            &self.context,
            &self.channels,
            call,
            placed,
            call.resume,
            patience,
        );
        let answer = sent.await.map_err(|e| self.note_error(placed, e))?;
        if call.is_stream() && answer.status.is_success() {
            return self
                .stream(call, placed, answer, patience, &story.tried)
                .await;
        }
        let status = answer.status;
        let response = self.whole(call, placed, answer).await;
        let response = response.map_err(|e| self.note_error(placed, e))?;
        let again = status.is_server_error() && call.route.is_repeatable() && !last;
        if !again {
            return Ok(response);
        }
        story.spare = Some(response);
        let error = AttemptError::Lost(status.to_smolstr());
        Err((End::Failed, error))
    }

    /// Reads an answer whole before any of it is passed on.
    async fn whole(
        &self,
        call: &Call,
        placed: &Placed,
        answer: Answer,
    ) -> Result<Response<Body>, AttemptError> {
        let now = self.context.clock.now();
        let left = call.deadline.since(now);
        let reading = Limited::new(answer.body, ANSWER_BYTES).collect();
        let read = tokio::time::timeout(left, reading).await;
        let read = read.map_err(|_| AttemptError::Late)?;
        let body = read
            .map_err(|e| {
                answer.flight.lost(Loss::Broken);
                AttemptError::Lost(e.to_smolstr())
            })?
            .to_bytes();
        if answer.status.is_success() {
            answer.flight.completed();
        }
        let now = self.context.clock.now();
        let latency = now.since(answer.sent);
        let attempt = if answer.status.is_server_error() {
            Attempt::Failed
        } else {
            Attempt::Answered(latency)
        };
        let place = Place::from(&placed.server);
        self.context
            .fleet
            .record(&place, attempt, placed.predicted, now);
        self.channels.keep(answer.channel, now);
        if self.context.lines.success(now) {
            tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, server = %place.id, load = placed.load, news = placed.news.map(display), status = answer.status.as_u16(), predicted_ms = millis(placed.predicted), latency_ms = millis(latency), total_ms = millis(now.since(call.arrival)), config_age_ms = self.context.published.age(now).map(millis), "answered");
        }
        metrics::counter!("apricothall_answers_total", "status" => class(answer.status))
            .increment(1);
        metrics::histogram!("apricothall_answer_seconds")
            .record(now.since(call.arrival).as_secs_f64());
        Ok(respond(answer.status, &answer.headers, full(body)))
    }

    /// Passes a stream on from its first event.
    async fn stream(
        &self,
        call: &Call,
        placed: &Placed,
        answer: Answer,
        patience: Duration,
        tried: &[MemberId],
    ) -> Result<Response<Body>, (End, AttemptError)> {
        let (status, headers) = (answer.status, answer.headers.clone());
        let mut feed = Feed::new(answer, placed);
        let now = self.context.clock.now();
        let wait = patience.min(call.deadline.since(now));
        let begin =
            begin_limit(&self.context, call, placed).map_or(Duration::MAX, |by| by.since(now));
        let first = feed.next(wait.min(begin)).await;
        let first = first.map_err(|error| {
            feed.note_lost(&error);
            let error = match error {
                FeedError::Stalled if begin < wait => AttemptError::Overdue,
                error => AttemptError::Lost(error.to_smolstr()),
            };
            self.note_error(placed, error)
        })?;
        let relaying = Relay {
            forwarder: self.clone(),
            call: call.clone(),
            tried: tried.to_vec(),
        };
        Ok(respond(status, &headers, relay(relaying, feed, first)))
    }
}

/// Refuses a call that has no place, unless it may have run already.
fn turn_away(
    context: &Context,
    call: &Call,
    story: Story,
    after: Duration,
    reason: &'static str,
    now: Timestamp,
) -> Response<Body> {
    if story.history.sent > 0 {
        return give_up(context, call, story, now, reason);
    }
    let left = call.deadline.since(now);
    let after = after.max(left / SHORTEST_SHARE).min(left / RETURN_SHARE);
    if context.lines.failure(now) {
        tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, returning = call.returning, prompt = call.prompt, after_ms = millis(after), config_age_ms = context.published.age(now).map(millis), reason, "refused");
    }
    metrics::counter!("apricothall_refusals_total", "reason" => reason).increment(1);
    refuse(after, reason)
}

/// The final answer to a request under which servers have ended. It does not say when to come
/// back, as it will not be run.
fn condemn(context: &Context, call: &Call, story: &Story, now: Timestamp) -> Response<Body> {
    if context.lines.failure(now) {
        tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, sent = story.history.sent, "condemned request refused");
    }
    metrics::counter!("apricothall_quarantine_refused_total").increment(1);
    let fate = match story.history.final_answer() {
        Next::Unknown => Fate::Unknown,
        Next::NotRun | Next::Again { .. } => Fate::NotRun,
    };
    let reason = "servers ended while they ran this request; it is not run again";
    own(StatusCode::BAD_GATEWAY, fate, reason)
}

/// The final answer when no further attempt is made.
fn give_up(
    context: &Context,
    call: &Call,
    story: Story,
    now: Timestamp,
    reason: &'static str,
) -> Response<Body> {
    let waited = now.since(call.arrival);
    let fate = story.history.final_answer();
    if context.lines.failure(now) {
        tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, sent = story.history.sent, waited_ms = millis(waited), ?fate, config_age_ms = context.published.age(now).map(millis), reason, "given up");
    }
    metrics::counter!("apricothall_failures_total", "reason" => reason).increment(1);
    if let Some(response) = story.spare {
        return response;
    }
    match fate {
        Next::Unknown if now >= call.deadline => {
            own(StatusCode::GATEWAY_TIMEOUT, Fate::Unknown, reason)
        }
        Next::Unknown => own(StatusCode::BAD_GATEWAY, Fate::Unknown, reason),
        Next::NotRun | Next::Again { .. } => refuse(FAILED_PAUSE, reason),
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
