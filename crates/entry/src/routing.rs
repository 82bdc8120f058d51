//! Plug-in that selects replicas for requests and records the results of the attempts.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::membership::Membership;
use apricothall_decide::outlier::{self, OutlierDetector, Permit};
use apricothall_decide::retry::{Budget, Failure, Verdict};
use apricothall_decide::routing::{
    Choice, Distance, EngineStart, Prefix, PromptAttempt, PromptPrefixes, PromptQuery, Query,
    Replica, Router, subset,
};
use apricothall_fleet::{MembershipView, StatusBoard};
use apricothall_kernel::{Clock, Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{
    CatalogueEntry, EntryName, Load, Member, MemberId, ModelVersion, Region, Role, Timestamp,
    Version, Zone,
};
use linkme::distributed_slice;
use serde_json::{Value, json};

use crate::forward::ForwardError;

#[distributed_slice(PLUGINS)]
static ROUTING: Plugin = Plugin {
    name: "routing",
    stage: Stage::Serving,
    roles: &[Role::Entry],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Minimum time between two removals of departed agents from the state.
const CLEANUP_PERIOD: Duration = Duration::from_secs(1);

/// The request for which a replica is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaQuery<'a> {
    /// Catalogue entry. During a rollout, the older versions in the entry continue to serve.
    pub model: &'a CatalogueEntry,
    /// Prefix of the prompt, if any.
    pub prefix: Option<Prefix>,
    /// Leading parts of the prompt, if the model's engines retain prompts.
    pub prompt: Option<&'a PromptPrefixes>,
    /// Members that must not be chosen.
    pub excluded: &'a BTreeSet<MemberId>,
}

impl<'a> ReplicaQuery<'a> {
    fn prompt(&self) -> Option<PromptQuery<'a>> {
        Some(PromptQuery {
            model: &self.model.name,
            cache: self.model.prompt_cache?,
            prompt: self.prompt?,
        })
    }
}

/// Cached replicas of one model.
struct CachedReplicas {
    versions: Vec<ModelVersion>,
    all: Arc<Vec<Replica>>,
}

/// Cache of the replicas of each model, valid for one generation of the membership view.
#[derive(Default)]
struct ReplicaCache {
    generation: u64,
    models: HashMap<EntryName, CachedReplicas>,
}

struct State {
    router: Router,
    outlier: OutlierDetector,
    budget: Budget,
    cache: ReplicaCache,
}

/// Replica selection of this entry.
pub struct Routing {
    clock: Clock,
    location: (Region, Zone),
    subset: usize,
    view: Arc<MembershipView>,
    state: Mutex<State>,
}

/// An attempt at a replica; counts as in flight until dropped.
pub struct InFlightAttempt {
    routing: Arc<Routing>,
    /// Agent of the replica.
    pub member: Member,
    /// Version that the replica serves; the attempt is pinned to it.
    pub version: Version,
    started: Timestamp,
    /// Present if the model's engines retain prompts.
    prompt: Option<PromptAttempt>,
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.routing.lock().router.note_end(&self.member.id);
    }
}

impl InFlightAttempt {
    /// Records that the first piece of the answer has arrived.
    pub fn answered(&mut self) {
        let now = self.routing.clock.now();
        let latency = now.since(self.started);
        metrics::histogram!("apricothall_first_piece_seconds").record(latency.as_secs_f64());
        self.record(outlier::Attempt::Answered(latency), now);
        if let Some(prompt) = &mut self.prompt {
            self.routing.lock().router.note_prefilled(prompt, now);
        }
    }

    /// Records that the answer is complete.
    pub fn completed(&self) {
        if let Some(prompt) = &self.prompt {
            let now = self.routing.clock.now();
            self.routing.lock().router.note_prompt_end(prompt, now);
        }
    }

    /// Records a failed attempt if it counts against the replica.
    pub fn failed(&self, error: &ForwardError) {
        if error.counts_against_agent() {
            self.record(outlier::Attempt::Failed, self.routing.clock.now());
        }
    }

    /// Records the load that the replica reported.
    pub fn note_load(&self, load: Load) {
        let now = self.routing.clock.now();
        let mut state = self.routing.lock();
        state.router.note_load(&self.member.id, load, now);
    }

    fn record(&self, attempt: outlier::Attempt, now: Timestamp) {
        let ejected = self
            .routing
            .lock()
            .outlier
            .record(&self.member.id, attempt, now);
        if ejected {
            tracing::warn!(agent = %self.member.id, "ejected");
            metrics::counter!("apricothall_ejections_total").increment(1);
        }
    }
}

impl Routing {
    /// Chooses a replica and counts an attempt there as in flight. Returns `None` if no replica is
    /// left.
    pub fn choose(self: &Arc<Self>, query: ReplicaQuery<'_>) -> Option<(InFlightAttempt, Choice)> {
        let now = self.clock.now();
        let mut state = self.lock();
        let (choice, member) = self.choose_replica(&mut state, query, now)?;
        let version = served_version(query.model, &member)?.clone();
        let start = EngineStart {
            incarnation: member.incarnation,
            version: version.clone(),
        };
        let prompt = query.prompt();
        let prompt = prompt.map(|prompt| {
            state
                .router
                .note_prompt(&prompt, &choice.member, start, now)
        });
        state.router.note_start(&choice.member);
        state.outlier.note_start(&choice.member, now);
        drop(state);
        record_choice(&choice);
        let flight = InFlightAttempt {
            routing: self.clone(),
            member,
            version,
            started: now,
            prompt,
        };
        Some((flight, choice))
    }

    /// Returns the choice that [`Self::choose`] would make now, without changing any state.
    #[must_use]
    pub fn explain(&self, query: ReplicaQuery<'_>) -> Option<Choice> {
        let state = self.lock();
        let mut trial = State {
            router: state.router.clone(),
            outlier: state.outlier.clone(),
            budget: state.budget.clone(),
            cache: ReplicaCache::default(),
        };
        drop(state);
        let picked = self.choose_replica(&mut trial, query, self.clock.now());
        picked.map(|(choice, _)| choice)
    }

    /// Records a new request, which adds a fraction of a retry to the budget.
    pub fn note_request(&self) {
        self.lock().budget.note_request(self.clock.now());
    }

    /// Decides whether a failed attempt is retried.
    #[must_use]
    pub fn retry(&self, failure: Failure, deadline: Timestamp) -> Verdict {
        let now = self.clock.now();
        let rng = &mut rand::rng();
        self.lock().budget.decide(failure, deadline, now, rng)
    }

    /// Returns the section of the status page.
    #[must_use]
    pub fn status(&self) -> Value {
        let now = self.clock.now();
        let agents = self.live_agents();
        let state = self.lock();
        let ejected: BTreeSet<_> = state.outlier.ejected().cloned().collect();
        let sections = agents.iter().map(|id| {
            json!({
                "agent": id,
                "in_flight": state.router.in_flight(id),
                "load": state.router.load(id, now),
                "ejected": ejected.contains(id),
            })
        });
        json!(sections.collect::<Vec<_>>())
    }

    /// Describes what the engines of `model` retain of prompts and the measured times with which it
    /// is weighed. `None` if they retain nothing.
    #[must_use]
    pub fn explain_prompts(&self, model: &CatalogueEntry) -> Option<Value> {
        let cache = model.prompt_cache?;
        let state = self.lock();
        Some(json!({
            "retention": cache.retention,
            "tokens": cache.tokens,
            "measured": state.router.timing(&model.name),
            "prefixes_of_all_models": state.router.held_prefixes(),
        }))
    }

    fn choose_replica(
        &self,
        state: &mut State,
        query: ReplicaQuery<'_>,
        now: Timestamp,
    ) -> Option<(Choice, Member)> {
        let replicas = self.replicas(state, query);
        let suspects = self.suspects(&replicas);
        let ejected = replicas.iter().map(|r| &r.id);
        let ejected = ejected.filter(|id| state.outlier.permit(id, now) == Permit::Ejected);
        let degraded: BTreeSet<_> = suspects.into_iter().chain(ejected.cloned()).collect();
        let degraded_or_excluded = degraded.union(query.excluded).cloned().collect();
        // A suspected or ejected replica is better than none.
        for excluded in [&degraded_or_excluded, query.excluded] {
            let candidates = Query {
                replicas: &replicas,
                excluded,
                prefix: query.prefix,
                prompt: query.prompt(),
            };
            let chosen = state.router.choose(candidates, now, &mut rand::rng());
            if let Some(choice) = chosen {
                let member = self.view.member(&choice.member)?;
                return Some((choice, member));
            }
        }
        None
    }

    fn replicas(&self, state: &mut State, query: ReplicaQuery<'_>) -> Arc<Vec<Replica>> {
        let model = query.model;
        let State { router, cache, .. } = state;
        self.view.with(|membership| {
            let generation = membership.generation();
            if cache.generation != generation {
                cache.models.clear();
                cache.generation = generation;
                forget_stopped_engines(router, membership);
            }
            let cached = cache.models.get(&model.name);
            if let Some(cached) = cached.filter(|c| c.versions == model.versions) {
                return cached.all.clone();
            }
            let all = Arc::new(self.find_replicas(membership, model));
            let versions = model.versions.clone();
            let cached = CachedReplicas {
                versions,
                all: all.clone(),
            };
            cache.models.insert(model.name.clone(), cached);
            all
        })
    }

    fn find_replicas(&self, membership: &Membership, model: &CatalogueEntry) -> Vec<Replica> {
        let (region, zone) = &self.location;
        let agents = membership.alive().filter(|m| m.role == Role::Agent);
        let serving = agents.filter(|m| served_version(model, m).is_some());
        let replicas = serving.map(|member| Replica {
            id: member.id.clone(),
            distance: Distance::of(member, region, zone),
        });
        subset(
            &membership.own().id,
            &replicas.collect::<Vec<_>>(),
            self.subset,
        )
    }

    fn suspects(&self, replicas: &[Replica]) -> Vec<MemberId> {
        self.view.with(|membership| {
            let members = replicas.iter().filter_map(|r| membership.member(&r.id));
            let suspects = members.filter(|s| s.suspect);
            suspects.map(|s| s.member.id.clone()).collect()
        })
    }

    fn live_agents(&self) -> BTreeSet<MemberId> {
        self.view.with(|membership| {
            let agents = membership.alive().filter(|m| m.role == Role::Agent);
            agents.map(|m| m.id.clone()).collect()
        })
    }

    fn remove_departed(&self) {
        let agents = self.live_agents();
        let mut state = self.lock();
        state.router.retain(&agents);
        state.router.set_entries(self.entries());
        state.outlier.retain(agents);
    }

    fn forget_stopped_engines(&self) {
        let mut state = self.lock();
        let router = &mut state.router;
        self.view
            .with(|membership| forget_stopped_engines(router, membership));
    }

    /// Number of entries, including this one.
    fn entries(&self) -> usize {
        self.view.with(|membership| {
            let entries = membership.alive().filter(|m| m.role == Role::Entry);
            entries.count() + 1
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drops what is known of the prompts of engines that have stopped or restarted.
fn forget_stopped_engines(router: &mut Router, membership: &Membership) {
    router.retain_engines(|model, id, start| {
        membership.member(id).is_some_and(|view| {
            let member = view.member;
            member.incarnation == start.incarnation && member.serves(model, &start.version)
        })
    });
}

fn record_choice(choice: &Choice) {
    let cause = choice.cause.label();
    metrics::counter!("apricothall_choices_total", "cause" => cause).increment(1);
    let saved = choice.saved();
    if !saved.is_zero() {
        metrics::histogram!("apricothall_prefill_saved_seconds", "cause" => cause)
            .record(saved.as_secs_f64());
    }
}

/// Returns the version of the model that a member serves, if any.
fn served_version<'a>(model: &'a CatalogueEntry, member: &Member) -> Option<&'a Version> {
    let mut versions = model.versions.iter().map(|v| &v.version);
    versions.find(|version| member.serves(&model.name, version))
}

fn start(context: &Context) -> Result<(), StartError> {
    let settings = &context.settings;
    let view = context.component::<MembershipView>()?;
    let state = State {
        router: Router::new(settings.routing.clone()),
        outlier: OutlierDetector::new(settings.outlier.clone()),
        budget: Budget::new(settings.retry.clone(), context.clock.now()),
        cache: ReplicaCache::default(),
    };
    let daemon = &settings.daemon;
    let routing = Arc::new(Routing {
        clock: context.clock,
        location: (daemon.region.clone(), daemon.zone.clone()),
        subset: settings.routing.subset,
        view: view.clone(),
        state: Mutex::new(state),
    });
    context.provide(routing.clone());
    let status_source = routing.clone();
    let board = context.component::<StatusBoard>()?;
    board.add_section("routing", move || status_source.status());
    let mut changes = view.changes();
    let restarts = routing.clone();
    // Each change is looked at, as an engine that restarts may serve again before the next cleanup.
    context.lifecycle.spawn(async move {
        while changes.changed().await.is_ok() {
            changes.borrow_and_update();
            restarts.forget_stopped_engines();
        }
    });
    let mut changes = view.changes();
    context.lifecycle.spawn(async move {
        while changes.changed().await.is_ok() {
            changes.borrow_and_update();
            routing.remove_departed();
            tokio::time::sleep(CLEANUP_PERIOD).await;
        }
    });
    Ok(())
}
