//! Sends calls that must not run twice to the home named by their ticket, or to the agents of the
//! pool.
//!
//! A lost attempt leaves the outcome open. The same call is therefore sent to the home again until
//! the deadline; the home's register starts it at most once.

use std::time::Duration;

use apricothall_decide::claims::creation_time;
use apricothall_decide::dedupe::{
    self, CallKey, Choice, HomeStatus, Next, Reason, SentBytes, Ticket, after_failure, choose,
};
use apricothall_decide::rank;
use apricothall_fleet::http_server::Body;
use apricothall_kernel::Clock;
use apricothall_types::{
    CatalogueEntry, Digest, IdempotencyKey, Member, MemberId, Outcome, Timestamp,
};
use apricothall_wire::{Binding, Call, OnceCall, Order};
use http::{Response, StatusCode};
use smol_str::format_smolstr;

use crate::callers::EntryContext;
use crate::forward::ForwardError;
use crate::problem::Problem;
use crate::request_meta::RequestMeta;
use crate::services::collect_answer;

/// Pause before the next attempt after a home did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// `Retry-After` when no agent of the pool is alive.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A keyed call and what all its attempts share.
struct KeyedCall<'a> {
    entry: &'a EntryContext,
    service: &'a CatalogueEntry,
    meta: &'a RequestMeta,
    key: &'a IdempotencyKey,
    call: Call,
    fingerprint: Digest,
    deadline: Timestamp,
}

/// Handles a call that must not run twice.
///
/// # Errors
/// Returns the problem to report, with the outcome that the caller may conclude.
pub async fn handle(
    entry: &EntryContext,
    service: &CatalogueEntry,
    meta: &RequestMeta,
    call: Call,
) -> Result<Response<Body>, Problem> {
    let Some(key) = &meta.key else {
        let detail = "calls to this service need an Idempotency-Key";
        return Err(Problem::bad_request(detail));
    };
    let ticket = meta
        .ticket
        .as_ref()
        .map(|t| t.parse::<Ticket>())
        .transpose();
    let ticket = ticket.map_err(|e| {
        let status = StatusCode::BAD_REQUEST;
        let detail = format_smolstr!("x-ticket: {e}");
        Problem {
            status,
            ..Problem::unknown(detail)
        }
    })?;
    let keyed_call = KeyedCall {
        entry,
        service,
        meta,
        key,
        fingerprint: fingerprint(meta, &call),
        call,
        deadline: Clock.now() + meta.budget,
    };
    let answered = match &ticket {
        Some(ticket) => keyed_call.by_ticket(ticket).await,
        None => keyed_call.by_key().await,
    };
    let outcome = answered.as_ref().err().map(|p| p.outcome.to_string());
    let binding = if ticket.is_some() { "ticket" } else { "key" };
    let outcome = outcome.unwrap_or_else(|| "answered".to_owned());
    metrics::counter!("apricothall_once_calls_total", "binding" => binding, "outcome" => outcome)
        .increment(1);
    answered
}

fn fingerprint(meta: &RequestMeta, call: &Call) -> Digest {
    match call {
        Call::Service {
            method, path, body, ..
        } => dedupe::fingerprint(&meta.caller, method, path, &body.0),
        Call::Completion { body, .. } => dedupe::fingerprint(&meta.caller, "", "", &body.0),
    }
}

/// Result of an attempt at one agent.
enum AttemptResult {
    /// The answer, or a refusal after which no further attempt is made.
    Final(Result<Response<Body>, Problem>),
    /// The agent refused, and the outcome of the call is unknown.
    Unresolved(Problem),
    /// The agent did not answer; states whether any byte of the order was sent.
    Lost(SentBytes),
}

impl KeyedCall<'_> {
    async fn by_ticket(&self, ticket: &Ticket) -> Result<Response<Body>, Problem> {
        loop {
            let (home, query_only) = match self.choose(Some(ticket)) {
                Choice::Run(home, _) => (home, false),
                Choice::Ask(home) => (home, true),
                Choice::Refuse(reason, outcome) => return Err(refusal_problem(reason, outcome)),
                Choice::Any => return Err(refusal_problem(Reason::OtherEntry, Outcome::Unknown)),
            };
            let Some(agent) = self.entry.view.member(&home.id) else {
                return Err(refusal_problem(Reason::HomeGone, Outcome::Unknown));
            };
            let binding = Binding::Ticket {
                home,
                expires: ticket.expires,
            };
            let sent = match self.attempt(&agent, binding, query_only).await {
                AttemptResult::Final(done) => return done,
                AttemptResult::Unresolved(problem) => return Err(problem),
                AttemptResult::Lost(sent) => sent,
            };
            self.pause_before_retry(dedupe::Binding::Ticket, sent)
                .await?;
        }
    }

    /// Sends the call to the agents of the pool in turn. Each determines by the claims protocol
    /// whether it may start the call; the agent that started it has the answer.
    async fn by_key(&self) -> Result<Response<Body>, Problem> {
        loop {
            if let Choice::Refuse(reason, outcome) = self.choose(None) {
                return Err(refusal_problem(reason, outcome));
            }
            let (mut unanswered, mut unresolved) = (None, None);
            for agent in self.live_pool() {
                let created = creation_time(self.key);
                match self
                    .attempt(&agent, Binding::Claims { created }, false)
                    .await
                {
                    AttemptResult::Final(done) => return done,
                    AttemptResult::Unresolved(problem) => unresolved = Some(problem),
                    AttemptResult::Lost(sent) => unanswered = Some(sent),
                }
            }
            match (unanswered, unresolved) {
                (Some(sent), _) => {
                    self.pause_before_retry(dedupe::Binding::Claims, sent)
                        .await?;
                }
                (None, Some(problem)) => return Err(problem),
                (None, None) => return Err(refusal_problem(Reason::NoAgent, Outcome::Unknown)),
            }
        }
    }

    fn choose(&self, ticket: Option<&Ticket>) -> Choice {
        choose(self.service, Some(self.key), ticket, |id| {
            let member = self.entry.view.member(id)?;
            Some((member.incarnation, member.state))
        })
    }

    /// Returns the live agents of the pool in rank order for the key.
    fn live_pool(&self) -> Vec<Member> {
        let ranked = rank::order(self.key.as_str().as_bytes(), &self.service.pool);
        let members = ranked
            .into_iter()
            .filter_map(|id: &MemberId| self.entry.view.member(id));
        members.filter(Member::is_alive).collect()
    }

    async fn attempt(&self, agent: &Member, binding: Binding, query_only: bool) -> AttemptResult {
        let class = self.meta.class;
        let order = Order {
            request: self.meta.trace.request,
            caller: self.meta.caller.clone(),
            name: self.service.name.clone(),
            class: class.map_or(self.service.class, |c| c.min(self.service.class)),
            budget: self.deadline.since(Clock.now()),
            sent: Clock.wall(),
            record: None,
            once: Some(OnceCall {
                key: CallKey::new(&self.service.name, &self.meta.caller, self.key),
                fingerprint: self.fingerprint,
                binding,
                lookup_only: query_only,
            }),
            call: self.call.clone(),
        };
        let trace = self.meta.trace.child(&mut rand::rng()).to_string();
        match collect_answer(self.entry, agent, order, &trace).await {
            Ok(response) => AttemptResult::Final(Ok(response)),
            Err(ForwardError::Refused(refusal)) if refusal.outcome == Outcome::Unknown => {
                AttemptResult::Unresolved(refusal.into())
            }
            Err(ForwardError::Refused(refusal)) => AttemptResult::Final(Err(refusal.into())),
            Err(ForwardError::Unsent(_)) => AttemptResult::Lost(SentBytes::Nothing),
            Err(error) => {
                tracing::info!(agent = %agent.id, %error, "attempt lost");
                AttemptResult::Lost(SentBytes::Some)
            }
        }
    }

    /// Waits before the next attempt, or returns the final problem.
    async fn pause_before_retry(
        &self,
        binding: dedupe::Binding,
        sent: SentBytes,
    ) -> Result<(), Problem> {
        // If the home is no longer a member, the next call to `choose` refuses.
        let home = HomeStatus::Same;
        match after_failure(Some(binding), sent, home, self.deadline, Clock.now()) {
            Next::QueryHome => tokio::time::sleep(RETRY_PAUSE).await,
            Next::Answer(outcome) => {
                let status = StatusCode::GATEWAY_TIMEOUT;
                let problem = Problem::unknown("the home of the call did not answer in time");
                return Err(Problem {
                    status,
                    outcome,
                    ..problem
                });
            }
        }
        Ok(())
    }
}

fn refusal_problem(reason: Reason, outcome: Outcome) -> Problem {
    let (status, detail, retry) = match reason {
        Reason::KeyMissing => (400, "the call needs an Idempotency-Key", None),
        Reason::TicketMissing => (400, "the key is for use with its ticket", None),
        Reason::KeyMismatch => (400, "the key does not start with the ticket's prefix", None),
        Reason::OtherEntry => (400, "the ticket is for another service", None),
        Reason::NotInPool => (503, "the home of the ticket left the pool", None),
        Reason::HomeGone => (503, "the home of the ticket is gone", None),
        Reason::NoAgent => (503, "no agent of the pool is alive", Some(RETRY_AFTER)),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    Problem {
        status,
        outcome,
        detail: detail.into(),
        retry,
    }
}
