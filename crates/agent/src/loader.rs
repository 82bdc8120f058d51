//! Plug-in that loads the current version into the engines, one window of replicas at a time.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::configs::RolloutConfig;
use apricothall_decide::rollout::{Decision, LocalState, Report, Target, decide};
use apricothall_fleet::{CatalogueState, MembershipView};
use apricothall_kernel::{Clock, Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{
    EntryName, HoldingState, Member, MemberState, Revision, Role, Timestamp, Version,
};
use linkme::distributed_slice;
use smol_str::{SmolStr, format_smolstr};
use tokio::task::JoinHandle;

use crate::chunks::ChunkStore;
use crate::placement::{Assignment, assignment};
use crate::reload::{Reload, ReloadError};
use crate::servers::{Engine, Servers, announce};
use crate::swarm::WantedVersion;
use crate::transfers::WantedVersions;

#[distributed_slice(PLUGINS)]
static LOADER: Plugin = Plugin {
    name: "loader",
    stage: Stage::Serving,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Interval between two rollout decisions.
const DECISION_PERIOD: Duration = Duration::from_millis(50);

/// Pause after a failed reload.
const RELOAD_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The assigned version and the catalogue revision since which it is assigned.
struct TargetChange {
    name: EntryName,
    version: Version,
    since: Revision,
}

struct Loading {
    version: Version,
    task: JoinHandle<Result<(), ReloadError>>,
}

struct Loader {
    servers: Arc<Servers>,
    view: Arc<MembershipView>,
    catalogue: Arc<CatalogueState>,
    chunks: Arc<ChunkStore>,
    wanted_versions: Arc<WantedVersions>,
    config: RolloutConfig,
    clock: Clock,
    source: SmolStr,
    target_change: Option<TargetChange>,
    loading: Option<Loading>,
    retry_at: Timestamp,
}

fn start(context: &Context) -> Result<(), StartError> {
    let Some(weights) = &context.settings.weights else {
        return Ok(());
    };
    let loader = Loader {
        servers: context.component()?,
        view: context.component()?,
        catalogue: context.component()?,
        chunks: context.component()?,
        wanted_versions: context.component()?,
        config: context.settings.rollout.clone(),
        clock: context.clock,
        source: format_smolstr!("http://{}/weights", weights.listen),
        target_change: None,
        loading: None,
        retry_at: Timestamp::default(),
    };
    context
        .lifecycle
        .spawn(loader.run(context.lifecycle.clone()));
    Ok(())
}

impl Loader {
    async fn run(mut self, lifecycle: apricothall_kernel::Lifecycle) {
        // A leaving agent orders no loads; its engines continue with what they serve.
        while !lifecycle.is_leaving() {
            self.update().await;
            tokio::time::sleep(DECISION_PERIOD).await;
        }
    }

    async fn update(&mut self) {
        self.finish_reload().await;
        let catalogue = self.catalogue.current();
        if catalogue.revision == Revision(0) {
            return;
        }
        let assigned = assignment(&catalogue.value, &self.view);
        for engine in &self.servers.engines {
            engine.adopt(&catalogue.value);
        }
        self.record_target(assigned.as_ref(), catalogue.revision);
        self.update_wanted(assigned.as_ref());
        let now = self.clock.now();
        match self.decide(assigned.as_ref(), now) {
            Decision::Reload(_) if now >= self.retry_at => {
                if let Some(assigned) = assigned {
                    self.start_reload(&assigned);
                }
            }
            Decision::Drop => self.withdraw_from_service(),
            Decision::Keep => self.return_to_service(),
            Decision::Reload(_) | Decision::Fetch(_) | Decision::Wait(_) => {}
        }
    }

    /// Handles the result of a reload that has ended.
    async fn finish_reload(&mut self) {
        let Some(loading) = self.loading.take_if(|l| l.task.is_finished()) else {
            return;
        };
        match loading.task.await {
            Ok(Ok(())) => tracing::info!(version = %loading.version, "in service"),
            Ok(Err(error)) => {
                tracing::warn!(version = %loading.version, %error, "reload failed");
                metrics::counter!("apricothall_reload_failed_total").increment(1);
                self.retry_at = self.clock.now() + RELOAD_RETRY_PAUSE;
            }
            Err(error) => tracing::error!(%error, "reload task failed"),
        }
    }

    /// Records the catalogue revision since which the version is assigned.
    ///
    /// The member record is then published again, as other agents count only reports made since
    /// this change.
    fn record_target(&mut self, assigned: Option<&Assignment>, revision: Revision) {
        let Some(assigned) = assigned else {
            self.target_change = None;
            return;
        };
        let Assignment { target, .. } = assigned;
        let is_same = |c: &TargetChange| c.name == target.name && c.version == target.version;
        if self.target_change.as_ref().is_some_and(is_same) {
            return;
        }
        self.target_change = Some(TargetChange {
            name: target.name.clone(),
            version: target.version.clone(),
            since: revision,
        });
        self.view.update_own(|own| own.revision = revision);
        self.view.bump_own_sequence();
    }

    /// Requests that the version is fetched and kept in memory until all engines serve it.
    fn update_wanted(&self, assigned: Option<&Assignment>) {
        let missing = assigned.filter(|a| {
            let mut engines = self.servers.engines.iter();
            !engines.all(|e| e.serving().as_ref() == Some(&a.target))
        });
        self.wanted_versions.set(missing.map(|a| WantedVersion {
            name: a.target.name.clone(),
            version: a.target.version.clone(),
            digest: a.target.manifest,
            weighting: a.entry.weighting,
            replicas: a.replicas.clone(),
        }));
    }

    fn decide(&self, assigned: Option<&Assignment>, now: Timestamp) -> Decision {
        let me = self.view.own_id();
        let (Some(assigned), Some(target_change)) = (assigned, &self.target_change) else {
            let own = self.local_state(None);
            return decide(&self.config, me, &own, None, &[], now);
        };
        let wanted = Target {
            version: target_change.version.clone(),
            since: target_change.since,
            ranks: assigned.ranks.clone(),
            window: assigned.entry.window,
        };
        let own = self.local_state(Some(assigned));
        let reports = self.reports(&target_change.name, &target_change.version, now);
        decide(&self.config, me, &own, Some(&wanted), &reports, now)
    }

    fn local_state(&self, assigned: Option<&Assignment>) -> LocalState {
        let loading = self.loading.as_ref().map(|l| l.version.clone());
        let Some(assigned) = assigned else {
            return LocalState {
                loading,
                ..LocalState::default()
            };
        };
        let target = &assigned.target;
        let is_held = self.chunks.is_complete(target.manifest);
        let held = is_held.then(|| target.version.clone());
        let serving: Vec<_> = self.servers.engines.iter().map(|e| e.serving()).collect();
        let is_new = |s: &Option<_>| s.as_ref() == Some(target);
        let of_entry = serving.iter().flatten().filter(|s| s.name == target.name);
        let mut others = of_entry.filter(|s| *s != target);
        let version = if serving.iter().all(is_new) {
            Some(target.version.clone())
        } else {
            others.next().map(|s| s.version.clone())
        };
        LocalState {
            serving: version,
            loading,
            complete: held.into_iter().collect(),
        }
    }

    fn reports(&self, name: &EntryName, version: &Version, now: Timestamp) -> Vec<Report> {
        let own = self.view.own();
        let members = self.view.members().into_iter();
        let same_zone = members.filter(|m| m.zone == own.zone && m.role == Role::Agent);
        same_zone
            .map(|m| report_of(&m, name, version, now))
            .collect()
    }

    fn start_reload(&mut self, assigned: &Assignment) {
        let target = &assigned.target;
        let mut engines = self.servers.engines.iter();
        let outdated = engines.find(|e| e.serving().as_ref() != Some(target));
        let Some(engine) = outdated.filter(|e| e.state().is_some()) else {
            return;
        };
        let reload = Reload {
            engine: engine.clone(),
            servers: self.servers.clone(),
            view: self.view.clone(),
            catalogue: self.catalogue.clone(),
            chunks: self.chunks.clone(),
            pin: self.wanted_versions.pin(target.manifest),
            drain: self.config.drain.0,
            source: format_smolstr!("{}/{}", self.source, target.manifest),
            target: target.clone(),
        };
        self.loading = Some(Loading {
            version: target.version.clone(),
            task: tokio::spawn(reload.run()),
        });
    }

    fn withdraw_from_service(&self) {
        self.set_withdrawn(true);
    }

    fn return_to_service(&self) {
        self.set_withdrawn(false);
    }

    fn set_withdrawn(&self, withdrawn: bool) {
        let changed = |e: &&Arc<Engine>| e.set_withdrawn(withdrawn);
        if self.servers.engines.iter().filter(changed).count() > 0 {
            announce(&self.servers, &self.view);
        }
    }
}

/// Returns what a member's record reports about the entry. An agent whose engines serve two
/// versions counts as serving the old one.
fn report_of(member: &Member, name: &EntryName, version: &Version, now: Timestamp) -> Report {
    let is_alive = member.state == MemberState::Alive;
    let holdings = member.holdings.iter();
    let serving = holdings.filter(|h| h.state == HoldingState::Serving && h.name == *name);
    let mut versions: Vec<_> = serving.map(|h| h.version.clone()).collect();
    versions.sort_by_key(|v| v == version);
    Report {
        id: member.id.clone(),
        serving: versions.into_iter().next().filter(|_| is_alive),
        revision: member.revision,
        at: now,
    }
}
