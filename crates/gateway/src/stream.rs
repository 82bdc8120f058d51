//! Streams of events: passed on as they come, and continued at another server when one fails.

use std::collections::VecDeque;
use std::time::Duration;

use apricothall_clients::sse::{RawEvent, RawEvents};
use apricothall_decide::outlier::Attempt;
use apricothall_types::{MemberId, Timestamp};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::answers::{Body, Broken};
use crate::channels::Channel;
use crate::exchange::Answer;
use crate::fleet::{InFlight, Place, Placed};
use crate::forward::{Forwarder, millis};
use crate::quarantine::Loss;
use crate::request::Call;

/// Events that wait for a slow caller.
const WAITING_EVENTS: usize = 32;

/// Silence in the middle of a stream after which it goes on elsewhere.
const STALL: Duration = Duration::from_millis(900);

/// Why a server's stream does not go on.
#[derive(Debug, Error)]
pub enum FeedError {
    /// The connection ended before the stream did.
    #[error("connection lost: {0}")]
    Lost(SmolStr),
    /// Nothing came in time.
    #[error("no event in time")]
    Stalled,
    /// The bytes are no events.
    #[error("malformed: {0}")]
    Malformed(SmolStr),
    /// An event is missing.
    #[error("event {found} follows {last}")]
    Gap {
        /// Last event passed on.
        last: u64,
        /// Event that came.
        found: u64,
    },
}

/// A server's stream.
pub struct Feed {
    body: Incoming,
    events: RawEvents,
    ready: VecDeque<RawEvent>,
    framed: bool,
    ended: bool,
    channel: Channel,
    flight: InFlight,
    server: Place,
    sent: Timestamp,
    predicted: Duration,
    load: u32,
    first: Duration,
}

impl Feed {
    /// The stream in `answer`.
    #[must_use]
    pub fn new(answer: Answer, placed: &Placed) -> Self {
        Self {
            framed: answer.is_framed(),
            body: answer.body,
            events: RawEvents::default(),
            ready: VecDeque::new(),
            ended: false,
            channel: answer.channel,
            flight: answer.flight,
            server: Place::from(&placed.server),
            sent: answer.sent,
            predicted: placed.predicted,
            load: placed.load,
            first: Duration::ZERO,
        }
    }

    /// The server that it comes from.
    #[must_use]
    pub fn server(&self) -> &Place {
        &self.server
    }

    /// Notes that the stream was lost.
    pub fn note_lost(&self, error: &FeedError) {
        match error {
            FeedError::Lost(_) => self.flight.lost(Loss::Broken),
            FeedError::Stalled => self.flight.lost(Loss::Silent),
            FeedError::Malformed(_) | FeedError::Gap { .. } => {}
        }
    }

    /// The next event; none at the end.
    ///
    /// # Errors
    /// When the stream has not ended and does not go on.
    pub async fn next(&mut self, patience: Duration) -> Result<Option<RawEvent>, FeedError> {
        let read = tokio::time::timeout(patience, self.read());
        read.await.map_err(|_| FeedError::Stalled)?
    }

    async fn read(&mut self) -> Result<Option<RawEvent>, FeedError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            if self.ended {
                return Ok(None);
            }
            match self.body.frame().await {
                None => self.finish()?,
                Some(Err(error)) => return Err(FeedError::Lost(error.to_smolstr())),
                Some(Ok(frame)) => self.take(frame)?,
            }
        }
    }

    fn take(&mut self, frame: Frame<Bytes>) -> Result<(), FeedError> {
        let Ok(data) = frame.into_data() else {
            return Ok(());
        };
        self.events.push(&data);
        let fail = |e: apricothall_clients::sse::EventTooLong| FeedError::Malformed(e.to_smolstr());
        while let Some(event) = self.events.next_event().map_err(fail)? {
            self.ready.push_back(event);
        }
        Ok(())
    }

    /// Without framing the end of the connection is the end, unless it cuts an event.
    fn finish(&mut self) -> Result<(), FeedError> {
        self.ended = true;
        let rest = self.events.rest();
        if rest.is_empty() {
            return Ok(());
        }
        if !self.framed {
            return Err(FeedError::Lost("it ends inside an event".into()));
        }
        self.ready.push_back(RawEvent {
            bytes: rest,
            id: None,
        });
        Ok(())
    }
}

/// What a relay of one stream needs.
pub struct Relay {
    /// Sends calls to servers.
    pub forwarder: Forwarder,
    /// The call.
    pub call: Call,
    /// Servers that have had it.
    pub tried: Vec<MemberId>,
}

/// Passes on `first` and all that follows, until the stream ends or cannot be continued.
#[must_use]
pub fn relay(relay: Relay, feed: Feed, first: Option<RawEvent>) -> Body {
    let (sender, mut receiver) = mpsc::channel(WAITING_EVENTS);
    tokio::spawn(run(relay, feed, first, sender));
    let frames = futures::stream::poll_fn(move |cx| receiver.poll_recv(cx));
    BodyExt::boxed(StreamBody::new(frames))
}

type Sender = mpsc::Sender<Result<Frame<Bytes>, Broken>>;

async fn run(mut relay: Relay, mut feed: Feed, first: Option<RawEvent>, sender: Sender) {
    let mut last = relay.call.resume;
    let mut next = first;
    let context = relay.forwarder.context.clone();
    note_first(&relay, &mut feed);
    let mut passed = 0_u32;
    loop {
        if let Some(event) = next.take() {
            last = event.id.or(last);
            passed += 1;
            if sender.send(Ok(Frame::data(event.bytes))).await.is_err() {
                return note_left(&relay, &feed, passed);
            }
        }
        let now = context.clock.now();
        let left = relay.call.deadline.since(now);
        let read = tokio::select! {
            read = feed.next(STALL.min(left)) => read,
            () = sender.closed() => return note_left(&relay, &feed, passed),
        };
        match read.and_then(|event| in_order(event, last)) {
            Ok(Step::Pass(event)) => next = Some(event),
            Ok(Step::Skip) => {}
            Ok(Step::End) => {
                feed.flight.completed();
                note_end(&relay, &feed, passed);
                metrics::counter!("apricothall_streams_total", "outcome" => "whole").increment(1);
                let now = context.clock.now();
                relay.forwarder.channels.keep(feed.channel, now);
                return;
            }
            Err(error) => {
                let resumed = tokio::select! {
                    resumed = go_on(&mut relay, &feed, last, &error) => resumed,
                    () = sender.closed() => return note_left(&relay, &feed, passed),
                };
                let Some(other) = resumed else {
                    metrics::counter!("apricothall_streams_total", "outcome" => "broken")
                        .increment(1);
                    let _ = sender.send(Err(Broken(error.to_smolstr()))).await;
                    return;
                };
                feed = other;
            }
        }
    }
}

enum Step {
    Pass(RawEvent),
    Skip,
    End,
}

/// Ids rise by one: an event that was passed on before is dropped, a gap is an error.
fn in_order(event: Option<RawEvent>, last: Option<u64>) -> Result<Step, FeedError> {
    let Some(event) = event else {
        return Ok(Step::End);
    };
    if let (Some(found), Some(last)) = (event.id, last) {
        if found <= last {
            return Ok(Step::Skip);
        }
        if found > last + 1 {
            return Err(FeedError::Gap { last, found });
        }
    }
    Ok(Step::Pass(event))
}

/// Continues the stream at another server after event `last`.
async fn go_on(
    relay: &mut Relay,
    failed: &Feed,
    last: Option<u64>,
    error: &FeedError,
) -> Option<Feed> {
    let context = &relay.forwarder.context;
    let now = context.clock.now();
    let spent = now >= relay.call.deadline;
    tracing::info!(request = %relay.call.id, fingerprint = %relay.call.fingerprint.short(), server = %failed.server.id, ?last, %error, spent, "stream interrupted");
    failed.note_lost(error);
    if spent {
        return None;
    }
    context
        .fleet
        .record(&failed.server, Attempt::Failed, failed.predicted, now);
    relay
        .forwarder
        .resume(&relay.call, &mut relay.tried, last)
        .await
}

fn note_first(relay: &Relay, feed: &mut Feed) {
    let context = &relay.forwarder.context;
    let now = context.clock.now();
    let latency = now.since(feed.sent);
    context.fleet.record(
        &feed.server,
        Attempt::Answered(latency),
        feed.predicted,
        now,
    );
    let total = now.since(relay.call.arrival);
    feed.first = total;
    metrics::histogram!("apricothall_first_event_seconds").record(total.as_secs_f64());
    metrics::histogram!("apricothall_first_event_predicted_seconds")
        .record(feed.predicted.as_secs_f64());
}

fn note_end(relay: &Relay, feed: &Feed, passed: u32) {
    let context = &relay.forwarder.context;
    let now = context.clock.now();
    if !context.lines.success(now) {
        return;
    }
    let call = &relay.call;
    tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), route = %call.route.name, service = %call.service, server = %feed.server.id, load = feed.load, returning = call.returning, prompt = call.prompt, predicted_ms = millis(feed.predicted), first_ms = millis(feed.first), total_ms = millis(now.since(call.arrival)), servers = relay.tried.len(), passed, config_age_ms = context.published.age(now).map(millis), "stream passed on");
}

fn note_left(relay: &Relay, feed: &Feed, passed: u32) {
    metrics::counter!("apricothall_streams_total", "outcome" => "left").increment(1);
    tracing::info!(request = %relay.call.id, fingerprint = %relay.call.fingerprint.short(), server = %feed.server.id, passed, "caller left");
}
