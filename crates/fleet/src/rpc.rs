//! Plug-in that answers plain calls of other daemons.

use std::sync::Arc;

use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Member, Revision, Role, VmList};
use apricothall_wire::peer::{Peer, PeerRequest, PeerResponse, Published};
use apricothall_wire::{Channel, Incoming, RPC_PATH};
use futures::StreamExt;
use linkme::distributed_slice;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::{ClientMessage, Response};

use crate::{CatalogueState, PeerRoutes, View};

#[distributed_slice(PLUGINS)]
static RPC: Plugin = Plugin {
    name: "rpc",
    stage: Stage::Catalogue,
    roles: &[Role::Entry, Role::Agent],
    // Sorts after the plug-in `catalogue` of the same stage.
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

type Session = Channel<ClientMessage<PeerRequest>, Response<PeerResponse>>;

#[derive(Clone)]
struct PeerServer {
    view: Arc<View>,
    catalogue: Arc<CatalogueState>,
}

impl Peer for PeerServer {
    async fn exchange(self, _: tarpc::context::Context, members: Vec<Member>) -> Vec<Member> {
        self.view.merge(members);
        self.view.members()
    }

    async fn catalogue(self, _: tarpc::context::Context) -> Option<Published> {
        let current = self.catalogue.current();
        let known = current.revision > Revision(0);
        known.then_some(Published {
            revision: current.revision,
            text: current.text,
        })
    }

    async fn vms(self, _: tarpc::context::Context) -> Option<VmList> {
        let list = self.view.list();
        (list.revision > Revision(0)).then_some(list)
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let server = PeerServer {
        view: context.part()?,
        catalogue: context.part()?,
    };
    let routes = context.part::<PeerRoutes>()?;
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
