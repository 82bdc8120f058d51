//! Listener for callers: connections, their limits and their shutdown.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::Poll;
use std::time::Duration;

use apricothall_decide::patience::{MIN_READ_PAUSE, ReadPause};
use apricothall_fleet::lingering::Lingering;
use apricothall_fleet::shared_timeout::SharedTimeout;
use apricothall_fleet::wake_timer::WakeTimer;
use apricothall_fleet::write_timeout::WriteTimeout;
use apricothall_kernel::lifecycle::WorkGuard;
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::Context;
use crate::answers::{Body, ResponseAborted, retry_later_response};
use crate::connections::ConnectionPool;
use crate::forwarder::Forwarder;
use crate::model::CallerLimits;
use crate::request::{StatedTimeouts, admit};
use crate::user_timeout::UserTimeoutStream;

/// Maximum number of open caller connections.
const MAX_CONNECTIONS: usize = 3_000;

/// Extra time for which an idle connection is kept open beyond the published limit, because callers
/// reuse connections up to that limit.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Time after a termination signal for callers to discover other entries; idle connections are
/// closed after it.
const DRAIN_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// Delay after a failed accept, for example because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Minimum size of the head buffer that hyper accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// `retry-after` of a draining entry, for a retry at another entry.
const DRAIN_RETRY_AFTER: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct CallerService {
    forwarder: Forwarder,
    stated_timeouts: Arc<StatedTimeouts>,
    lingering: Lingering,
}

/// How long the caller of a connection may take nothing of what is sent.
#[derive(Clone)]
struct ReadLimits {
    unread: SharedTimeout,
    unacknowledged: SharedTimeout,
}

impl ReadLimits {
    fn new() -> Self {
        Self {
            unread: SharedTimeout::new(Some(MIN_READ_PAUSE)),
            unacknowledged: SharedTimeout::new(None),
        }
    }

    /// Sets the limits for the answer to the next request.
    fn set(&self, pause: ReadPause) {
        self.unread.set(Some(pause.unread));
        self.unacknowledged.set(pause.unacknowledged);
    }
}

/// Serves callers until the process ends.
///
/// # Errors
/// If the address cannot be bound.
pub async fn start(context: &Context) -> std::io::Result<()> {
    let Some(address) = context.settings().listen.callers else {
        return Ok(());
    };
    let listener = TcpListener::bind(address).await?;
    let service = CallerService {
        forwarder: Forwarder {
            context: context.clone(),
            pool: Arc::new(ConnectionPool::default()),
        },
        stated_timeouts: Arc::default(),
        lingering: Lingering::new(context.lifecycle.clone(), MIN_READ_PAUSE),
    };
    context.lifecycle.spawn(accept(listener, service));
    Ok(())
}

async fn accept(listener: TcpListener, service: CallerService) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let Ok(slot) = slots.clone().try_acquire_owned() else {
                    tracing::warn!(%from, "too many connections of callers");
                    metrics::counter!("apricothall_caller_connections_refused_total").increment(1);
                    continue;
                };
                let service = service.clone();
                tokio::spawn(async move {
                    let _slot = slot;
                    serve_connection(stream, service).await;
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, service: CallerService) {
    let read_limits = ReadLimits::new();
    let stream = match UserTimeoutStream::new(stream, read_limits.unacknowledged.clone()) {
        Ok(stream) => stream,
        Err(error) => {
            tracing::debug!(%error, "caller left before it was served");
            return;
        }
    };
    let stream = WriteTimeout::with_shared(stream, read_limits.unread.clone());
    let context = service.forwarder.context.clone();
    let in_force = context.published.in_force();
    let limits = in_force.map_or_else(CallerLimits::default, |f| f.configuration.limits);
    let lingering = service.lingering.clone();
    let delivery = Arc::new(OnceLock::new());
    let held = delivery.clone();
    let handler = service_fn(move |request| {
        let (service, read_limits) = (service.clone(), read_limits.clone());
        let lifecycle = &service.forwarder.context.lifecycle;
        held.get_or_init(|| lifecycle.begin_delivery());
        async move { Ok::<_, Infallible>(handle_request(&service, &read_limits, request).await) }
    });
    let io = TokioIo::new(stream);
    let mut serving = http1::Builder::new()
        .timer(WakeTimer)
        .header_read_timeout(limits.idle + IDLE_MARGIN)
        .max_buf_size(limits.head.max(MIN_HEAD_BUFFER))
        .serve_connection(io, handler);
    let leaving = async {
        context.lifecycle.drain_started().await;
        tokio::time::sleep(DRAIN_CLOSE_DELAY).await;
    };
    let ended = tokio::select! {
        ended = &mut serving => ended,
        () = leaving => {
            Pin::new(&mut serving).graceful_shutdown();
            (&mut serving).await
        }
    };
    match ended {
        Ok(()) => {
            let stream = serving.into_parts().io.into_inner();
            lingering.close(stream.into_inner().into_inner()).await;
        }
        Err(error) => {
            metrics::counter!("apricothall_caller_connections_broken_total").increment(1);
            tracing::debug!(%error, "connection of a caller ended");
        }
    }
    drop(delivery);
}

async fn handle_request(
    service: &CallerService,
    read_limits: &ReadLimits,
    request: Request<Incoming>,
) -> Response<Body> {
    let context = &service.forwarder.context;
    let arrival = context.clock.now();
    let id = request
        .headers()
        .get(&context.dialect.headers.attempt)
        .cloned();
    let work = context.lifecycle.begin();
    let intake = context.lifecycle.intake();
    let mut response = if intake == apricothall_decide::drain::Intake::Refuse {
        tracing::info!("request refused: this entry is leaving");
        retry_later_response(DRAIN_RETRY_AFTER, "this entry is leaving")
    } else {
        match admit(context, &service.stated_timeouts, request, arrival).await {
            Ok(call) if context.lifecycle.may_outlast(call.deadline) => {
                tracing::info!(request = %call.id, "request refused: it may outlast this entry, which is leaving");
                metrics::counter!("apricothall_leaving_refused_total").increment(1);
                retry_later_response(DRAIN_RETRY_AFTER, "this entry ends too soon")
            }
            Ok(call) => {
                read_limits.set(call.read_pause());
                service.forwarder.forward(call).await
            }
            Err(answer) => {
                let status = answer.status().as_u16();
                if context.log_budgets.allow_failure(arrival) {
                    tracing::info!(request = ?id, status, config_age_ms = context.published.age(arrival).map(crate::log_budgets::millis), "request not admitted");
                }
                metrics::counter!("apricothall_not_admitted_total").increment(1);
                *answer
            }
        }
    };
    if context.lifecycle.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| Body::new(TrackedBody { body, _work: work }))
}

/// Response body that keeps the request counted as in progress until it has been sent.
struct TrackedBody {
    body: Body,
    _work: WorkGuard,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
