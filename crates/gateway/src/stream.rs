//! Event streams: forwarded as events arrive, and resumed at another server after a failure.

use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::sse::RawEvent;
use apricothall_decide::outlier::Attempt;
use apricothall_types::MemberId;
use bytes::Bytes;
use http::HeaderValue;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use smol_str::ToSmolStr;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::answers::{Body, ResponseAborted};
use crate::forwarder::Forwarder;
use crate::log_budgets::millis;
use crate::request::{Call, logged_parts};
use crate::server_stream::{ServerStream, StreamError};

/// Maximum number of events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 32;

/// Maximum size of the events buffered for a slow caller, in bytes, unless a single one is larger.
/// Many callers may read slowly at once.
const MAX_BUFFERED_BYTES: u32 = 16 << 10;

/// Time without an event after which a stream is resumed at another server.
const STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// State needed to relay a stream.
pub struct StreamRelay {
    /// Sends calls to servers.
    pub forwarder: Forwarder,
    /// The call.
    pub call: Call,
    /// Servers that already received the call.
    pub tried: Vec<MemberId>,
    /// Content type of the response, which continuations must have as well.
    pub content_type: Option<HeaderValue>,
}

/// Forwards `first` and all following events until the stream ends or cannot be resumed.
#[must_use]
pub fn relay(relay: StreamRelay, stream: ServerStream, first: Option<RawEvent>) -> Body {
    let (sender, mut receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    tokio::spawn(run(relay, stream, first, sender));
    let frames = futures::stream::poll_fn(move |cx| receiver.poll_recv(cx));
    BodyExt::boxed(StreamBody::new(frames))
}

type Sender = mpsc::Sender<Result<Frame<Bytes>, ResponseAborted>>;

async fn run(
    mut relay: StreamRelay,
    mut stream: ServerStream,
    first: Option<RawEvent>,
    sender: Sender,
) {
    let mut last = relay.call.resume;
    let mut next = first;
    let context = relay.forwarder.context.clone();
    record_first_event(&relay, &mut stream);
    let room = Arc::new(Semaphore::new(MAX_BUFFERED_BYTES as usize));
    let mut forwarded = 0_u32;
    let mut stalled = false;
    loop {
        if let Some(event) = next.take() {
            last = event.id.or(last);
            forwarded += 1;
            stalled = false;
            if forward(&sender, &room, event.bytes).await.is_err() {
                return record_caller_left(&relay, &stream, forwarded);
            }
        }
        let now = context.clock.now();
        let left = relay.call.deadline.since(now);
        let read = tokio::select! {
            read = stream.next(STALL_TIMEOUT.min(left)) => read,
            () = sender.closed() => return record_caller_left(&relay, &stream, forwarded),
        };
        match read.and_then(|event| check_order(event, last, &mut stream.resuming)) {
            Ok(Step::Forward(event)) => next = Some(event),
            Ok(Step::Skip) => {}
            Ok(Step::End) => {
                stream.in_flight.completed();
                log_completed(&relay, &stream, forwarded);
                metrics::counter!("apricothall_streams_total", "outcome" => "whole").increment(1);
                let now = context.clock.now();
                relay.forwarder.pool.release(stream.connection, now);
                return;
            }
            Err(error) => {
                if !stalled {
                    record_failure(&relay, &stream, last, &error);
                }
                let resumed = tokio::select! {
                    resumed = resume_stream(&mut relay, last, forwarded) => resumed,
                    () = sender.closed() => return record_caller_left(&relay, &stream, forwarded),
                };
                // A slow stream may still complete: if no other server can resume it, its server
                // gets the remaining time.
                stalled = matches!(error, StreamError::Stalled);
                if resumed.is_none() && stalled && context.clock.now() < relay.call.deadline {
                    continue;
                }
                let Some(other) = resumed else {
                    metrics::counter!("apricothall_streams_total", "outcome" => "broken")
                        .increment(1);
                    let _ = sender.send(Err(ResponseAborted(error.to_smolstr()))).await;
                    return;
                };
                stream = other;
            }
        }
    }
}

/// The caller has left.
struct CallerLeft;

/// Passes an event on to the caller, once those before it have left room for it.
async fn forward(sender: &Sender, room: &Arc<Semaphore>, event: Bytes) -> Result<(), CallerLeft> {
    let size = u32::try_from(event.len()).unwrap_or(u32::MAX);
    let size = size.min(MAX_BUFFERED_BYTES);
    let room = room.clone().acquire_many_owned(size);
    let taken = tokio::select! {
        taken = room => taken.map_err(|_| CallerLeft)?,
        () = sender.closed() => return Err(CallerLeft),
    };
    let event = Bytes::from_owner(BufferedEvent {
        event,
        _taken: taken,
    });
    let sent = sender.send(Ok(Frame::data(event))).await;
    sent.map_err(|_| CallerLeft)
}

/// An event that takes room until it has been written to the caller's connection.
struct BufferedEvent {
    event: Bytes,
    _taken: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for BufferedEvent {
    fn as_ref(&self) -> &[u8] {
        &self.event
    }
}

enum Step {
    Forward(RawEvent),
    Skip,
    End,
}

/// Checks the order of events. Their ids increase by one: an event that was already forwarded is
/// skipped, and a gap is an error. While `resuming`, only the event that follows `last` goes on.
fn check_order(
    event: Option<RawEvent>,
    last: Option<u64>,
    resuming: &mut bool,
) -> Result<Step, StreamError> {
    let Some(event) = event.filter(|e| !*resuming || e.id.is_some()) else {
        return if *resuming {
            Err(StreamError::NotContinued)
        } else {
            Ok(Step::End)
        };
    };
    if let (Some(found), Some(last)) = (event.id, last) {
        if found <= last {
            return Ok(Step::Skip);
        }
        if found > last.saturating_add(1) {
            return Err(StreamError::Gap { last, found });
        }
    }
    *resuming = false;
    Ok(Step::Forward(event))
}

/// Records a lost or stalled stream.
fn record_failure(
    relay: &StreamRelay,
    failed: &ServerStream,
    last: Option<u64>,
    error: &StreamError,
) {
    let context = &relay.forwarder.context;
    let now = context.clock.now();
    let spent = now >= relay.call.deadline;
    tracing::info!(request = %relay.call.id, fingerprint = %relay.call.fingerprint.short(), server = %failed.server.id, parts = %logged_parts(&relay.call.parts), ?last, %error, spent, "stream interrupted");
    failed.record_loss(error);
    if !spent {
        context
            .fleet
            .record(&failed.server, Attempt::Failed, failed.predicted, now);
    }
}

/// Resumes the stream at another server after event `last`, unless the deadline has passed, or
/// events without ids were forwarded, after which no server can go on.
async fn resume_stream(
    relay: &mut StreamRelay,
    last: Option<u64>,
    forwarded: u32,
) -> Option<ServerStream> {
    let is_late = relay.forwarder.context.clock.now() >= relay.call.deadline;
    if is_late || forwarded > 0 && last.is_none() {
        return None;
    }
    let kind = relay.content_type.as_ref();
    relay
        .forwarder
        .resume(&relay.call, &mut relay.tried, last, kind)
        .await
}

fn record_first_event(relay: &StreamRelay, stream: &mut ServerStream) {
    let context = &relay.forwarder.context;
    let now = context.clock.now();
    let latency = now.since(stream.sent);
    context.fleet.record(
        &stream.server,
        Attempt::Answered(latency),
        stream.predicted,
        now,
    );
    let total = now.since(relay.call.arrival);
    stream.first = total;
    metrics::histogram!("apricothall_first_event_seconds").record(total.as_secs_f64());
    metrics::histogram!("apricothall_first_event_predicted_seconds")
        .record(stream.predicted.as_secs_f64());
}

fn log_completed(relay: &StreamRelay, stream: &ServerStream, forwarded: u32) {
    let context = &relay.forwarder.context;
    let now = context.clock.now();
    if !context.log_budgets.allow_success(now) {
        return;
    }
    let call = &relay.call;
    tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, server = %stream.server.id, load = stream.load, returning = call.returning, prompt = call.prompt, predicted_ms = millis(stream.predicted), first_ms = millis(stream.first), total_ms = millis(now.since(call.arrival)), servers = relay.tried.len(), news = stream.list_age.map(display), passed_over = stream.passed_over.as_ref().map(display), passed = forwarded, parts = %logged_parts(&call.parts), config_age_ms = context.published.age(now).map(millis), "stream passed on");
}

fn record_caller_left(relay: &StreamRelay, stream: &ServerStream, forwarded: u32) {
    metrics::counter!("apricothall_streams_total", "outcome" => "left").increment(1);
    tracing::info!(request = %relay.call.id, fingerprint = %relay.call.fingerprint.short(), server = %stream.server.id, passed = forwarded, "caller left");
}
