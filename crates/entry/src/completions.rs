//! `POST /v1/completions`: forwards a completion to an engine and returns the answer, streamed or
//! in one piece.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::retry::{Failure, Verdict, retry_after};
use apricothall_decide::routing::PromptPrefixes;
use apricothall_fleet::Trace;
use apricothall_fleet::http_server::Body;
use apricothall_types::{CatalogueEntry, Class, EntryKind, MemberId, Outcome, Timestamp, Version};
use apricothall_wire::{Call, Order, Payload, TrafficClass, WireError};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use smol_str::format_smolstr;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::callers::EntryContext;
use crate::forward::{AnswerEvent, Attempt, ForwardError};
use crate::limits::LimitQuery;
use crate::problem::Problem;
use crate::prompt::CompletionCall;
use crate::quarantine::CompletionTracker;
use crate::relay::{self, StartedAnswer};
use crate::request_meta::{self, RequestMeta};
use crate::routing::{InFlightAttempt, ReplicaQuery};

/// `Retry-After` while no agent serves the model.
const NO_AGENT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum rounds over all replicas while each refuses without running the request.
const MAX_ROUNDS: u32 = 5;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// While fewer agents than this have been tried, a refusal that requests another agent, as from a
/// leaving one, is followed by the next agent at once and not counted as an attempt.
const MAX_LEAVING_AGENTS: usize = 8;

/// Upper bound of the margin that is taken off the budget sent to the agent, so that its refusal
/// arrives before the caller's deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// The margin is at most the remaining time divided by this number.
const RESPONSE_MARGIN_DIVISOR: u32 = 10;

/// A completion request and what all its attempts share.
struct CompletionJob<'a> {
    entry: &'a EntryContext,
    model: &'a CatalogueEntry,
    class: Class,
    meta: &'a RequestMeta,
    completion: &'a CompletionCall,
    /// Present if the model's engines retain prompts.
    prompt: Option<PromptPrefixes>,
    deadline: Timestamp,
    tracker: CompletionTracker,
}

/// Handles a completion request.
///
/// # Errors
/// Returns the problem to report if no answer has started.
pub async fn handle(
    entry: Arc<EntryContext>,
    request: Request<Incoming>,
    trace: Trace,
) -> Result<Response<Body>, Problem> {
    let meta = entry.request_meta(request.headers(), trace)?;
    let completion = CompletionCall::read(request_meta::read_body(request, &entry.config).await?)?;
    let catalogue = entry.catalogue.current();
    let found = catalogue.value.entry(&completion.model);
    let model = found.filter(|e| e.kind == EntryKind::Model);
    let model = model.ok_or_else(|| unknown_model(&completion))?;
    let class = entry.limits.check(LimitQuery {
        entry: model,
        caller: &meta.caller,
        class: meta.class,
        tokens: completion.max_tokens,
        body: completion.body.len(),
    })?;
    let end = Instant::now() + meta.budget;
    let tracker = entry
        .recent_servers
        .track(&model.name, class, &completion.body);
    let job = CompletionJob {
        entry: &entry,
        model,
        class,
        meta: &meta,
        completion: &completion,
        prompt: model
            .prompt_cache
            .and_then(|_| completion.prompt_prefixes()),
        deadline: entry.clock.now() + meta.budget,
        tracker,
    };
    let started = timeout_at(end, job.start_answer()).await;
    let started = started.map_err(|_| deadline_problem())??;
    if completion.stream {
        return Ok(relay::stream(started, meta, end));
    }
    let whole = timeout_at(end, relay::collect(started, &meta, &completion.model)).await;
    whole.map_err(|_| deadline_problem())?
}

fn unknown_model(completion: &CompletionCall) -> Problem {
    let detail = format_smolstr!("the catalogue has no model {}", completion.model);
    Problem {
        status: StatusCode::NOT_FOUND,
        ..Problem::bad_request(detail)
    }
}

fn deadline_problem() -> Problem {
    Problem {
        status: StatusCode::GATEWAY_TIMEOUT,
        ..Problem::unknown("the deadline has passed")
    }
}

impl CompletionJob<'_> {
    /// Tries replicas until one sends the first piece of an answer.
    async fn start_answer(&self) -> Result<StartedAnswer, Problem> {
        let routing = &self.entry.routing;
        routing.note_request();
        let mut tried = BTreeSet::new();
        let mut attempts = 0;
        let mut rounds = 0;
        let mut last_error: Option<ForwardError> = None;
        let mut earlier_outcome = None;
        loop {
            let excluded = self.excluded_agents(&tried, earlier_outcome)?;
            let query = ReplicaQuery {
                model: self.model,
                prefix: self.completion.prefix,
                prompt: self.prompt.as_ref(),
                excluded: &excluded,
            };
            let Some((flight, choice)) = routing.choose(query) else {
                // All replicas may have refused because their engines are switching versions while
                // the membership view still lags behind. Start another round.
                if last_error
                    .as_ref()
                    .is_some_and(ForwardError::wants_other_agent)
                    && rounds < MAX_ROUNDS
                {
                    rounds += 1;
                    tried.clear();
                    sleep(ROUND_PAUSE).await;
                    continue;
                }
                break;
            };
            tracing::debug!(
                agent = %choice.member,
                cause = ?choice.cause,
                saving = ?choice.saving,
                "chosen"
            );
            let member = flight.member.id.clone();
            let error = match self.attempt(flight).await {
                Ok(started) => return Ok(started),
                Err(error) => error,
            };
            tracing::info!(agent = %member, %error, "attempt at agent failed");
            metrics::counter!("apricothall_tries_failed_total", "reason" => error.label())
                .increment(1);
            tried.insert(member);
            if !error.is_not_run() {
                earlier_outcome = Some(error.refusal().outcome);
            }
            let next_at_once = error.wants_other_agent() && tried.len() < MAX_LEAVING_AGENTS;
            attempts += u32::from(!next_at_once);
            let delay = if next_at_once {
                Some(Duration::ZERO)
            } else {
                self.retry_delay(&error, attempts)
            };
            last_error = Some(error);
            let Some(delay) = delay else {
                break;
            };
            sleep(delay).await;
        }
        Err(last_error.map_or_else(|| self.no_agent(), |e| jitter_retry(e.refusal().into())))
    }

    /// Returns the agents already tried and those that quarantine excludes.
    fn excluded_agents(
        &self,
        tried: &BTreeSet<MemberId>,
        earlier_outcome: Option<Outcome>,
    ) -> Result<BTreeSet<MemberId>, Problem> {
        let quarantined = self.tracker.excluded_agents(earlier_outcome)?;
        Ok(tried.iter().cloned().chain(quarantined).collect())
    }

    /// Returns the delay before the next attempt, or `None` if the failure is final.
    fn retry_delay(&self, error: &ForwardError, attempts: u32) -> Option<Duration> {
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
            Verdict::Retry(delay) => Some(delay),
            _ => None,
        }
    }

    async fn attempt(&self, mut flight: InFlightAttempt) -> Result<StartedAnswer, ForwardError> {
        let silence = self.entry.retry.silence.0;
        let trace = self.meta.trace.child(&mut rand::rng()).to_string();
        let connector = &self.entry.connector;
        let start = Attempt::start(
            connector,
            &flight.member,
            self.order(&flight.version),
            &trace,
        );
        let started = timeout(silence, start).await;
        let lost = Err(ForwardError::Lost(WireError::Timeout));
        let attempted = match started.unwrap_or(lost) {
            Ok(mut attempt) => {
                attempt.track_crashes(self.tracker.clone());
                let first = first_piece(&mut attempt, silence).await;
                if let Some(load) = attempt.take_load() {
                    flight.note_load(load);
                }
                first.map(|first| (attempt, first))
            }
            Err(error) => Err(error),
        };
        match attempted {
            Ok((attempt, first)) => {
                flight.answered();
                let version = flight.version.clone();
                Ok(StartedAnswer {
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
                    // The connection may be dead without a reset, so the next attempt opens a new
                    // one.
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
            request: self.meta.trace.request,
            caller: self.meta.caller.clone(),
            name: self.model.name.clone(),
            class: self.class,
            budget: left.saturating_sub(RESPONSE_MARGIN.min(left / RESPONSE_MARGIN_DIVISOR)),
            sent: self.entry.clock.wall(),
            once: None,
            record: self.tracker.record(),
            call: Call::Completion {
                version: version.clone(),
                body: Payload(self.completion.body.clone()),
            },
        }
    }

    fn no_agent(&self) -> Problem {
        let detail = format_smolstr!("no agent serves {}", self.model.name);
        jitter_retry(Problem::unavailable(detail, NO_AGENT_RETRY_AFTER))
    }
}

/// Adds jitter to `Retry-After`, so that refused callers do not retry at the same time.
fn jitter_retry(problem: Problem) -> Problem {
    let jittered = |wait| Duration::from_secs(retry_after(wait, &mut rand::rng()));
    Problem {
        retry: problem.retry.map(jittered),
        ..problem
    }
}

async fn first_piece(attempt: &mut Attempt, silence: Duration) -> Result<Bytes, ForwardError> {
    loop {
        match attempt.next_within(silence).await? {
            AnswerEvent::Head(_) => {}
            AnswerEvent::Data(data) => return Ok(data),
            AnswerEvent::End(_) => return Ok(Bytes::new()),
        }
    }
}
