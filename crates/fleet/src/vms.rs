//! Plug-in that follows the platform's VM list.

use std::sync::Arc;

use apricothall_clients::vm_list::parse_list;
use apricothall_clients::{HttpClient, VmListClient};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Role, VmList};
use apricothall_wire::Subject;
use linkme::distributed_slice;
use smol_str::ToSmolStr;

use crate::membership::ReceivedGossip;
use crate::subject::Follower;
use crate::{MembershipView, StatusBoard};

#[distributed_slice(PLUGINS)]
static VMS: Plugin = Plugin {
    name: "vm list",
    stage: Stage::Catalogue,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Follower of the VM list.
pub type VmListFollower = Follower<VmList>;

fn start(context: &Context) -> Result<(), StartError> {
    let parse = |text: &str| parse_list(text).map_err(|e| e.to_smolstr());
    let follower = Arc::new(Follower::new(context, Subject::Vms, "vms", parse)?);
    context.provide(follower.clone());
    let board = context.component::<StatusBoard>()?;
    let source = follower.clone();
    board.add_section("vms", move || source.status());
    let http = context.component::<HttpClient>()?;
    let platform = &context.settings.platform;
    let client = VmListClient::new((*http).clone(), platform.vms, platform.answer.0);
    let wait = context.settings.revision.wait.0;
    let received = context.component::<ReceivedGossip>()?;
    context
        .lifecycle
        .spawn(apply_lists(follower.clone(), context.component()?));
    follower.spawn(context, &received, move |after| {
        let client = client.clone();
        async move { client.watch(after, wait).await }
    });
    Ok(())
}

/// Applies each VM list that comes into force to the membership view.
async fn apply_lists(follower: Arc<VmListFollower>, view: Arc<MembershipView>) {
    let mut changes = follower.changes();
    while changes.changed().await.is_ok() {
        let list = changes.borrow_and_update().value.clone();
        view.observe_list(list);
    }
}
