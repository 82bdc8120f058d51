//! Plug-in that brings the version in force onto each engine.

use std::sync::Arc;
use std::time::Duration;

use apricothall_fleet::{CatalogueState, View};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_platform::{HttpClient, LoadOrder, PlatformError, Serving, WeightsClient};
use apricothall_types::{Catalogue, CatalogueEntry, Kind, ModelVersion, Role};
use linkme::distributed_slice;
use smol_str::{SmolStr, format_smolstr};

use crate::chunks::ChunkStore;
use crate::fetch::Fetcher;
use crate::servers::{Engine, Servers, announce};

#[distributed_slice(PLUGINS)]
static LOADER: Plugin = Plugin {
    name: "loader",
    stage: Stage::Serving,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Longest wait for a load.
const LOAD_LIMIT: Duration = Duration::from_mins(1);

/// Pause between two looks at what should be loaded.
const PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for an engine's state.
const STATE_LIMIT: Duration = Duration::from_secs(1);

struct Loader {
    engine: Arc<Engine>,
    servers: Arc<Servers>,
    view: Arc<View>,
    catalogue: Arc<CatalogueState>,
    fetcher: Fetcher,
    source: SmolStr,
}

fn start(context: &Context) -> Result<(), StartError> {
    let servers = context.part::<Servers>()?;
    let Some(weights) = &context.settings.weights else {
        return Ok(());
    };
    let http = context.part::<HttpClient>()?;
    let platform = &context.settings.platform;
    let sources = [platform.store, platform.origin];
    let sources = sources.map(|address| WeightsClient::new((*http).clone(), address));
    let fetcher = Fetcher {
        store: context.part::<ChunkStore>()?,
        sources: sources.to_vec(),
    };
    for engine in &servers.engines {
        let loader = Loader {
            engine: engine.clone(),
            servers: servers.clone(),
            view: context.part()?,
            catalogue: context.part()?,
            fetcher: fetcher.clone(),
            source: format_smolstr!("http://{}/weights", weights.listen),
        };
        context.lifecycle.spawn(loader.run());
    }
    Ok(())
}

impl Loader {
    async fn run(self) {
        loop {
            let catalogue = self.catalogue.current();
            if let Some((entry, wanted)) = wanted(&catalogue.value)
                && let Err(error) = self.bring(entry, wanted).await
            {
                tracing::warn!(entry = %entry.name, version = %wanted.version, %error, "load failed");
            }
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Fetches and loads `wanted` unless the engine already serves it.
    async fn bring(
        &self,
        entry: &CatalogueEntry,
        wanted: &ModelVersion,
    ) -> Result<(), PlatformError> {
        let target = Serving {
            name: entry.name.clone(),
            version: wanted.version.clone(),
            manifest: wanted.manifest,
        };
        let state = self.engine.client.state(STATE_LIMIT).await?;
        if state.serving.as_ref() == Some(&target) {
            return Ok(());
        }
        self.fetcher.complete(wanted.manifest).await;
        let order = LoadOrder {
            name: target.name.clone(),
            version: target.version.clone(),
            manifest: target.manifest,
            source: format_smolstr!("{}/{}", self.source, wanted.manifest),
            fence: state.fence.next(),
        };
        self.engine.observe(None);
        announce(&self.servers, &self.view);
        let loaded = self.engine.client.load(&order, LOAD_LIMIT).await?;
        self.engine.observe(Some(loaded));
        announce(&self.servers, &self.view);
        tracing::info!(entry = %entry.name, version = %wanted.version, "in service");
        Ok(())
    }
}

/// The first model of the catalogue, with the version to serve.
fn wanted(catalogue: &Catalogue) -> Option<(&CatalogueEntry, &ModelVersion)> {
    let model = catalogue.entries.iter().find(|e| e.kind == Kind::Model)?;
    Some((model, model.current()?))
}
