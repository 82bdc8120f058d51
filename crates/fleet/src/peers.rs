//! Plug-in that accepts connections from other daemons and dispatches their streams.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::{Arc, PoisonError, RwLock};

use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::Role;
use apricothall_wire::server::PortEvent;
use apricothall_wire::{Incoming, serve};
use http::StatusCode;
use linkme::distributed_slice;
use tokio::net::TcpListener;

#[distributed_slice(PLUGINS)]
static PEERS: Plugin = Plugin {
    name: "peers",
    stage: Stage::Peers,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(start(context)) },
};

type HandlerFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
type Handler = Arc<dyn Fn(Incoming) -> HandlerFuture + Send + Sync>;

/// Stream handlers by path. Plug-ins of later stages register theirs.
#[derive(Default)]
pub struct PeerRoutes {
    handlers: RwLock<HashMap<&'static str, Handler>>,
}

impl PeerRoutes {
    /// Registers the handler of streams for `path`, replacing any earlier one.
    pub fn add<F>(
        &self,
        path: &'static str,
        handler: impl Fn(Incoming) -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers.insert(path, Arc::new(move |incoming| Box::pin(handler(incoming))));
    }

    fn find(&self, path: &str) -> Option<Handler> {
        self.handlers
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(path)
            .cloned()
    }
}

async fn start(context: Context) -> Result<(), StartError> {
    let address = context.settings.peers.listen;
    let bound = TcpListener::bind(address).await;
    let listener = bound.map_err(|source| StartError::Listen { address, source })?;
    let routes = context.component::<PeerRoutes>()?;
    let handle = move |incoming: Incoming| dispatch(routes.clone(), incoming);
    context
        .lifecycle
        .spawn(serve(listener, handle, count_refusal));
    Ok(())
}

/// Passes a stream to the handler of its path, or refuses it.
async fn dispatch(routes: Arc<PeerRoutes>, incoming: Incoming) {
    if let Some(handler) = routes.find(&incoming.path) {
        return handler(incoming).await;
    }
    metrics::counter!("apricothall_peer_refused_total", "reason" => "path").increment(1);
    incoming.refuse(StatusCode::NOT_FOUND, "no such path on this daemon");
}

fn count_refusal(event: PortEvent) {
    let reason = match event {
        PortEvent::BadHandshake => "handshake",
        PortEvent::BadVersion => "version",
        PortEvent::Broken => "broken",
        PortEvent::Full => "full",
    };
    metrics::counter!("apricothall_peer_refused_total", "reason" => reason).increment(1);
}
