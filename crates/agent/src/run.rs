//! Plug-in that runs orders from entries on the backend servers.

use std::sync::Arc;
use std::time::Duration;

use apricothall_fleet::{PeerRoutes, Trace};
use apricothall_kernel::lifecycle::WorkGuard;
use apricothall_kernel::{
    Clock, Context, Lifecycle, PLUGINS, Plugin, Stage, StartError, StartFuture,
};
use apricothall_types::{Load, Outcome, RequestId, Role, Sequence, Timestamp};
use apricothall_wire::answer::RETRY_IMMEDIATELY;
use apricothall_wire::{
    Answer, AnswerFrame, Call, Channel, Incoming, Order, RUN_PATH, Refusal, WireError,
};
use futures::{SinkExt, StreamExt};
use linkme::distributed_slice;
use tracing::Instrument;

use crate::admission::{Gate, Permit, refusal_of};
use crate::claims::ClaimService;
use crate::servers::Servers;
use crate::suspects::Placer;
use crate::{completion, service_call};

#[distributed_slice(PLUGINS)]
static RUN: Plugin = Plugin {
    name: "run",
    stage: Stage::Serving,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Interval of heartbeats to a waiting entry. An entry treats an agent that sends nothing for
/// `retry.silence` as lost.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Timeout for the order on an opened stream.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for the entry to read the end of an answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the answer frames of one order to the entry.
pub struct AnswerSender {
    channel: Channel<Order, AnswerFrame>,
    request: RequestId,
    sequence: Sequence,
}

impl AnswerSender {
    /// Sends the next frame of the answer.
    ///
    /// # Errors
    /// When the connection to the entry is lost.
    pub async fn send(&mut self, answer: Answer) -> Result<(), WireError> {
        let frame = AnswerFrame {
            request: self.request,
            sequence: self.sequence,
            answer,
        };
        self.sequence = self.sequence.next();
        self.channel.send(frame).await
    }

    /// Waits until the entry closes the stream.
    pub async fn wait_for_cancel(&mut self) {
        while let Some(Ok(_)) = self.channel.next().await {}
    }

    /// Closes the stream after its last frame and waits until the entry has read it.
    ///
    /// # Errors
    /// When the connection to the entry is lost.
    pub async fn close(mut self) -> Result<(), WireError> {
        self.channel.close().await?;
        // The entry closes its side after reading the last frame. Until then shutdown must wait, as
        // the frame may still be buffered in this process.
        let read = tokio::time::timeout(CLOSE_TIMEOUT, self.wait_for_cancel()).await;
        read.map_err(|_| WireError::Timeout)
    }
}

/// The parts of the agent that are needed to run an order.
#[derive(Clone)]
pub struct Runner {
    /// Backend servers of the VM.
    pub servers: Arc<Servers>,
    /// Clock of the VM.
    pub clock: Clock,
    /// Placement of completions on the engines.
    pub placer: Arc<Placer>,
    /// Keyed calls, which must not run twice.
    pub claim_service: Arc<ClaimService>,
    lifecycle: Lifecycle,
}

impl Runner {
    /// Waits for a slot of `gate` and sends heartbeats to the entry meanwhile. The inner error is
    /// the final refusal: the order has not run.
    ///
    /// # Errors
    /// When the entry has cancelled the order, which frees its place in the queue.
    pub async fn admit(
        &self,
        gate: &Arc<Gate>,
        order: &Order,
        deadline: Timestamp,
        reply: &mut AnswerSender,
    ) -> Result<Result<Permit, Refusal>, WireError> {
        let entered = gate.enter(order.class, deadline);
        tokio::pin!(entered);
        loop {
            tokio::select! {
                entered = &mut entered => return Ok(entered.map_err(refusal_of)),
                () = reply.wait_for_cancel() => return Err(WireError::Ended),
                () = tokio::time::sleep(HEARTBEAT_PERIOD) => {
                    reply.send(Answer::Pending(self.servers.load())).await?;
                }
            }
        }
    }

    /// Returns whether this agent is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.is_leaving()
    }

    /// Registers work that shutdown waits for.
    #[must_use]
    pub fn begin(&self) -> WorkGuard {
        self.lifecycle.begin()
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let runner = Runner {
        servers: context.component::<Servers>()?,
        clock: context.clock,
        placer: context.component()?,
        claim_service: context.component()?,
        lifecycle: context.lifecycle.clone(),
    };
    context
        .component::<PeerRoutes>()?
        .add(RUN_PATH, move |incoming| {
            let runner = runner.clone();
            async move {
                if let Err(error) = serve(&runner, incoming).await {
                    count_dropped(&error);
                    tracing::debug!(%error, "order ended early");
                }
            }
        });
    Ok(())
}

async fn serve(runner: &Runner, incoming: Incoming) -> Result<(), WireError> {
    let trace = incoming.trace.as_deref().and_then(Trace::parse);
    let mut channel: Channel<Order, AnswerFrame> = incoming.accept()?;
    let order = tokio::time::timeout(ORDER_TIMEOUT, channel.next()).await;
    let order = order.map_err(|_| WireError::Timeout)?;
    let order = order.ok_or(WireError::Ended)??;
    let trace = trace.unwrap_or(Trace {
        request: order.request,
        span: 1,
    });
    let span = tracing::info_span!("run", request = %order.request, entry = %order.name);
    let reply = AnswerSender {
        channel,
        request: order.request,
        sequence: Sequence(0),
    };
    run(runner, order, reply, trace).instrument(span).await
}

async fn run(
    runner: &Runner,
    order: Order,
    mut reply: AnswerSender,
    trace: Trace,
) -> Result<(), WireError> {
    // Registered before the check, so that a shutdown that begins in between waits for this order.
    let _work = runner.lifecycle.begin();
    // A leaving home still reports the results of its keyed calls.
    if runner.lifecycle.is_leaving() && order.once.is_none() {
        reply
            .send(refused(leaving_refusal(), runner.servers.load()))
            .await?;
        return reply.close().await;
    }
    let deadline = runner.clock.now() + order.budget;
    reply.send(Answer::Pending(runner.servers.load())).await?;
    let trace = trace.child(&mut rand::rng());
    let last = match &order.call {
        Call::Completion { version, body } => {
            let call = completion::Call {
                version,
                body: body.0.clone(),
                trace,
                deadline,
            };
            completion::run(runner, &order, call, &mut reply).await?
        }
        Call::Service { .. } => service_call::run(runner, &order, trace, &mut reply).await?,
    };
    reply.send(last).await?;
    reply.close().await
}

fn count_dropped(error: &WireError) {
    let reason = match error {
        WireError::Frame(_) => "frame",
        WireError::Timeout => "timeout",
        _ => "gone",
    };
    metrics::counter!("apricothall_run_dropped_total", "reason" => reason).increment(1);
}

/// Returns the last frame of a refused or incomplete answer.
#[must_use]
pub fn refused(refusal: Refusal, load: Load) -> Answer {
    metrics::counter!("apricothall_run_refused_total", "outcome" => refusal.outcome.to_string())
        .increment(1);
    Answer::Refused { refusal, load }
}

fn leaving_refusal() -> Refusal {
    Refusal {
        outcome: Outcome::NotRun,
        status: 503,
        detail: "the agent is leaving".into(),
        retry: Some(RETRY_IMMEDIATELY),
    }
}
