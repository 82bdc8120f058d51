//! Plug-in that keeps the catalogue in force.

use std::sync::Arc;
use std::time::Duration;

use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_platform::{ConfigurationClient, HttpClient, Value, Watched};
use apricothall_types::{Catalogue, Revision, Role};
use linkme::distributed_slice;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::{StatusBoard, View};

#[distributed_slice(PLUGINS)]
static CATALOGUE: Plugin = Plugin {
    name: "catalogue",
    stage: Stage::Catalogue,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Key of the catalogue in the configuration service.
pub const CATALOGUE_KEY: &str = "catalogue";

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// The catalogue in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its revision; zero when there is none yet.
    pub revision: Revision,
    /// Its text as published.
    pub text: SmolStr,
    /// Its entries.
    pub catalogue: Arc<Catalogue>,
}

/// The catalogue in force, for other plug-ins.
pub struct CatalogueState {
    current: watch::Sender<InForce>,
}

impl CatalogueState {
    /// The catalogue in force now.
    #[must_use]
    pub fn current(&self) -> InForce {
        self.current.borrow().clone()
    }

    /// Signals each change.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<InForce> {
        self.current.subscribe()
    }

    /// Puts `value` in force if it is newer and valid.
    fn offer(&self, value: Value, view: &View) {
        if value.revision <= self.current.borrow().revision {
            return;
        }
        match Catalogue::parse(&value.text) {
            Ok(parsed) => {
                let revision = value.revision;
                let catalogue = Arc::new(parsed);
                self.current.send_replace(InForce {
                    revision,
                    text: value.text,
                    catalogue,
                });
                view.update_own(|own| own.revision = revision);
                tracing::info!(%revision, "catalogue in force");
            }
            Err(error) => {
                tracing::error!(revision = %value.revision, %error, "catalogue refused");
            }
        }
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let state = Arc::new(CatalogueState {
        current: watch::Sender::new(InForce::default()),
    });
    context.provide(state.clone());
    let view = context.part::<View>()?;
    let board = context.part::<StatusBoard>()?;
    let shown = state.clone();
    board.section("catalogue", move || {
        let current = shown.current();
        json!({ "revision": current.revision, "entries": current.catalogue.entries })
    });
    let awaited = state.clone();
    board.condition(move || {
        let none = awaited.current.borrow().revision == Revision(0);
        none.then(|| "no catalogue in force yet".into())
    });
    let http = context.part::<HttpClient>()?;
    let platform = &context.settings.platform;
    let client =
        ConfigurationClient::new((*http).clone(), platform.configuration, platform.answer.0);
    context
        .lifecycle
        .spawn(watch_service(state, view, client, platform.watch.0));
    Ok(())
}

async fn watch_service(
    state: Arc<CatalogueState>,
    view: Arc<View>,
    client: ConfigurationClient,
    wait: Duration,
) {
    loop {
        let after = state.current.borrow().revision;
        match client.watch(CATALOGUE_KEY, after, wait).await {
            Ok(Watched::Changed(value)) => state.offer(value, &view),
            Ok(Watched::Unchanged) => {}
            Err(error) => {
                tracing::debug!(%error, "cannot read the catalogue");
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}
