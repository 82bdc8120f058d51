//! Plug-in that fetches the versions that the loader wants and bounds the memory of others.

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
use crate::swarm::{Swarm, Want};

#[distributed_slice(PLUGINS)]
static TRANSFERS: Plugin = Plugin {
    name: "transfers",
    stage: Stage::Serving,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Time between two looks at what is held.
const PERIOD: Duration = Duration::from_millis(50);

/// Versions that are to be held, for the loader to set.
#[derive(Default)]
pub struct Wants {
    wanted: Mutex<Option<Want>>,
    loading: Mutex<BTreeSet<Digest>>,
}

/// Keeps a version in memory until dropped.
pub struct PinGuard {
    wants: Arc<Wants>,
    digest: Digest,
}

impl Drop for PinGuard {
    fn drop(&mut self) {
        lock(&self.wants.loading).remove(&self.digest);
    }
}

impl Wants {
    /// Sets the version to fetch and keep; `None` once it is in service.
    pub fn set(&self, want: Option<Want>) {
        *lock(&self.wanted) = want;
    }

    /// Keeps a version while an engine loads it.
    #[must_use]
    pub fn pin(self: &Arc<Self>, digest: Digest) -> PinGuard {
        lock(&self.loading).insert(digest);
        PinGuard {
            wants: self.clone(),
            digest,
        }
    }

    fn wanted(&self) -> Option<Want> {
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
    home: Region,
    wants: Arc<Wants>,
    servers: Arc<Servers>,
    catalogue: Arc<CatalogueState>,
    running: Option<Running>,
}

/// The fetch under way.
struct Running {
    want: watch::Sender<Arc<Want>>,
    task: AbortHandle,
}

impl Running {
    fn is_for(&self, want: &Want) -> bool {
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
        home: platform.region.clone(),
        wants: context.component()?,
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
            self.follow();
            self.tell();
            self.evict();
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Starts the fetch that is wanted and drops the one that no longer is.
    fn follow(&mut self) {
        let wanted = self.wants.wanted();
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
        let swarm = Swarm::new(
            self.fetcher.clone(),
            self.config.clone(),
            self.home.clone(),
            receiver,
        );
        let task = tokio::spawn(swarm.run()).abort_handle();
        self.running = Some(Running { want: sender, task });
    }

    fn stop(&mut self) {
        if let Some(running) = self.running.take() {
            running.task.abort();
        }
    }

    /// Tells other members which versions are held.
    fn tell(&self) {
        let catalogue = self.catalogue.current();
        let names = names(&catalogue.value);
        let chunks = &self.fetcher.chunks;
        let held = names.into_iter().filter_map(|(digest, holding)| {
            let state = if chunks.is_complete(digest) {
                HoldingState::Complete
            } else if chunks.is_begun(digest) {
                HoldingState::Partial
            } else {
                return None;
            };
            Some(Holding { state, ..holding })
        });
        if self.servers.set_held(held.collect()) {
            announce(&self.servers, &self.fetcher.view);
        }
    }

    fn evict(&self) {
        let now = self.fetcher.clock.now();
        let kept = self.fetcher.chunks.kept(&self.wants.pinned());
        for digest in evict(&self.config, &kept, now) {
            tracing::info!(%digest, "dropped from memory");
            self.fetcher.chunks.remove(digest);
        }
    }
}

/// Versions of the catalogue by the digest of their manifest.
fn names(catalogue: &Catalogue) -> BTreeMap<Digest, Holding> {
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
