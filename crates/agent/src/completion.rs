//! Runs a completion on an engine and streams its tokens to the entry.

use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::{EngineEvent, PlatformError};
use apricothall_fleet::Trace;
use apricothall_types::{Outcome, Timestamp, Version};
use apricothall_wire::{Answer, Order, Payload, Refusal, WireError};
use bytes::Bytes;
use smol_str::{SmolStr, ToSmolStr};

use crate::refusal::new_refusal;
use crate::run::{AnswerSender, HEARTBEAT_PERIOD, Runner, refused};
use crate::servers::Engine;
use crate::suspects::Placement;

/// Timeout of a cancellation at the engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A completion call as received from the entry.
pub struct Call<'a> {
    /// Version that the request is pinned to.
    pub version: &'a Version,
    /// Body of the completion call.
    pub body: Bytes,
    /// Trace to send to the engine.
    pub trace: Trace,
    /// Deadline of the answer, on the clock of this VM.
    pub deadline: Timestamp,
}

/// Runs `order` and returns the last frame of its answer.
///
/// # Errors
/// When the connection to the entry is lost.
pub async fn run(
    runner: &Runner,
    order: &Order,
    call: Call<'_>,
    reply: &mut AnswerSender,
) -> Result<Answer, WireError> {
    let servers = &runner.servers;
    let Some(engine) = servers.engine(&order.name, call.version) else {
        let detail = "no engine here serves this version".into();
        return Ok(refused(
            new_refusal(Outcome::NotRun, 503, detail).with_immediate_retry(),
            servers.load(),
        ));
    };
    let admitted = runner.admit(&engine.gate, order, call.deadline, reply);
    let permit = match admitted.await? {
        Ok(permit) => permit,
        Err(refusal) => return Ok(refused(refusal, servers.load())),
    };
    let placement = match place_on_engine(runner, &engine, order, &call, reply).await? {
        Ok(placement) => placement,
        Err(refusal) => return Ok(refused(refusal, servers.load())),
    };
    let running = engine.begin();
    let left = call.deadline.since(runner.clock.now());
    let relay = relay(runner, &engine, order, call, reply);
    let relayed = tokio::time::timeout(left, relay).await;
    drop(running);
    let last = match relayed {
        Ok(Ok(length)) => {
            placement.completed();
            Ok(Answer::End {
                length,
                load: servers.load(),
            })
        }
        Ok(Err(RelayError::Engine(refusal))) => {
            let sent = refusal.outcome != Outcome::NotRun;
            if let Some(record) = if sent {
                placement.interrupted().await
            } else {
                None
            } {
                reply.send(Answer::Crashed(record)).await?;
            }
            Ok(refused(refusal, servers.load()))
        }
        Ok(Err(RelayError::Entry(error))) => {
            cancel(&engine, order).await;
            Err(error)
        }
        Err(_) => {
            cancel(&engine, order).await;
            let deadline_refusal =
                new_refusal(Outcome::Failed, 504, "the deadline has passed".into());
            Ok(refused(deadline_refusal, servers.load()))
        }
    };
    // The slot is freed only after the engine has finished or cancelled the request.
    drop(permit);
    last
}

/// Waits until the request may run on `engine` and reports the placement to the entry. The inner
/// error is the final refusal: the order has not run.
async fn place_on_engine(
    runner: &Runner,
    engine: &Arc<Engine>,
    order: &Order,
    call: &Call<'_>,
    reply: &mut AnswerSender,
) -> Result<Result<Placement, Refusal>, WireError> {
    let placer = &runner.placer;
    let left = call.deadline.since(runner.clock.now());
    let entered = placer.enter(engine, order, &call.body);
    let entered = tokio::time::timeout(left, entered);
    let entered = match with_heartbeats(runner, reply, entered).await {
        Ok(entered) => entered,
        Err(RelayError::Entry(error)) => return Err(error),
        Err(RelayError::Engine(refusal)) => return Ok(Err(refusal)),
    };
    let deadline_refusal = || new_refusal(Outcome::NotRun, 504, "the deadline has passed".into());
    let entered = entered.unwrap_or_else(|_| Err(deadline_refusal()));
    match &entered {
        Ok(placement) => {
            let (boot, alone) = (placement.boot.clone(), placement.is_alone());
            reply.send(Answer::Placed { boot, alone }).await?;
        }
        Err(_) => {
            if let Some(record) = placer.record(&order.name, &call.body) {
                reply.send(Answer::Crashed(record)).await?;
            }
        }
    }
    Ok(entered)
}

/// Why the relay of an answer stopped before its end.
enum RelayError {
    Entry(WireError),
    Engine(Refusal),
}

/// Relays all tokens to the entry and returns their total length in bytes.
async fn relay(
    runner: &Runner,
    engine: &Engine,
    order: &Order,
    call: Call<'_>,
    reply: &mut AnswerSender,
) -> Result<u64, RelayError> {
    let version = call.version;
    let trace = call.trace.to_string();
    let client = &engine.client;
    let sent = runner.clock.now();
    let record = |named| engine.gate.record_limit(named, sent);
    let started = client.complete(
        order.request,
        order.class,
        version,
        call.body,
        &trace,
        record,
    );
    let started = with_heartbeats(runner, reply, started).await?;
    let mut stream = started.map_err(|e| RelayError::Engine(start_refusal(&e)))?;
    let head = Answer::Head {
        status: 200,
        headers: Vec::new(),
        version: Some(version.clone()),
    };
    reply.send(head).await.map_err(RelayError::Entry)?;
    let (mut length, mut expected_index) = (0, 0);
    loop {
        let event = with_heartbeats(runner, reply, stream.next()).await?;
        let event = event.map_err(|e| RelayError::Engine(stream_refusal(e.to_smolstr())))?;
        let (data, token_version, index) = match event {
            EngineEvent::Done => return Ok(length),
            EngineEvent::Token {
                data,
                version,
                index,
            } => (data, version, index),
        };
        if token_version != *version || index != expected_index {
            metrics::counter!("apricothall_tokens_crossed_total").increment(1);
            return Err(RelayError::Engine(stream_refusal(
                "a token of another answer".into(),
            )));
        }
        expected_index += 1;
        length += data.len() as u64;
        let sent = reply.send(Answer::Data(Payload(data))).await;
        sent.map_err(RelayError::Entry)?;
    }
}

/// Waits for the engine and sends heartbeats to the entry meanwhile. Fails when the entry cancels.
async fn with_heartbeats<T>(
    runner: &Runner,
    reply: &mut AnswerSender,
    wait: impl Future<Output = T>,
) -> Result<T, RelayError> {
    tokio::pin!(wait);
    loop {
        tokio::select! {
            biased;
            done = &mut wait => return Ok(done),
            () = reply.wait_for_cancel() => return Err(RelayError::Entry(WireError::Ended)),
            () = tokio::time::sleep(HEARTBEAT_PERIOD) => {
                let pending = Answer::Pending(runner.servers.load());
                reply.send(pending).await.map_err(RelayError::Entry)?;
            }
        }
    }
}

fn start_refusal(error: &PlatformError) -> Refusal {
    match error {
        PlatformError::Connect(_) | PlatformError::Busy { .. } => {
            new_refusal(Outcome::NotRun, 503, error.to_smolstr())
        }
        PlatformError::Status { status: 409, .. } => new_refusal(
            Outcome::NotRun,
            503,
            "the engine serves another version".into(),
        )
        .with_immediate_retry(),
        PlatformError::Status { status, .. } => Refusal {
            retry: None,
            ..new_refusal(Outcome::NotRun, *status, error.to_smolstr())
        },
        _ => new_refusal(Outcome::Unknown, 502, error.to_smolstr()),
    }
}

fn stream_refusal(detail: SmolStr) -> Refusal {
    new_refusal(Outcome::Failed, 502, detail)
}

/// Cancels a request at the engine whose answer is no longer needed.
async fn cancel(engine: &Engine, order: &Order) {
    if let Err(error) = engine.client.cancel(order.request, CANCEL_TIMEOUT).await {
        tracing::debug!(%error, "cannot cancel the request at the engine");
    }
}
