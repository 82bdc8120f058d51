//! Plug-in that answers plain calls of other daemons.

use std::sync::Arc;

use apricothall_decide::claims::{ClaimReply, ClaimRequest};
use apricothall_decide::membership::GossipMessage;
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Digest, EntryName, Role};
use apricothall_wire::peer::{Peer, PeerRequest, PeerResponse};
use apricothall_wire::{Channel, Incoming, Published, RPC_PATH, Subject};
use futures::StreamExt;
use linkme::distributed_slice;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::{ClientMessage, Response};

use crate::membership::Heard;
use crate::vms::VmListFollower;
use crate::{CatalogueState, ClaimDesk, PeerRoutes, View};

#[distributed_slice(PLUGINS)]
static RPC: Plugin = Plugin {
    name: "rpc",
    stage: Stage::Weights,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

type Session = Channel<ClientMessage<PeerRequest>, Response<PeerResponse>>;

#[derive(Clone)]
struct PeerServer {
    view: Arc<View>,
    heard: Arc<Heard>,
    catalogue: Arc<CatalogueState>,
    vms: Arc<VmListFollower>,
    claims: Arc<ClaimDesk>,
}

impl Peer for PeerServer {
    async fn exchange(self, _: tarpc::context::Context, message: GossipMessage) -> GossipMessage {
        let reply = self.view.receive(&message);
        self.heard.publish(message);
        reply
    }

    async fn published(
        self,
        _: tarpc::context::Context,
        subject: Subject,
        base: Option<Digest>,
    ) -> Option<Published> {
        match subject {
            Subject::Catalogue => self.catalogue.published(base),
            Subject::Vms => self.vms.published(base),
        }
    }

    async fn claim(
        self,
        _: tarpc::context::Context,
        name: EntryName,
        ask: ClaimRequest,
    ) -> Option<ClaimReply> {
        self.claims.ask(&name, &ask)
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let server = PeerServer {
        view: context.component()?,
        heard: context.component()?,
        catalogue: context.component()?,
        vms: context.component()?,
        claims: context.component()?,
    };
    let routes = context.component::<PeerRoutes>()?;
    routes.add(RPC_PATH, move |incoming| session(server.clone(), incoming));
    Ok(())
}

async fn session(server: PeerServer, incoming: Incoming) {
    let accepted: Result<Session, _> = incoming.accept();
    let Ok(channel) = accepted else {
        return;
    };
    BaseChannel::with_defaults(channel)
        .execute(server.serve())
        .for_each_concurrent(None, |answer| answer)
        .await;
}
