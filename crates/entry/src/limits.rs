//! Plug-in that grants and refuses requests by the limits of the catalogue.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::LimitsConfig;
use apricothall_decide::limits::{Call, DemandRecord, Limiter, class_of};
use apricothall_decide::retry::retry_after;
use apricothall_fleet::{CatalogueState, StatusBoard, View};
use apricothall_kernel::{Clock, Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{
    CallerId, CatalogueEntry, Class, MemberId, MemberState, Outcome, Revision, Role, Timestamp,
};
use http::StatusCode;
use linkme::distributed_slice;
use serde_json::{Value, json};
use smol_str::format_smolstr;
use tokio::sync::watch;

use crate::demand;
use crate::problem::Problem;

#[distributed_slice(PLUGINS)]
static LIMITS: Plugin = Plugin {
    name: "limits",
    stage: Stage::Serving,
    roles: &[Role::Entry],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Rounds of records in one term, so that a lost one ends no loan.
const ROUNDS_PER_TERM: u32 = 3;

/// What a request asks of the limits.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Catalogue entry that it is for.
    pub entry: &'a CatalogueEntry,
    /// Account that is charged.
    pub caller: &'a CallerId,
    /// Class that it names, if any.
    pub class: Option<Class>,
    /// Tokens that it asks for; none when it names no bound.
    pub tokens: Option<u32>,
    /// Length of its body, in bytes.
    pub body: usize,
}

/// The limits as one entry grants them.
pub struct Limits {
    clock: Clock,
    config: LimitsConfig,
    started: Timestamp,
    view: Arc<View>,
    limiter: Mutex<Limiter>,
    last: Mutex<Option<DemandRecord>>,
    joined: watch::Sender<bool>,
}

impl Limits {
    /// Grants a request with the class that it is treated as.
    ///
    /// # Errors
    /// The refusal for the caller. The request has not run.
    pub fn check(&self, asked: Asked<'_>) -> Result<Class, Problem> {
        let class = self.class(asked);
        let call = Call {
            entry: asked.entry,
            caller: asked.caller,
            class,
        };
        let checked = self.lock().check(call, self.clock.now());
        let Err(refusal) = checked else {
            return Ok(class);
        };
        let reason = refusal.reason.label();
        metrics::counter!("apricothall_limited_total", "reason" => reason.to_string()).increment(1);
        let seconds = retry_after(refusal.after, &mut rand::rng());
        Err(Problem {
            status: StatusCode::TOO_MANY_REQUESTS,
            outcome: Outcome::NotRun,
            detail: format_smolstr!("refused by {reason} of {}", asked.entry.name),
            retry: Some(Duration::from_secs(seconds)),
        })
    }

    /// What [`Self::check`] would decide now, without counting the request.
    #[must_use]
    pub fn explain(&self, asked: Asked<'_>) -> Value {
        let class = self.class(asked);
        let call = Call {
            entry: asked.entry,
            caller: asked.caller,
            class,
        };
        let mut trial = self.lock().clone();
        match trial.check(call, self.clock.now()) {
            Ok(()) => json!({ "class": class, "granted": true }),
            Err(refusal) => json!({ "class": class, "granted": false, "refusal": refusal }),
        }
    }

    /// Waits until this entry has its own share of the limits.
    pub async fn joined(&self) {
        let mut joined = self.joined.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = joined.wait_for(|done| *done).await;
    }

    /// Takes in the record of another entry.
    pub fn merge(&self, record: DemandRecord) {
        self.lock().merge(record, self.clock.now());
        self.settle();
    }

    /// The record of the last round.
    #[must_use]
    pub fn record(&self) -> Option<DemandRecord> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.clone()
    }

    /// Time between two rounds.
    #[must_use]
    pub fn period(&self) -> Duration {
        self.config.term.0 / ROUNDS_PER_TERM
    }

    /// Makes the record for a new round.
    pub fn round(&self) -> DemandRecord {
        let now = self.clock.now();
        let entries = self.entries(now);
        let mut limiter = self.lock();
        if let Some(entries) = entries {
            limiter.set_entries(entries, now);
        }
        let record = limiter.publish(now);
        drop(limiter);
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = Some(record.clone());
        drop(last);
        self.settle();
        record
    }

    /// Section of the status.
    #[must_use]
    pub fn status(&self) -> Value {
        let now = self.clock.now();
        let limiter = self.lock();
        let ledger = limiter.ledger();
        json!({
            "entries": ledger.entry_count(),
            "owner": ledger.is_owner(now),
            "record": self.record(),
        })
    }

    fn class(&self, asked: Asked<'_>) -> Class {
        let tokens = asked.tokens.unwrap_or(u32::MAX);
        let body = u32::try_from(asked.body).unwrap_or(u32::MAX);
        class_of(&self.config, asked.entry.class, asked.class, tokens, body)
    }

    /// Entries that limits are divided by: all that are listed or heard of and have not said that
    /// they are gone. None while the list is unknown, but no longer than `join`.
    fn entries(&self, now: Timestamp) -> Option<Vec<MemberId>> {
        let list = self.view.list();
        let unlisted = list.revision == Revision(0);
        if unlisted && now.since(self.started) < self.config.join.0 {
            return None;
        }
        let listed = list.vms.iter().filter(|vm| vm.role == Role::Entry);
        let mut all: Vec<_> = listed.map(|vm| vm.id.clone()).collect();
        self.view.with(|membership| {
            let said_gone = |id: &MemberId| {
                let seen = membership.member(id);
                seen.is_some_and(|s| s.member.state == MemberState::Gone)
            };
            let heard = membership
                .members()
                .filter(|s| s.member.role == Role::Entry);
            all.extend(heard.map(|s| s.member.id.clone()));
            all.retain(|id| !said_gone(id));
        });
        Some(all)
    }

    fn settle(&self) {
        let owner = self.lock().ledger().is_owner(self.clock.now());
        if owner {
            self.joined
                .send_if_modified(|done| !std::mem::replace(done, true));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Limiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let config = context.settings.limits.clone();
    let view = context.component::<View>()?;
    let now = context.clock.now();
    let own = view.own_id().clone();
    let limiter = Limiter::new(config.clone(), own, context.incarnation, now);
    let limits = Arc::new(Limits {
        clock: context.clock,
        config,
        started: now,
        view,
        limiter: Mutex::new(limiter),
        last: Mutex::default(),
        joined: watch::Sender::new(false),
    });
    context.provide(limits.clone());
    let board = context.component::<StatusBoard>()?;
    let shown = limits.clone();
    board.section("limits", move || shown.status());
    let waited = limits.clone();
    board.condition(move || {
        let joined = *waited.joined.borrow();
        (!joined).then(|| "waits for its share of the limits".into())
    });
    let catalogue = context.component::<CatalogueState>()?;
    context.lifecycle.spawn(follow(limits.clone(), catalogue));
    demand::start(context, limits)
}

/// Takes over the limits of each catalogue in force.
async fn follow(limits: Arc<Limits>, catalogue: Arc<CatalogueState>) {
    let mut changes = catalogue.changes();
    loop {
        let adopted = changes.borrow_and_update().clone();
        let now = limits.clock.now();
        limits.lock().set_catalogue(&adopted.value.entries, now);
        if changes.changed().await.is_err() {
            return;
        }
    }
}
