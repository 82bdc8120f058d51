//! Plug-in that fetches the version requested by the loader and evicts other versions to bound
//! memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use apricothall_clients::{HttpClient, WeightsClient};
use apricothall_decide::configs::TransferConfig;
use apricothall_decide::transfer::evict;
use apricothall_fleet::CatalogueState;
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Catalogue, Digest, Holding, HoldingState, Region, Role};
use linkme::distributed_slice;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::chunks::ChunkStore;
use crate::fetch::Fetcher;
use crate::servers::{Servers, announce};
use crate::swarm::{VersionFetch, WantedVersion};

#[distributed_slice(PLUGINS)]
static TRANSFERS: Plugin = Plugin {
    name: "transfers",
    stage: Stage::Serving,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Interval between two updates of fetches and held versions.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The version to fetch and the versions being loaded, as set by the loader.
#[derive(Default)]
pub struct WantedVersions {
    wanted: Mutex<Option<WantedVersion>>,
    loading: Mutex<BTreeSet<Digest>>,
}

/// Keeps a version in memory until dropped.
pub struct PinGuard {
    wanted_versions: Arc<WantedVersions>,
    digest: Digest,
}

impl Drop for PinGuard {
    fn drop(&mut self) {
        lock(&self.wanted_versions.loading).remove(&self.digest);
    }
}

impl WantedVersions {
    /// Sets the version to fetch and keep in memory; `None` once it is in service.
    pub fn set(&self, want: Option<WantedVersion>) {
        *lock(&self.wanted) = want;
    }

    /// Keeps a version in memory while an engine loads it.
    #[must_use]
    pub fn pin(self: &Arc<Self>, digest: Digest) -> PinGuard {
        lock(&self.loading).insert(digest);
        PinGuard {
            wanted_versions: self.clone(),
            digest,
        }
    }

    fn wanted(&self) -> Option<WantedVersion> {
        lock(&self.wanted).clone()
    }

    fn pinned(&self) -> BTreeSet<Digest> {
        let mut pinned = lock(&self.loading).clone();
        pinned.extend(self.wanted().map(|w| w.digest));
        pinned
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Transfers {
    fetcher: Fetcher,
    config: TransferConfig,
    store_region: Region,
    wanted_versions: Arc<WantedVersions>,
    servers: Arc<Servers>,
    catalogue: Arc<CatalogueState>,
    running: Option<RunningFetch>,
}

/// The fetch in progress.
struct RunningFetch {
    want: watch::Sender<Arc<WantedVersion>>,
    task: AbortHandle,
}

impl RunningFetch {
    fn is_for(&self, want: &WantedVersion) -> bool {
        let current = self.want.borrow();
        current.digest == want.digest && current.weighting == want.weighting
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let Some(weights) = &context.settings.weights else {
        return Ok(());
    };
    let http = context.component::<HttpClient>()?;
    let platform = &context.settings.platform;
    let fetcher = Fetcher {
        chunks: context.component::<ChunkStore>()?,
        connector: context.component()?,
        view: context.component()?,
        store: WeightsClient::new((*http).clone(), platform.store),
        origin: WeightsClient::new((*http).clone(), platform.origin),
        clock: context.clock,
    };
    let mut config = context.settings.transfer.clone();
    config.memory = config.memory.min(weights.memory);
    let transfers = Transfers {
        fetcher,
        config,
        store_region: platform.region.clone(),
        wanted_versions: context.component()?,
        servers: context.component()?,
        catalogue: context.component()?,
        running: None,
    };
    context.lifecycle.spawn(transfers.run());
    Ok(())
}

impl Transfers {
    async fn run(mut self) {
        loop {
            self.update_fetch();
            self.announce_held();
            self.evict();
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Starts the requested fetch and stops a fetch that is no longer requested.
    fn update_fetch(&mut self) {
        let wanted = self.wanted_versions.wanted();
        let chunks = &self.fetcher.chunks;
        let wanted = wanted.filter(|w| !chunks.is_complete(w.digest));
        let Some(want) = wanted else {
            self.stop();
            return;
        };
        if let Some(running) = self.running.as_ref().filter(|r| r.is_for(&want)) {
            let want = Arc::new(want);
            running.want.send_if_modified(|old| {
                let is_new = *old != want;
                *old = want;
                is_new
            });
            return;
        }
        self.stop();
        let (sender, receiver) = watch::channel(Arc::new(want));
        let fetch = VersionFetch::new(
            self.fetcher.clone(),
            self.config.clone(),
            self.store_region.clone(),
            receiver,
        );
        let task = tokio::spawn(fetch.run()).abort_handle();
        self.running = Some(RunningFetch { want: sender, task });
    }

    fn stop(&mut self) {
        if let Some(running) = self.running.take() {
            running.task.abort();
        }
    }

    /// Announces to other members which versions are held.
    fn announce_held(&self) {
        let catalogue = self.catalogue.current();
        let holdings = holdings_by_digest(&catalogue.value);
        let chunks = &self.fetcher.chunks;
        let held = holdings.into_iter().filter_map(|(digest, holding)| {
            let state = if chunks.is_complete(digest) {
                HoldingState::Complete
            } else if chunks.has_any_chunk(digest) {
                HoldingState::Partial
            } else {
                return None;
            };
            Some(Holding { state, ..holding })
        });
        if self.servers.set_held_versions(held.collect()) {
            announce(&self.servers, &self.fetcher.view);
        }
    }

    fn evict(&self) {
        let now = self.fetcher.clock.now();
        let cached = self
            .fetcher
            .chunks
            .cached_versions(&self.wanted_versions.pinned());
        for digest in evict(&self.config, &cached, now) {
            tracing::info!(%digest, "version evicted from memory");
            self.fetcher.chunks.remove(digest);
        }
    }
}

/// Returns the versions of the catalogue by the digest of their manifest.
fn holdings_by_digest(catalogue: &Catalogue) -> BTreeMap<Digest, Holding> {
    let entries = catalogue.entries.iter();
    let versions = entries.flat_map(|e| e.versions.iter().map(move |v| (e, v)));
    let named = versions.map(|(entry, version)| {
        let holding = Holding {
            name: entry.name.clone(),
            version: version.version.clone(),
            state: HoldingState::Partial,
        };
        (version.manifest, holding)
    });
    named.collect()
}
