//! Plug-in that provides the parts shared by later plug-ins: peer connections, the HTTP client,
//! routes, the claim handler and the status board.

use std::sync::Arc;

use apricothall_clients::HttpClient;
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartFuture};
use apricothall_types::Role;
use apricothall_wire::{Connector, ConnectorConfig};
use linkme::distributed_slice;
use serde_json::json;

use crate::{ClaimHandler, PeerRoutes, StatusBoard};

#[distributed_slice(PLUGINS)]
static SHARED: Plugin = Plugin {
    name: "shared",
    stage: Stage::Shared,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture {
        Box::pin(async move {
            start(&context);
            Ok(())
        })
    },
};

fn start(context: &Context) {
    let settings = &context.settings;
    let source = settings.daemon.address;
    let connect = settings.peers.connect.0;
    context.provide(Arc::new(Connector::new(ConnectorConfig {
        source,
        connect,
    })));
    context.provide(Arc::new(HttpClient::new(Some(source), connect)));
    context.provide(Arc::new(PeerRoutes::default()));
    context.provide(Arc::new(ClaimHandler::default()));
    let board = Arc::new(StatusBoard::default());
    add_daemon_section(&board, context);
    context.provide(board);
}

fn add_daemon_section(board: &StatusBoard, context: &Context) {
    let context = context.clone();
    board.add_section("daemon", move || {
        let daemon = &context.settings.daemon;
        json!({
            "id": daemon.id,
            "role": context.role,
            "region": daemon.region,
            "zone": daemon.zone,
            "incarnation": context.incarnation,
            "leaving": context.lifecycle.is_leaving(),
            "in_progress": context.lifecycle.in_progress(),
        })
    });
}
