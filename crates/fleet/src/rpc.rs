//! Plug-in that serves remote procedure calls from other daemons.

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

use crate::membership::ReceivedGossip;
use crate::vms::VmListFollower;
use crate::{CatalogueState, ClaimHandler, MembershipView, PeerRoutes};

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
    view: Arc<MembershipView>,
    received: Arc<ReceivedGossip>,
    catalogue: Arc<CatalogueState>,
    vms: Arc<VmListFollower>,
    claims: Arc<ClaimHandler>,
}

impl Peer for PeerServer {
    async fn exchange(self, _: tarpc::context::Context, message: GossipMessage) -> GossipMessage {
        let reply = self.view.receive(&message);
        self.received.publish(message);
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
        request: ClaimRequest,
    ) -> Option<ClaimReply> {
        self.claims.handle(&name, &request)
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let server = PeerServer {
        view: context.component()?,
        received: context.component()?,
        catalogue: context.component()?,
        vms: context.component()?,
        claims: context.component()?,
    };
    let routes = context.component::<PeerRoutes>()?;
    routes.add(RPC_PATH, move |incoming| {
        serve_session(server.clone(), incoming)
    });
    Ok(())
}

/// Serves the calls of one stream until it ends.
async fn serve_session(server: PeerServer, incoming: Incoming) {
    let accepted: Result<Session, _> = incoming.accept();
    let Ok(channel) = accepted else {
        return;
    };
    BaseChannel::with_defaults(channel)
        .execute(server.serve())
        .for_each_concurrent(None, |answer| answer)
        .await;
}
