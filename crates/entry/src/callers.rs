//! Plug-in that serves the callers' HTTP port.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{self, Poll};
use std::time::Duration;

use apricothall_decide::configs::RetryConfig;
use apricothall_decide::drain::Intake;
use apricothall_fleet::http_server::{Body, ConnectionTimeouts, serve_with_timeouts};
use apricothall_fleet::{CatalogueState, MembershipView, StatusBoard, Trace};
use apricothall_kernel::configs::CallersConfig;
use apricothall_kernel::lifecycle::WorkGuard;
use apricothall_kernel::{
    Clock, Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture,
};
use apricothall_types::{Outcome, Role, Zone};
use apricothall_wire::Connector;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use linkme::distributed_slice;
use tokio::net::TcpSocket;
use tracing::Instrument;

use crate::arrival::PauseDetector;
use crate::limits::Limits;
use crate::problem::Problem;
use crate::quarantine::RecentServers;
use crate::request_meta::RequestMeta;
use crate::routing::Routing;
use crate::{completions, entries, request_meta, services};

/// Length of the accept queue of the listening socket.
const ACCEPT_BACKLOG: u32 = 1_024;

/// `Retry-After` of a leaving entry; the caller should use another entry.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

#[distributed_slice(PLUGINS)]
static CALLERS: Plugin = Plugin {
    name: "callers",
    stage: Stage::Callers,
    roles: &[Role::Entry],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// State shared by the handlers of callers' requests.
pub struct EntryContext {
    /// Settings of the port.
    pub config: CallersConfig,
    /// Settings of retries.
    pub retry: RetryConfig,
    /// Availability zone of this VM.
    pub zone: Zone,
    /// Clock of the VM.
    pub clock: Clock,
    /// Estimates how long requests waited before they were read.
    pub pause_detector: Arc<PauseDetector>,
    /// How long agents keep the results of keyed calls.
    pub horizon: Duration,
    /// Membership view of the fleet.
    pub view: Arc<MembershipView>,
    /// Servers that serve or recently served each model.
    pub recent_servers: Arc<RecentServers>,
    /// The catalogue in force.
    pub catalogue: Arc<CatalogueState>,
    /// Connections to agents.
    pub connector: Arc<Connector>,
    /// Replica selection.
    pub routing: Arc<Routing>,
    /// Rate limits of the catalogue.
    pub limits: Arc<Limits>,
    /// Lifecycle of the daemon.
    pub lifecycle: Lifecycle,
}

impl EntryContext {
    /// Parses the headers of a request. The time for which it may have waited in a socket is deducted
    /// from its budget.
    ///
    /// # Errors
    /// When a header is malformed or the deadline has passed.
    pub fn request_meta(&self, headers: &HeaderMap, trace: Trace) -> Result<RequestMeta, Problem> {
        let waited = self.pause_detector.max_wait(self.clock.now());
        RequestMeta::from_headers(headers, trace, &self.config)?.deduct_wait(waited)
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let settings = &context.settings;
    let missing = StartError::MissingSetting { key: "callers" };
    let config = settings.callers.clone().ok_or(missing)?;
    let address = config.listen;
    let socket = bind(address).map_err(|source| StartError::Listen { address, source })?;
    let entry = Arc::new(EntryContext {
        config,
        retry: settings.retry.clone(),
        zone: settings.daemon.zone.clone(),
        clock: context.clock,
        pause_detector: Arc::new(PauseDetector::new(context.clock.now())),
        horizon: settings.dedupe.horizon.0,
        recent_servers: Arc::new(RecentServers::new(
            context.component()?,
            context.component()?,
            context.component()?,
        )),
        view: context.component()?,
        catalogue: context.component()?,
        connector: context.component()?,
        routing: context.component()?,
        limits: context.component()?,
        lifecycle: context.lifecycle.clone(),
    });
    context
        .lifecycle
        .spawn(entry.recent_servers.clone().follow());
    let pause_detector = entry.pause_detector.clone();
    context.lifecycle.spawn(pause_detector.run(context.clock));
    let recent_servers = entry.recent_servers.clone();
    let board = context.component::<StatusBoard>()?;
    board.add_section("pairs", move || recent_servers.status());
    context
        .lifecycle
        .spawn_graceful(listen_when_joined(entry, socket));
    Ok(())
}

/// Binds the address without listening on it.
fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Starts to listen once this entry has its share of the rate limits. Until then connections are
/// refused and callers use another entry.
async fn listen_when_joined(entry: Arc<EntryContext>, socket: TcpSocket) {
    let closing = entry.lifecycle.stop_token();
    let joined = closing
        .run_until_cancelled(entry.limits.wait_until_joined())
        .await;
    if joined.is_none() {
        return;
    }
    let listener = match socket.listen(ACCEPT_BACKLOG) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, "cannot listen on the callers' port");
            return;
        }
    };
    let public = entry.config.public();
    entry.view.update_own(|own| own.public = Some(public));
    let waits = ConnectionTimeouts {
        read: entry.config.read.0,
        write: entry.config.write.0,
    };
    let serve = serve_with_timeouts(listener, waits, closing, move |request| {
        let entry = entry.clone();
        async move { handle(entry, request).await }
    });
    serve.await;
}

async fn handle(entry: Arc<EntryContext>, request: Request<Incoming>) -> Response<Body> {
    let work = entry.lifecycle.begin();
    let trace = request_meta::trace_or_new(request.headers());
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
    count_response(response.status());
    response.map(|body| TrackedBody { body, _work: work }.boxed())
}

fn count_response(status: StatusCode) {
    let class = match status.as_u16() {
        0..=199 => "1xx",
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    };
    metrics::counter!("apricothall_caller_answers_total", "status" => class).increment(1);
}

/// A response body that keeps a [`WorkGuard`] until it has been sent.
struct TrackedBody {
    body: Body,
    _work: WorkGuard,
}

impl hyper::body::Body for TrackedBody {
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

/// Refuses new work once the grace period of a leaving entry is over.
fn check_accepting(entry: &EntryContext, request: &Request<Incoming>) -> Result<(), Problem> {
    if entry.lifecycle.intake() != Intake::Refuse {
        return Ok(());
    }
    let refusal = Problem::unavailable("this entry leaves; use another one", LEAVING_RETRY_AFTER);
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
    entry: &Arc<EntryContext>,
    request: Request<Incoming>,
    path: &str,
    trace: Trace,
) -> Result<Response<Body>, Problem> {
    match path {
        "/v1/entries" if request.method() == Method::GET => Ok(entries::list(entry)),
        "/v1/completions" if request.method() == Method::POST => {
            check_accepting(entry, &request)?;
            completions::handle(entry.clone(), request, trace).await
        }
        _ if path.starts_with(services::PREFIX) => {
            check_accepting(entry, &request)?;
            services::handle(entry.clone(), request, trace).await
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
