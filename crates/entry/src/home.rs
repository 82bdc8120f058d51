//! Calls that may not be repeated: to the home that a ticket names, or to the agents of the pool.
//!
//! A lost attempt proves nothing, so the same call is sent to the home again, whose register
//! starts it at most once, until the deadline.

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

use crate::ask::Ask;
use crate::callers::Entry;
use crate::forward::ForwardError;
use crate::problem::Problem;
use crate::services::whole;

/// Pause before the next attempt at a home that did not answer.
const PAUSE: Duration = Duration::from_millis(100);

/// When to come back after a call that found no home.
const RETRY: Duration = Duration::from_secs(2);

/// One call with all that its attempts share.
struct Keyed<'a> {
    entry: &'a Entry,
    service: &'a CatalogueEntry,
    ask: &'a Ask,
    key: &'a IdempotencyKey,
    call: Call,
    fingerprint: Digest,
    deadline: Timestamp,
}

/// Makes a call that may not be repeated.
///
/// # Errors
/// The problem to report, with what the caller may conclude.
pub async fn answer(
    entry: &Entry,
    service: &CatalogueEntry,
    ask: &Ask,
    call: Call,
) -> Result<Response<Body>, Problem> {
    let Some(key) = &ask.key else {
        let detail = "calls to this service need an Idempotency-Key";
        return Err(Problem::bad_request(detail));
    };
    let ticket = ask.ticket.as_ref().map(|t| t.parse::<Ticket>()).transpose();
    let ticket = ticket.map_err(|e| {
        let status = StatusCode::BAD_REQUEST;
        let detail = format_smolstr!("x-ticket: {e}");
        Problem {
            status,
            ..Problem::unknown(detail)
        }
    })?;
    let keyed = Keyed {
        entry,
        service,
        ask,
        key,
        fingerprint: fingerprint(ask, &call),
        call,
        deadline: Clock.now() + ask.budget,
    };
    let answered = match &ticket {
        Some(ticket) => keyed.by_ticket(ticket).await,
        None => keyed.by_key().await,
    };
    let outcome = answered.as_ref().err().map(|p| p.outcome.to_string());
    let binding = if ticket.is_some() { "ticket" } else { "key" };
    let outcome = outcome.unwrap_or_else(|| "answered".to_owned());
    metrics::counter!("apricothall_once_calls_total", "binding" => binding, "outcome" => outcome)
        .increment(1);
    answered
}

fn fingerprint(ask: &Ask, call: &Call) -> Digest {
    match call {
        Call::Service {
            method, path, body, ..
        } => dedupe::fingerprint(&ask.caller, method, path, &body.0),
        Call::Completion { body, .. } => dedupe::fingerprint(&ask.caller, "", "", &body.0),
    }
}

/// What an attempt at one agent came to.
enum Ended {
    /// The answer, or a refusal that other attempts cannot better.
    Final(Result<Response<Body>, Problem>),
    /// The agent refused, which leaves the outcome open.
    Open(Problem),
    /// The agent did not answer; what was written before is stated.
    Lost(SentBytes),
}

impl Keyed<'_> {
    async fn by_ticket(&self, ticket: &Ticket) -> Result<Response<Body>, Problem> {
        loop {
            let (home, ask) = match self.choose(Some(ticket)) {
                Choice::Run(home, _) => (home, false),
                Choice::Ask(home) => (home, true),
                Choice::Refuse(reason, outcome) => return Err(refused(reason, outcome)),
                Choice::Any => return Err(refused(Reason::OtherEntry, Outcome::Unknown)),
            };
            let Some(agent) = self.entry.view.member(&home.id) else {
                return Err(refused(Reason::HomeGone, Outcome::Unknown));
            };
            let binding = Binding::Ticket {
                home,
                expires: ticket.expires,
            };
            let sent = match self.attempt(&agent, binding, ask).await {
                Ended::Final(done) => return done,
                Ended::Open(problem) => return Err(problem),
                Ended::Lost(sent) => sent,
            };
            self.pause(dedupe::Binding::Ticket, sent).await?;
        }
    }

    /// Asks the agents of the pool in turn: each one finds out by claims whether it may start the
    /// call, and the one that did has the answer.
    async fn by_key(&self) -> Result<Response<Body>, Problem> {
        loop {
            if let Choice::Refuse(reason, outcome) = self.choose(None) {
                return Err(refused(reason, outcome));
            }
            let (mut lost, mut open) = (None, None);
            for agent in self.pool() {
                let created = creation_time(self.key);
                match self
                    .attempt(&agent, Binding::Claims { created }, false)
                    .await
                {
                    Ended::Final(done) => return done,
                    Ended::Open(problem) => open = Some(problem),
                    Ended::Lost(sent) => lost = Some(sent),
                }
            }
            match (lost, open) {
                (Some(sent), _) => self.pause(dedupe::Binding::Claims, sent).await?,
                (None, Some(problem)) => return Err(problem),
                (None, None) => return Err(refused(Reason::NoAgent, Outcome::Unknown)),
            }
        }
    }

    fn choose(&self, ticket: Option<&Ticket>) -> Choice {
        choose(self.service, Some(self.key), ticket, |id| {
            let member = self.entry.view.member(id)?;
            Some((member.incarnation, member.state))
        })
    }

    /// Agents of the pool that are alive, in the order of the key's rank.
    fn pool(&self) -> Vec<Member> {
        let ranked = rank::order(self.key.as_str().as_bytes(), &self.service.pool);
        let members = ranked
            .into_iter()
            .filter_map(|id: &MemberId| self.entry.view.member(id));
        members.filter(Member::is_alive).collect()
    }

    async fn attempt(&self, agent: &Member, binding: Binding, ask: bool) -> Ended {
        let class = self.ask.class;
        let order = Order {
            request: self.ask.trace.request,
            caller: self.ask.caller.clone(),
            name: self.service.name.clone(),
            class: class.map_or(self.service.class, |c| c.min(self.service.class)),
            budget: self.deadline.since(Clock.now()),
            sent: Clock.wall(),
            record: None,
            once: Some(OnceCall {
                key: CallKey::new(&self.service.name, &self.ask.caller, self.key),
                fingerprint: self.fingerprint,
                binding,
                lookup_only: ask,
            }),
            call: self.call.clone(),
        };
        let trace = self.ask.trace.child(&mut rand::rng()).to_string();
        match whole(self.entry, agent, order, &trace).await {
            Ok(response) => Ended::Final(Ok(response)),
            Err(ForwardError::Refused(refusal)) if refusal.outcome == Outcome::Unknown => {
                Ended::Open(refusal.into())
            }
            Err(ForwardError::Refused(refusal)) => Ended::Final(Err(refusal.into())),
            Err(ForwardError::Unsent(_)) => Ended::Lost(SentBytes::Nothing),
            Err(error) => {
                tracing::info!(agent = %agent.id, %error, "attempt lost");
                Ended::Lost(SentBytes::Some)
            }
        }
    }

    /// Waits before the next attempt, or gives the final answer.
    async fn pause(&self, binding: dedupe::Binding, sent: SentBytes) -> Result<(), Problem> {
        // A home that is gone is refused by the next choice.
        let home = HomeStatus::Same;
        match after_failure(Some(binding), sent, home, self.deadline, Clock.now()) {
            Next::QueryHome => tokio::time::sleep(PAUSE).await,
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

fn refused(reason: Reason, outcome: Outcome) -> Problem {
    let (status, detail, retry) = match reason {
        Reason::KeyMissing => (400, "the call needs an Idempotency-Key", None),
        Reason::TicketMissing => (400, "the key is for use with its ticket", None),
        Reason::KeyMismatch => (400, "the key does not start with the ticket's prefix", None),
        Reason::OtherEntry => (400, "the ticket is for another service", None),
        Reason::NotInPool => (503, "the home of the ticket left the pool", None),
        Reason::HomeGone => (503, "the home of the ticket is gone", None),
        Reason::NoAgent => (503, "no agent of the pool is alive", Some(RETRY)),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    Problem {
        status,
        outcome,
        detail: detail.into(),
        retry,
    }
}
