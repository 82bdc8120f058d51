//! Plug-in for the port of callers.

use std::sync::Arc;
use std::time::Duration;

use apricothall_fleet::http_server::{Body, listen, serve};
use apricothall_fleet::{CatalogueState, StatusBoard, Trace, View};
use apricothall_kernel::configs::CallersConfig;
use apricothall_kernel::{Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Role, Zone};
use apricothall_wire::Connector;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use linkme::distributed_slice;
use tracing::Instrument;

use crate::problem::Problem;
use crate::quarantine::Pairs;
use crate::{ask, completions, entries, services};

#[distributed_slice(PLUGINS)]
static CALLERS: Plugin = Plugin {
    name: "callers",
    stage: Stage::Callers,
    roles: &[Role::Entry],
    start: |context| -> StartFuture { Box::pin(start(context)) },
};

/// What handlers of callers' requests share.
pub struct Entry {
    /// Settings of the port.
    pub config: CallersConfig,
    /// Availability zone of this VM.
    pub zone: Zone,
    /// Time for which homes remember calls.
    pub horizon: Duration,
    /// Other daemons.
    pub view: Arc<View>,
    /// Servers that a completion may go to.
    pub pairs: Arc<Pairs>,
    /// The catalogue in force.
    pub catalogue: Arc<CatalogueState>,
    /// Connections to agents.
    pub connector: Arc<Connector>,
    /// Phases of the daemon.
    pub lifecycle: Lifecycle,
}

async fn start(context: Context) -> Result<(), StartError> {
    let settings = &context.settings;
    let missing = StartError::MissingSetting { key: "callers" };
    let config = settings.callers.clone().ok_or(missing)?;
    let listener = listen(config.listen).await?;
    let read = config.read.0;
    let entry = Arc::new(Entry {
        config,
        zone: settings.daemon.zone.clone(),
        horizon: settings.dedupe.horizon.0,
        pairs: Arc::new(Pairs::new(context.part()?, context.part()?)),
        view: context.part()?,
        catalogue: context.part()?,
        connector: context.part()?,
        lifecycle: context.lifecycle.clone(),
    });
    context.lifecycle.spawn(entry.pairs.clone().follow());
    let pairs = entry.pairs.clone();
    let board = context.part::<StatusBoard>()?;
    board.section("pairs", move || pairs.status());
    let closing = context.lifecycle.stop_token();
    context
        .lifecycle
        .spawn(serve(listener, read, closing, move |request| {
            let entry = entry.clone();
            async move { answer(entry, request).await }
        }));
    Ok(())
}

async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let work = entry.lifecycle.begin();
    let trace = ask::trace(request.headers());
    let path = request.uri().path().to_owned();
    let span = tracing::info_span!("caller", request = %trace.request, path);
    let handled = dispatch(entry, request, &path, trace)
        .instrument(span)
        .await;
    drop(work);
    let mut response = handled.unwrap_or_else(|problem| problem.to_response(trace.request));
    if let Ok(value) = HeaderValue::from_str(&trace.to_string()) {
        response.headers_mut().insert("traceparent", value);
    }
    response
}

async fn dispatch(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    path: &str,
    trace: Trace,
) -> Result<Response<Body>, Problem> {
    match path {
        "/v1/entries" if request.method() == Method::GET => Ok(entries::list(&entry)),
        "/v1/completions" if request.method() == Method::POST => {
            completions::answer(entry, request, trace).await
        }
        _ if path.starts_with(services::PREFIX) => services::answer(entry, request, trace).await,
        "/v1/entries" | "/v1/completions" => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            Err(Problem {
                status,
                ..Problem::bad_request("use GET entries, POST completions")
            })
        }
        _ => {
            let status = StatusCode::NOT_FOUND;
            Err(Problem {
                status,
                ..Problem::bad_request("no such path")
            })
        }
    }
}
