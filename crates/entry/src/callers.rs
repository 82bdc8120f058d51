//! Plug-in for the port of callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{self, Poll};
use std::time::Duration;

use apricothall_decide::configs::RetryConfig;
use apricothall_decide::drain::Intake;
use apricothall_fleet::http_server::{Body, Waits, serve_within};
use apricothall_fleet::{CatalogueState, StatusBoard, Trace, View};
use apricothall_kernel::configs::CallersConfig;
use apricothall_kernel::lifecycle::WorkGuard;
use apricothall_kernel::{
    Clock, Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture,
};
use apricothall_types::{Outcome, Role, Zone};
use apricothall_wire::Connector;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use linkme::distributed_slice;
use tokio::net::TcpSocket;
use tracing::Instrument;

use crate::arrival::Arrival;
use crate::limits::Limits;
use crate::problem::Problem;
use crate::quarantine::Pairs;
use crate::routing::Routing;
use crate::{ask, completions, entries, services};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// When to come back to another entry than one that leaves.
const LEAVING_RETRY: Duration = Duration::from_secs(1);

#[distributed_slice(PLUGINS)]
static CALLERS: Plugin = Plugin {
    name: "callers",
    stage: Stage::Callers,
    roles: &[Role::Entry],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// What handlers of callers' requests share.
pub struct Entry {
    /// Settings of the port.
    pub config: CallersConfig,
    /// Settings of retries.
    pub retry: RetryConfig,
    /// Availability zone of this VM.
    pub zone: Zone,
    /// Clock of the VM.
    pub clock: Clock,
    /// When requests that are read may have arrived.
    pub arrival: Arc<Arrival>,
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
    /// Choice of replicas.
    pub routing: Arc<Routing>,
    /// Limits of the catalogue.
    pub limits: Arc<Limits>,
    /// Phases of the daemon.
    pub lifecycle: Lifecycle,
}

fn start(context: &Context) -> Result<(), StartError> {
    let settings = &context.settings;
    let missing = StartError::MissingSetting { key: "callers" };
    let config = settings.callers.clone().ok_or(missing)?;
    let address = config.listen;
    let socket = bind(address).map_err(|source| StartError::Listen { address, source })?;
    let entry = Arc::new(Entry {
        config,
        retry: settings.retry.clone(),
        zone: settings.daemon.zone.clone(),
        clock: context.clock,
        arrival: Arc::new(Arrival::new(context.clock.now())),
        horizon: settings.dedupe.horizon.0,
        pairs: Arc::new(Pairs::new(context.component()?, context.component()?)),
        view: context.component()?,
        catalogue: context.component()?,
        connector: context.component()?,
        routing: context.component()?,
        limits: context.component()?,
        lifecycle: context.lifecycle.clone(),
    });
    context.lifecycle.spawn(entry.pairs.clone().follow());
    let arrival = entry.arrival.clone();
    context.lifecycle.spawn(arrival.follow(context.clock));
    let pairs = entry.pairs.clone();
    let board = context.component::<StatusBoard>()?;
    board.section("pairs", move || pairs.status());
    context.lifecycle.spawn_graceful(open(entry, socket));
    Ok(())
}

/// Takes the address without listening yet.
fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Listens once this entry has its share of the limits: until then connections are refused, and
/// callers use another entry.
async fn open(entry: Arc<Entry>, socket: TcpSocket) {
    let closing = entry.lifecycle.stop_token();
    let joined = closing.run_until_cancelled(entry.limits.joined()).await;
    if joined.is_none() {
        return;
    }
    let listener = match socket.listen(BACKLOG) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, "cannot listen for callers");
            return;
        }
    };
    let public = entry.config.public();
    entry.view.update_own(|own| own.public = Some(public));
    let waits = Waits {
        read: entry.config.read.0,
        write: entry.config.write.0,
    };
    let serve = serve_within(listener, waits, closing, move |request| {
        let entry = entry.clone();
        async move { answer(entry, request).await }
    });
    serve.await;
}

async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let work = entry.lifecycle.begin();
    let trace = ask::trace(request.headers());
    let path = request.uri().path().to_owned();
    let http1 = request.version() < Version::HTTP_2;
    let span = tracing::info_span!("caller", request = %trace.request, path);
    let handled = dispatch(&entry, request, &path, trace)
        .instrument(span)
        .await;
    let mut response = handled.unwrap_or_else(|problem| problem.to_response(trace.request));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&trace.to_string()) {
        headers.insert("traceparent", value);
    }
    if http1 && entry.lifecycle.is_leaving() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    count(response.status());
    response.map(|body| Counted { body, _work: work }.boxed())
}

fn count(status: StatusCode) {
    let class = match status.as_u16() {
        0..=199 => "1xx",
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    };
    metrics::counter!("apricothall_caller_answers_total", "status" => class).increment(1);
}

/// A body that counts as work in progress until it is sent.
struct Counted {
    body: Body,
    _work: WorkGuard,
}

impl hyper::body::Body for Counted {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Refuses new work once the time of grace of a leaving entry is over.
fn admit(entry: &Entry, request: &Request<Incoming>) -> Result<(), Problem> {
    if entry.lifecycle.intake() != Intake::Refuse {
        return Ok(());
    }
    let refusal = Problem::unavailable("this entry leaves; use another one", LEAVING_RETRY);
    let headers = request.headers();
    let repeated = ["idempotency-key", "x-ticket"];
    if repeated.iter().any(|name| headers.contains_key(*name)) {
        // An earlier copy of the call may have run.
        let outcome = Outcome::Unknown;
        return Err(Problem { outcome, ..refusal });
    }
    Err(refusal)
}

async fn dispatch(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
    path: &str,
    trace: Trace,
) -> Result<Response<Body>, Problem> {
    match path {
        "/v1/entries" if request.method() == Method::GET => Ok(entries::list(entry)),
        "/v1/completions" if request.method() == Method::POST => {
            admit(entry, &request)?;
            completions::answer(entry.clone(), request, trace).await
        }
        _ if path.starts_with(services::PREFIX) => {
            admit(entry, &request)?;
            services::answer(entry.clone(), request, trace).await
        }
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
