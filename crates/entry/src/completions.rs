//! `POST /v1/completions`: a draft by an engine, streamed or whole.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::retry::{Failure, Verdict, retry_after};
use apricothall_fleet::Trace;
use apricothall_fleet::http_server::Body;
use apricothall_types::{CatalogueEntry, Class, EntryKind, MemberId, Outcome, Timestamp, Version};
use apricothall_wire::{Call, Order, Payload, TrafficClass, WireError};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use smol_str::format_smolstr;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::ask::{self, Ask};
use crate::callers::Entry;
use crate::forward::{Attempt, ForwardError, Step};
use crate::limits::Asked;
use crate::problem::Problem;
use crate::prompt::Prompt;
use crate::quarantine::Suspect;
use crate::relay::{self, Started};
use crate::routing::{Flight, Wanted};

/// When to come back while no agent serves the version.
const NO_AGENT_RETRY: Duration = Duration::from_secs(2);

/// Rounds over agents that all refused without running the request.
const MAX_ROUNDS: u32 = 5;

/// Pause between two such rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Agents that are asked after one another because the last one leaves.
const MAX_ELSEWHERE: usize = 8;

/// Longest part of the time left that agents are not told of, so that their refusal arrives before
/// the deadline.
const MARGIN: Duration = Duration::from_millis(100);

/// [`MARGIN`] as a part of the time left, at the most.
const MARGIN_PART: u32 = 10;

/// One request on its way to an agent.
struct Job<'a> {
    entry: &'a Entry,
    model: &'a CatalogueEntry,
    class: Class,
    ask: &'a Ask,
    prompt: &'a Prompt,
    deadline: Timestamp,
    suspect: Suspect,
}

/// Answers a completion call.
///
/// # Errors
/// The problem to report when the answer has not begun.
pub async fn answer(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    trace: Trace,
) -> Result<Response<Body>, Problem> {
    let waited = entry.arrival.waited(entry.clock.now());
    let ask = Ask::read(request.headers(), trace, &entry.config)?.after(waited)?;
    let prompt = Prompt::read(ask::body(request, &entry.config).await?)?;
    let catalogue = entry.catalogue.current();
    let found = catalogue.value.entry(&prompt.model);
    let model = found.filter(|e| e.kind == EntryKind::Model);
    let model = model.ok_or_else(|| unknown_model(&prompt))?;
    let class = entry.limits.check(Asked {
        entry: model,
        caller: &ask.caller,
        class: ask.class,
        tokens: prompt.tokens,
        body: prompt.body.len(),
    })?;
    let end = Instant::now() + ask.budget;
    let suspect = entry.pairs.suspect(&model.name, class, &prompt.body);
    let job = Job {
        entry: &entry,
        model,
        class,
        ask: &ask,
        prompt: &prompt,
        deadline: entry.clock.now() + ask.budget,
        suspect,
    };
    let started = timeout_at(end, job.begin()).await;
    let started = started.map_err(|_| too_late())??;
    if prompt.stream {
        return Ok(relay::stream(started, ask, end));
    }
    let whole = timeout_at(end, relay::collect(started, &ask, &prompt.model)).await;
    whole.map_err(|_| too_late())?
}

fn unknown_model(prompt: &Prompt) -> Problem {
    let detail = format_smolstr!("the catalogue has no model {}", prompt.model);
    Problem {
        status: StatusCode::NOT_FOUND,
        ..Problem::bad_request(detail)
    }
}

fn too_late() -> Problem {
    Problem {
        status: StatusCode::GATEWAY_TIMEOUT,
        ..Problem::unknown("the deadline has passed")
    }
}

impl Job<'_> {
    /// Tries agents until one sends the first piece of an answer.
    async fn begin(&self) -> Result<Started, Problem> {
        let routing = &self.entry.routing;
        routing.note_request();
        let mut tried = BTreeSet::new();
        let mut attempts = 0;
        let mut rounds = 0;
        let mut last: Option<ForwardError> = None;
        let mut ran = None;
        loop {
            let closed = self.closed(&tried, ran)?;
            let wanted = Wanted {
                model: self.model,
                prefix: self.prompt.prefix,
                tried: &closed,
            };
            let Some((flight, choice)) = routing.choose(wanted) else {
                // All that were asked may have refused because their engines change version; the
                // view is some moments behind.
                if last.as_ref().is_some_and(ForwardError::is_elsewhere) && rounds < MAX_ROUNDS {
                    rounds += 1;
                    tried.clear();
                    sleep(ROUND_PAUSE).await;
                    continue;
                }
                break;
            };
            tracing::debug!(agent = %choice.member, cause = ?choice.cause, "chosen");
            let member = flight.member.id.clone();
            let error = match self.attempt(flight).await {
                Ok(started) => return Ok(started),
                Err(error) => error,
            };
            tracing::info!(agent = %member, %error, "try failed");
            metrics::counter!("apricothall_tries_failed_total", "reason" => error.label())
                .increment(1);
            tried.insert(member);
            if !error.is_not_run() {
                ran = Some(error.refusal().outcome);
            }
            let elsewhere = error.is_elsewhere() && tried.len() < MAX_ELSEWHERE;
            attempts += u32::from(!elsewhere);
            let pause = if elsewhere {
                Some(Duration::ZERO)
            } else {
                self.pause(&error, attempts)
            };
            last = Some(error);
            let Some(pause) = pause else {
                break;
            };
            sleep(pause).await;
        }
        Err(last.map_or_else(|| self.no_agent(), |e| spread(e.refusal().into())))
    }

    /// Agents that were tried, and those that quarantine rules out.
    fn closed(
        &self,
        tried: &BTreeSet<MemberId>,
        ran: Option<Outcome>,
    ) -> Result<BTreeSet<MemberId>, Problem> {
        let barred = self.suspect.barred(ran)?;
        Ok(tried.iter().cloned().chain(barred).collect())
    }

    /// Pause before the next try; none when the failure is final.
    fn pause(&self, error: &ForwardError, attempts: u32) -> Option<Duration> {
        let failure = Failure {
            outcome: if error.is_not_run() {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            },
            repeatable: self.model.repeatable,
            answered: false,
            suspect: false,
            attempts,
        };
        let verdict = self.entry.routing.retry(failure, self.deadline);
        let label = match verdict {
            Verdict::Retry(_) => "retry",
            Verdict::Unsafe => "unsafe",
            Verdict::Suspect => "suspect",
            Verdict::Attempts => "attempts",
            Verdict::Deadline => "deadline",
            Verdict::Budget => "budget",
        };
        metrics::counter!("apricothall_retries_total", "verdict" => label).increment(1);
        match verdict {
            Verdict::Retry(pause) => Some(pause),
            _ => None,
        }
    }

    async fn attempt(&self, flight: Flight) -> Result<Started, ForwardError> {
        let silence = self.entry.retry.silence.0;
        let trace = self.ask.trace.child(&mut rand::rng()).to_string();
        let connector = &self.entry.connector;
        let start = Attempt::start(
            connector,
            &flight.member,
            self.order(&flight.version),
            &trace,
        );
        let started = timeout(silence, start).await;
        let lost = Err(ForwardError::Lost(WireError::Timeout));
        let tried = match started.unwrap_or(lost) {
            Ok(mut attempt) => {
                attempt.watch(self.suspect.clone());
                let first = first(&mut attempt, silence).await;
                if let Some(load) = attempt.take_load() {
                    flight.note_load(load);
                }
                first.map(|first| (attempt, first))
            }
            Err(error) => Err(error),
        };
        match tried {
            Ok((attempt, first)) => {
                flight.answered();
                let version = flight.version.clone();
                Ok(Started {
                    attempt,
                    flight,
                    version,
                    first,
                    silence,
                })
            }
            Err(error) => {
                flight.failed(&error);
                if matches!(error, ForwardError::Lost(WireError::Timeout)) {
                    // The connection may be cut off; the next try makes a new one.
                    connector
                        .drop_connection(flight.member.address, TrafficClass::Live)
                        .await;
                }
                Err(error)
            }
        }
    }

    fn order(&self, version: &Version) -> Order {
        let left = self.deadline.since(self.entry.clock.now());
        Order {
            request: self.ask.trace.request,
            caller: self.ask.caller.clone(),
            name: self.model.name.clone(),
            class: self.class,
            budget: left.saturating_sub(MARGIN.min(left / MARGIN_PART)),
            sent: self.entry.clock.wall(),
            once: None,
            record: self.suspect.record(),
            call: Call::Completion {
                version: version.clone(),
                body: Payload(self.prompt.body.clone()),
            },
        }
    }

    fn no_agent(&self) -> Problem {
        let detail = format_smolstr!("no agent serves {}", self.model.name);
        spread(Problem::unavailable(detail, NO_AGENT_RETRY))
    }
}

/// Spreads the time to come back, so that refused callers don't come back together.
fn spread(problem: Problem) -> Problem {
    let spread = |wait| Duration::from_secs(retry_after(wait, &mut rand::rng()));
    Problem {
        retry: problem.retry.map(spread),
        ..problem
    }
}

async fn first(attempt: &mut Attempt, silence: Duration) -> Result<Bytes, ForwardError> {
    loop {
        match attempt.next_within(silence).await? {
            Step::Head(_) => {}
            Step::Data(data) => return Ok(data),
            Step::End(_) => return Ok(Bytes::new()),
        }
    }
}
