//! Plug-in that serves the operators' port: `/healthz`, `/readyz`, `/metrics`, `/status` and the
//! pages of other plug-ins.

use std::time::Duration;

use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::Role;
use http::{Method, Response, StatusCode};
use linkme::distributed_slice;

use crate::StatusBoard;
use crate::http_server::{Body, json, listen, serve, text};

#[distributed_slice(PLUGINS)]
static OPERATORS: Plugin = Plugin {
    name: "operators",
    stage: Stage::Operators,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(start(context)) },
};

/// Time limit for receiving a request's headers.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

async fn start(context: Context) -> Result<(), StartError> {
    let listener = listen(context.settings.operators.listen).await?;
    let board = context.component::<StatusBoard>()?;
    let closing = context.lifecycle.stop_token();
    let telemetry = context.telemetry.clone();
    context
        .lifecycle
        .spawn(serve(listener, READ_TIMEOUT, closing, move |request| {
            let (board, telemetry) = (board.clone(), telemetry.clone());
            async move {
                if request.method() != Method::GET {
                    return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
                }
                let uri = request.uri();
                match uri.path() {
                    "/healthz" => text(StatusCode::OK, "ok\n"),
                    "/readyz" => readiness(&board),
                    "/metrics" => text(StatusCode::OK, telemetry.render()),
                    "/status" => json(StatusCode::OK, &board.status()),
                    path => {
                        let page = board.find_page(path, uri.query().unwrap_or_default());
                        page.map_or_else(
                            || text(StatusCode::NOT_FOUND, "no such path\n"),
                            |value| json(StatusCode::OK, &value),
                        )
                    }
                }
            }
        }));
    Ok(())
}

fn readiness(board: &StatusBoard) -> Response<Body> {
    match board.not_ready_reason() {
        None => text(StatusCode::OK, "ready\n"),
        Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}
