//! Plug-in that chooses replicas for requests and follows what becomes of the tries.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::membership::Membership;
use apricothall_decide::outlier::{self, OutlierDetector, Permit};
use apricothall_decide::retry::{Budget, Failure, Verdict};
use apricothall_decide::routing::{Choice, Distance, Prefix, Query, Replica, Router, subset};
use apricothall_fleet::{StatusBoard, View};
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

/// Least time between two clean-ups of the state after changes of the view.
const CLEAN_PAUSE: Duration = Duration::from_secs(1);

/// What a replica is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Catalogue entry. While a version spreads, its predecessors in the entry go on serving.
    pub model: &'a CatalogueEntry,
    /// Prefix of the prompt, if any.
    pub prefix: Option<Prefix>,
    /// Members that were tried before.
    pub tried: &'a BTreeSet<MemberId>,
}

/// Replicas of one model.
struct Replicas {
    versions: Vec<ModelVersion>,
    all: Arc<Vec<Replica>>,
}

/// Replicas of each model at one generation of the view.
#[derive(Default)]
struct Known {
    generation: u64,
    models: HashMap<EntryName, Replicas>,
}

struct State {
    router: Router,
    outlier: OutlierDetector,
    budget: Budget,
    known: Known,
}

/// Choice of replicas by one entry.
pub struct Routing {
    clock: Clock,
    place: (Region, Zone),
    subset: usize,
    view: Arc<View>,
    state: Mutex<State>,
}

/// One try at a replica; counts as in flight until dropped.
pub struct Flight {
    routing: Arc<Routing>,
    /// The replica's agent.
    pub member: Member,
    /// Version that the replica serves, to which the try is pinned.
    pub version: Version,
    started: Timestamp,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.routing.lock().router.note_end(&self.member.id);
    }
}

impl Flight {
    /// Notes that the first piece of the answer has arrived.
    pub fn answered(&self) {
        let now = self.routing.clock.now();
        let latency = now.since(self.started);
        metrics::histogram!("apricothall_first_piece_seconds").record(latency.as_secs_f64());
        self.record(outlier::Attempt::Answered(latency), now);
    }

    /// Notes how the try failed, when that speaks against the replica.
    pub fn failed(&self, error: &ForwardError) {
        if error.is_fault() {
            self.record(outlier::Attempt::Failed, self.routing.clock.now());
        }
    }

    /// Notes the load that the replica reported.
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
    /// Chooses a replica and counts a try there as in flight. None when no replica is left.
    pub fn choose(self: &Arc<Self>, wanted: Wanted<'_>) -> Option<(Flight, Choice)> {
        let now = self.clock.now();
        let mut state = self.lock();
        let (choice, member) = self.pick(&mut state, wanted, now)?;
        let version = served(wanted.model, &member)?.clone();
        state.router.note_start(&choice.member);
        state.outlier.note_start(&choice.member, now);
        drop(state);
        let flight = Flight {
            routing: self.clone(),
            member,
            version,
            started: now,
        };
        Some((flight, choice))
    }

    /// The choice that would be made now, without making it.
    #[must_use]
    pub fn explain(&self, wanted: Wanted<'_>) -> Option<Choice> {
        let state = self.lock();
        let mut trial = State {
            router: state.router.clone(),
            outlier: state.outlier.clone(),
            budget: state.budget.clone(),
            known: Known::default(),
        };
        drop(state);
        let picked = self.pick(&mut trial, wanted, self.clock.now());
        picked.map(|(choice, _)| choice)
    }

    /// Notes a new request, which earns a part of a retry.
    pub fn note_request(&self) {
        self.lock().budget.note_request(self.clock.now());
    }

    /// Whether a failed try is repeated.
    #[must_use]
    pub fn retry(&self, failure: Failure, deadline: Timestamp) -> Verdict {
        let now = self.clock.now();
        let rng = &mut rand::rng();
        self.lock().budget.decide(failure, deadline, now, rng)
    }

    /// Section of the status.
    #[must_use]
    pub fn status(&self) -> Value {
        let now = self.clock.now();
        let agents = self.agents();
        let state = self.lock();
        let ejected: BTreeSet<_> = state.outlier.ejected().cloned().collect();
        let shown = agents.iter().map(|id| {
            json!({
                "agent": id,
                "in_flight": state.router.in_flight(id),
                "load": state.router.load(id, now),
                "ejected": ejected.contains(id),
            })
        });
        json!(shown.collect::<Vec<_>>())
    }

    fn pick(
        &self,
        state: &mut State,
        wanted: Wanted<'_>,
        now: Timestamp,
    ) -> Option<(Choice, Member)> {
        let replicas = self.replicas(&mut state.known, wanted);
        let suspects = self.suspects(&replicas);
        let ejected = replicas.iter().map(|r| &r.id);
        let ejected = ejected.filter(|id| state.outlier.permit(id, now) == Permit::Ejected);
        let doubtful: BTreeSet<_> = suspects.into_iter().chain(ejected.cloned()).collect();
        let careful = doubtful.union(wanted.tried).cloned().collect();
        // A doubtful replica is better than none.
        for excluded in [&careful, wanted.tried] {
            let query = Query {
                replicas: &replicas,
                excluded,
                prefix: wanted.prefix,
            };
            let chosen = state.router.choose(query, now, &mut rand::rng());
            if let Some(choice) = chosen {
                let member = self.view.member(&choice.member)?;
                return Some((choice, member));
            }
        }
        None
    }

    fn replicas(&self, known: &mut Known, wanted: Wanted<'_>) -> Arc<Vec<Replica>> {
        let model = wanted.model;
        self.view.with(|membership| {
            let generation = membership.generation();
            if known.generation != generation {
                known.models.clear();
                known.generation = generation;
            }
            let cached = known.models.get(&model.name);
            if let Some(cached) = cached.filter(|c| c.versions == model.versions) {
                return cached.all.clone();
            }
            let all = Arc::new(self.find(membership, model));
            let versions = model.versions.clone();
            let cached = Replicas {
                versions,
                all: all.clone(),
            };
            known.models.insert(model.name.clone(), cached);
            all
        })
    }

    fn find(&self, membership: &Membership, model: &CatalogueEntry) -> Vec<Replica> {
        let (region, zone) = &self.place;
        let agents = membership.alive().filter(|m| m.role == Role::Agent);
        let serving = agents.filter(|m| served(model, m).is_some());
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
            let seen = replicas.iter().filter_map(|r| membership.member(&r.id));
            let suspects = seen.filter(|s| s.suspect);
            suspects.map(|s| s.member.id.clone()).collect()
        })
    }

    fn agents(&self) -> BTreeSet<MemberId> {
        self.view.with(|membership| {
            let agents = membership.alive().filter(|m| m.role == Role::Agent);
            agents.map(|m| m.id.clone()).collect()
        })
    }

    fn clean(&self) {
        let agents = self.agents();
        let mut state = self.lock();
        state.router.retain(&agents);
        state.outlier.retain(agents);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The version of the model that a member serves, if any.
fn served<'a>(model: &'a CatalogueEntry, member: &Member) -> Option<&'a Version> {
    let mut versions = model.versions.iter().map(|v| &v.version);
    versions.find(|version| member.serves(&model.name, version))
}

fn start(context: &Context) -> Result<(), StartError> {
    let settings = &context.settings;
    let view = context.component::<View>()?;
    let state = State {
        router: Router::new(settings.routing.clone()),
        outlier: OutlierDetector::new(settings.outlier.clone()),
        budget: Budget::new(settings.retry.clone(), context.clock.now()),
        known: Known::default(),
    };
    let daemon = &settings.daemon;
    let routing = Arc::new(Routing {
        clock: context.clock,
        place: (daemon.region.clone(), daemon.zone.clone()),
        subset: settings.routing.subset,
        view: view.clone(),
        state: Mutex::new(state),
    });
    context.provide(routing.clone());
    let shown = routing.clone();
    let board = context.component::<StatusBoard>()?;
    board.section("routing", move || shown.status());
    let mut changes = view.changes();
    context.lifecycle.spawn(async move {
        while changes.changed().await.is_ok() {
            changes.borrow_and_update();
            routing.clean();
            tokio::time::sleep(CLEAN_PAUSE).await;
        }
    });
    Ok(())
}
