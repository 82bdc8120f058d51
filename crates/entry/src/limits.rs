//! Plug-in that enforces the rate limits of the catalogue.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::LimitsConfig;
use apricothall_decide::limits::{Call, DemandRecord, Limiter, class_of};
use apricothall_decide::retry::retry_after;
use apricothall_fleet::{CatalogueState, MembershipView, StatusBoard};
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

/// Demand records sent in one loan term, so that a single lost record does not end a loan.
const ROUNDS_PER_TERM: u32 = 3;

/// The properties of a request that the limits depend on.
#[derive(Clone, Copy, Debug)]
pub struct LimitQuery<'a> {
    /// Catalogue entry of the model or service.
    pub entry: &'a CatalogueEntry,
    /// Account that is charged for the request.
    pub caller: &'a CallerId,
    /// Requested class, if any.
    pub class: Option<Class>,
    /// Maximum number of tokens; `None` if the request sets no bound.
    pub tokens: Option<u32>,
    /// Length of the body in bytes.
    pub body: usize,
}

/// Rate limits as enforced by this entry.
pub struct Limits {
    clock: Clock,
    config: LimitsConfig,
    started: Timestamp,
    view: Arc<MembershipView>,
    limiter: Mutex<Limiter>,
    last_record: Mutex<Option<DemandRecord>>,
    joined: watch::Sender<bool>,
}

impl Limits {
    /// Checks a request against the limits and returns the class that it is treated as.
    ///
    /// # Errors
    /// Returns the refusal for the caller. The request has not run.
    pub fn check(&self, query: LimitQuery<'_>) -> Result<Class, Problem> {
        let class = self.class(query);
        let call = Call {
            entry: query.entry,
            caller: query.caller,
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
            detail: format_smolstr!("refused by {reason} of {}", query.entry.name),
            retry: Some(Duration::from_secs(seconds)),
        })
    }

    /// Returns what [`Self::check`] would decide now, without counting the request.
    #[must_use]
    pub fn explain(&self, query: LimitQuery<'_>) -> Value {
        let class = self.class(query);
        let call = Call {
            entry: query.entry,
            caller: query.caller,
            class,
        };
        let mut trial = self.lock().clone();
        match trial.check(call, self.clock.now()) {
            Ok(()) => json!({ "class": class, "granted": true }),
            Err(refusal) => json!({ "class": class, "granted": false, "refusal": refusal }),
        }
    }

    /// Waits until this entry has its own share of the limits.
    pub async fn wait_until_joined(&self) {
        let mut joined = self.joined.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = joined.wait_for(|done| *done).await;
    }

    /// Merges the demand record of another entry.
    pub fn merge(&self, record: DemandRecord) {
        self.lock().merge(record, self.clock.now());
        self.update_joined();
    }

    /// Returns the demand record of the last round.
    #[must_use]
    pub fn record(&self) -> Option<DemandRecord> {
        let last_record = self
            .last_record
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_record.clone()
    }

    /// Returns the time between two rounds.
    #[must_use]
    pub fn period(&self) -> Duration {
        self.config.term.0 / ROUNDS_PER_TERM
    }

    /// Starts a new round and returns its demand record.
    pub fn next_record(&self) -> DemandRecord {
        let now = self.clock.now();
        let entries = self.sharing_entries(now);
        let mut limiter = self.lock();
        if let Some(entries) = entries {
            limiter.set_entries(entries, now);
        }
        let record = limiter.publish(now);
        drop(limiter);
        let mut last_record = self
            .last_record
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_record = Some(record.clone());
        drop(last_record);
        self.update_joined();
        record
    }

    /// Returns the section of the status page.
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

    fn class(&self, query: LimitQuery<'_>) -> Class {
        let tokens = query.tokens.unwrap_or(u32::MAX);
        let body = u32::try_from(query.body).unwrap_or(u32::MAX);
        class_of(&self.config, query.entry.class, query.class, tokens, body)
    }

    /// Returns the entries that share the limits: all that are in the VM list or in the gossip
    /// membership and have not announced that they are gone. Returns `None` until the VM list has
    /// been received, but for no longer than `join`.
    fn sharing_entries(&self, now: Timestamp) -> Option<Vec<MemberId>> {
        let list = self.view.vm_list();
        let unlisted = list.revision == Revision(0);
        if unlisted && now.since(self.started) < self.config.join.0 {
            return None;
        }
        let listed = list.vms.iter().filter(|vm| vm.role == Role::Entry);
        let mut all: Vec<_> = listed.map(|vm| vm.id.clone()).collect();
        self.view.with(|membership| {
            let announced_gone = |id: &MemberId| {
                let member = membership.member(id);
                member.is_some_and(|s| s.member.state == MemberState::Gone)
            };
            let gossip_entries = membership
                .members()
                .filter(|s| s.member.role == Role::Entry);
            all.extend(gossip_entries.map(|s| s.member.id.clone()));
            all.retain(|id| !announced_gone(id));
        });
        Some(all)
    }

    fn update_joined(&self) {
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
    let view = context.component::<MembershipView>()?;
    let now = context.clock.now();
    let own = view.own_id().clone();
    let limiter = Limiter::new(config.clone(), own, context.incarnation, now);
    let limits = Arc::new(Limits {
        clock: context.clock,
        config,
        started: now,
        view,
        limiter: Mutex::new(limiter),
        last_record: Mutex::default(),
        joined: watch::Sender::new(false),
    });
    context.provide(limits.clone());
    let board = context.component::<StatusBoard>()?;
    let status_source = limits.clone();
    board.add_section("limits", move || status_source.status());
    let readiness_source = limits.clone();
    board.add_condition(move || {
        let joined = *readiness_source.joined.borrow();
        (!joined).then(|| "waits for its share of the limits".into())
    });
    let catalogue = context.component::<CatalogueState>()?;
    context
        .lifecycle
        .spawn(follow_catalogue(limits.clone(), catalogue));
    demand::start(context, limits)
}

/// Applies the limits of each new catalogue.
async fn follow_catalogue(limits: Arc<Limits>, catalogue: Arc<CatalogueState>) {
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
