//! The port for callers: connections, their limits, and their end.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use apricothall_fleet::wake_timer::WakeTimer;
use apricothall_fleet::write_limit::WriteLimit;
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
use crate::answers::{Body, Broken, refuse};
use crate::channels::{Channels, set_options};
use crate::forwarder::Forwarder;
use crate::model::CallerLimits;
use crate::request::{Budgets, admit};

/// Connections of callers that may be open at once.
const MAX_CONNECTIONS: usize = 3_000;

/// Longest wait for a caller to take a part of its answer.
const WRITE_WAIT: Duration = Duration::from_secs(8);

/// Time that an idle connection is kept beyond the limit, since callers use it up to there.
const IDLE_SLACK: Duration = Duration::from_millis(500);

/// Time after a termination signal in which callers learn to go elsewhere. Idle connections are
/// closed after it.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest buffer for a head that hyper allows, in bytes.
const LEAST_HEAD: usize = 8 << 10;

/// Time after which a caller may come back to another entry.
const LEAVE_PAUSE: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct Port {
    forwarder: Forwarder,
    budgets: Arc<Budgets>,
}

/// Serves callers until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(context: &Context) -> std::io::Result<()> {
    let Some(address) = context.settings().listen.callers else {
        return Ok(());
    };
    let listener = TcpListener::bind(address).await?;
    let port = Port {
        forwarder: Forwarder {
            context: context.clone(),
            channels: Arc::new(Channels::default()),
        },
        budgets: Arc::default(),
    };
    context.lifecycle.spawn(accept(listener, port));
    Ok(())
}

async fn accept(listener: TcpListener, port: Port) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let Ok(slot) = slots.clone().try_acquire_owned() else {
                    tracing::warn!(%from, "too many connections of callers");
                    metrics::counter!("apricothall_caller_connections_refused_total").increment(1);
                    continue;
                };
                let port = port.clone();
                tokio::spawn(async move {
                    let _slot = slot;
                    connection(stream, port).await;
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, port: Port) {
    if let Err(error) = set_options(&stream) {
        tracing::debug!(%error, "caller left before it was served");
        return;
    }
    let context = port.forwarder.context.clone();
    let in_force = context.published.in_force();
    let limits = in_force.map_or_else(CallerLimits::default, |f| f.configuration.limits);
    let service = service_fn(move |request| {
        let port = port.clone();
        async move { Ok::<_, Infallible>(serve(&port, request).await) }
    });
    let io = TokioIo::new(WriteLimit::new(stream, WRITE_WAIT));
    let serving = http1::Builder::new()
        .timer(WakeTimer)
        .header_read_timeout(limits.idle + IDLE_SLACK)
        .max_buf_size(limits.head.max(LEAST_HEAD))
        .serve_connection(io, service);
    let mut serving = std::pin::pin!(serving);
    let leaving = async {
        context.lifecycle.drain_started().await;
        tokio::time::sleep(LEAVE_NOTICE).await;
    };
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = leaving => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        metrics::counter!("apricothall_caller_connections_broken_total").increment(1);
        tracing::debug!(%error, "connection of a caller ended");
    }
}

async fn serve(port: &Port, request: Request<Incoming>) -> Response<Body> {
    let context = &port.forwarder.context;
    let arrival = context.clock.now();
    let id = request
        .headers()
        .get(&context.dialect.headers.attempt)
        .cloned();
    let work = context.lifecycle.begin();
    let intake = context.lifecycle.intake();
    let mut response = if intake == apricothall_decide::drain::Intake::Refuse {
        tracing::info!("request refused: this entry is leaving");
        refuse(LEAVE_PAUSE, "this entry is leaving")
    } else {
        match admit(context, &port.budgets, request, arrival).await {
            Ok(call) => port.forwarder.forward(call).await,
            Err(answer) => {
                let status = answer.status().as_u16();
                if context.lines.failure(arrival) {
                    tracing::info!(request = ?id, status, config_age_ms = context.published.age(arrival).map(crate::lines::millis), "request not admitted");
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
    response.map(|body| Body::new(Counted { body, _work: work }))
}

/// Counts the request as in progress until its answer has been passed on.
struct Counted {
    body: Body,
    _work: WorkGuard,
}

impl hyper::body::Body for Counted {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
