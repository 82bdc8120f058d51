//! Plug-in that runs orders of entries on the backend servers.

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
use crate::claims::Claimant;
use crate::servers::Servers;
use crate::suspects::Suspects;
use crate::{completion, service_call};

#[distributed_slice(PLUGINS)]
static RUN: Plugin = Plugin {
    name: "run",
    stage: Stage::Serving,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Time between two signs of life to an entry that waits. Entries give up an agent that is silent
/// for longer than `retry.silence`.
pub const BEAT: Duration = Duration::from_millis(500);

/// Longest wait for the order of an open stream.
const ORDER_LIMIT: Duration = Duration::from_secs(10);

/// Longest wait for an entry to read the end of an answer.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// The entry's side of one order.
pub struct Reply {
    channel: Channel<Order, AnswerFrame>,
    request: RequestId,
    sequence: Sequence,
}

impl Reply {
    /// Sends the next step of the answer.
    ///
    /// # Errors
    /// When the entry has gone.
    pub async fn send(&mut self, answer: Answer) -> Result<(), WireError> {
        let frame = AnswerFrame {
            request: self.request,
            sequence: self.sequence,
            answer,
        };
        self.sequence = self.sequence.next();
        self.channel.send(frame).await
    }

    /// Waits until the entry gives up the request.
    pub async fn cancelled(&mut self) {
        while let Some(Ok(_)) = self.channel.next().await {}
    }

    /// Ends the stream after its last step, and waits until the entry has read that.
    ///
    /// # Errors
    /// When the entry has gone.
    pub async fn close(mut self) -> Result<(), WireError> {
        self.channel.close().await?;
        // The entry drops the stream after the last step. Until then a stop must wait, since the
        // step may still be in this process.
        let read = tokio::time::timeout(CLOSE_LIMIT, self.cancelled()).await;
        read.map_err(|_| WireError::Timeout)
    }
}

/// What a run needs to know of this agent.
#[derive(Clone)]
pub struct Runner {
    /// Backend servers of the VM.
    pub servers: Arc<Servers>,
    /// Clock of the VM.
    pub clock: Clock,
    /// Requests on the engines.
    pub suspects: Arc<Suspects>,
    /// Calls that may not be repeated.
    pub claimant: Arc<Claimant>,
    lifecycle: Lifecycle,
}

impl Runner {
    /// Waits for a slot behind `gate`, with signs of life to the entry meanwhile. The inner error
    /// is the final refusal: the order has not run.
    ///
    /// # Errors
    /// When the entry has given the order up; its place in the queue is free then.
    pub async fn admit(
        &self,
        gate: &Arc<Gate>,
        order: &Order,
        deadline: Timestamp,
        reply: &mut Reply,
    ) -> Result<Result<Permit, Refusal>, WireError> {
        let entered = gate.enter(order.class, deadline);
        tokio::pin!(entered);
        loop {
            tokio::select! {
                entered = &mut entered => return Ok(entered.map_err(refusal_of)),
                () = reply.cancelled() => return Err(WireError::Ended),
                () = tokio::time::sleep(BEAT) => {
                    reply.send(Answer::Pending(self.servers.load())).await?;
                }
            }
        }
    }

    /// Whether this agent is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.is_leaving()
    }

    /// Counts a piece of work that a stop waits for.
    #[must_use]
    pub fn begin(&self) -> WorkGuard {
        self.lifecycle.begin()
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let runner = Runner {
        servers: context.component::<Servers>()?,
        clock: context.clock,
        suspects: context.component()?,
        claimant: context.component()?,
        lifecycle: context.lifecycle.clone(),
    };
    context
        .component::<PeerRoutes>()?
        .add(RUN_PATH, move |incoming| {
            let runner = runner.clone();
            async move {
                if let Err(error) = serve(&runner, incoming).await {
                    count_end(&error);
                    tracing::debug!(%error, "order ended early");
                }
            }
        });
    Ok(())
}

async fn serve(runner: &Runner, incoming: Incoming) -> Result<(), WireError> {
    let trace = incoming.trace.as_deref().and_then(Trace::parse);
    let mut channel: Channel<Order, AnswerFrame> = incoming.accept()?;
    let order = tokio::time::timeout(ORDER_LIMIT, channel.next()).await;
    let order = order.map_err(|_| WireError::Timeout)?;
    let order = order.ok_or(WireError::Ended)??;
    let trace = trace.unwrap_or(Trace {
        request: order.request,
        span: 1,
    });
    let span = tracing::info_span!("run", request = %order.request, entry = %order.name);
    let reply = Reply {
        channel,
        request: order.request,
        sequence: Sequence(0),
    };
    run(runner, order, reply, trace).instrument(span).await
}

async fn run(
    runner: &Runner,
    order: Order,
    mut reply: Reply,
    trace: Trace,
) -> Result<(), WireError> {
    // Counted before the check, so that a stop between the two waits for this order.
    let _work = runner.lifecycle.begin();
    // The home of a call still tells what became of it.
    if runner.lifecycle.is_leaving() && order.once.is_none() {
        reply
            .send(refused(leaving(), runner.servers.load()))
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

fn count_end(error: &WireError) {
    let reason = match error {
        WireError::Frame(_) => "frame",
        WireError::Timeout => "timeout",
        _ => "gone",
    };
    metrics::counter!("apricothall_run_dropped_total", "reason" => reason).increment(1);
}

/// The last step of an answer that is not whole.
#[must_use]
pub fn refused(refusal: Refusal, load: Load) -> Answer {
    metrics::counter!("apricothall_run_refused_total", "outcome" => refusal.outcome.to_string())
        .increment(1);
    Answer::Refused { refusal, load }
}

fn leaving() -> Refusal {
    Refusal {
        outcome: Outcome::NotRun,
        status: 503,
        detail: "the agent is leaving".into(),
        retry: Some(RETRY_IMMEDIATELY),
    }
}
