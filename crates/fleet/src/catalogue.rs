//! Plug-in that follows the catalogue and publishes the value in force to other plug-ins.

use std::sync::Arc;

use apricothall_clients::{ConfigurationClient, HttpClient};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Catalogue, Role};
use apricothall_wire::Subject;
use linkme::distributed_slice;
use smol_str::ToSmolStr;

use crate::membership::ReceivedGossip;
use crate::subject::Follower;
use crate::{MembershipView, StatusBoard};

#[distributed_slice(PLUGINS)]
static CATALOGUE: Plugin = Plugin {
    name: "catalogue",
    stage: Stage::Catalogue,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Key of the catalogue in the configuration service.
pub const CATALOGUE_KEY: &str = "catalogue";

/// Follower of the catalogue, shared with other plug-ins.
pub type CatalogueState = Follower<Catalogue>;

fn start(context: &Context) -> Result<(), StartError> {
    let parse = |text: &str| Catalogue::parse(text).map_err(|e| e.to_smolstr());
    let state = Arc::new(Follower::new(
        context,
        Subject::Catalogue,
        CATALOGUE_KEY,
        parse,
    )?);
    context.provide(state.clone());
    add_status(context, &state)?;
    let http = context.component::<HttpClient>()?;
    let platform = &context.settings.platform;
    let client =
        ConfigurationClient::new((*http).clone(), platform.configuration, platform.answer.0);
    let wait = context.settings.revision.wait.0;
    let received = context.component::<ReceivedGossip>()?;
    context
        .lifecycle
        .spawn(publish_revision(state.clone(), context.component()?));
    state.spawn(context, &received, move |after| {
        let client = client.clone();
        async move { client.watch(CATALOGUE_KEY, after, wait).await }
    });
    Ok(())
}

/// Adds the readiness check and the status section.
fn add_status(context: &Context, state: &Arc<CatalogueState>) -> Result<(), StartError> {
    let board = context.component::<StatusBoard>()?;
    state.add_readiness_check(&board);
    let source = state.clone();
    board.add_section("catalogue", move || {
        let mut status = source.status();
        status["entries"] = serde_json::json!(source.current().value.entries);
        status
    });
    Ok(())
}

/// Copies the revision in force to this daemon's member record.
async fn publish_revision(state: Arc<CatalogueState>, view: Arc<MembershipView>) {
    let mut changes = state.changes();
    while changes.changed().await.is_ok() {
        let revision = changes.borrow_and_update().revision;
        view.update_own(|own| own.revision = revision);
    }
}
