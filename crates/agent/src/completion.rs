//! Runs a completion on an engine and passes its tokens on.

use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::{EngineEvent, PlatformError};
use apricothall_fleet::Trace;
use apricothall_types::{Outcome, Timestamp, Version};
use apricothall_wire::{Answer, Order, Payload, Refusal, WireError};
use bytes::Bytes;
use smol_str::{SmolStr, ToSmolStr};

use crate::run::{BEAT, Reply, Runner, refused};
use crate::servers::Engine;
use crate::suspects::Place;

/// When to come back after a refusal that passes.
const RETRY: Duration = Duration::from_secs(1);

/// Longest wait for an engine to confirm a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// What to run, until when.
pub struct Call<'a> {
    /// Version that the request is pinned to.
    pub version: &'a Version,
    /// Body of the completion call.
    pub body: Bytes,
    /// Trace for the engine.
    pub trace: Trace,
    /// When the answer is of no more use, on the clock of this VM.
    pub deadline: Timestamp,
}

/// Runs `order` and returns the last step of its answer.
///
/// # Errors
/// When the entry has gone.
pub async fn run(
    runner: &Runner,
    order: &Order,
    call: Call<'_>,
    reply: &mut Reply,
) -> Result<Answer, WireError> {
    let servers = &runner.servers;
    let Some(engine) = servers.engine(&order.name, call.version) else {
        let detail = "no engine here serves this version".into();
        return Ok(refused(
            refusal(Outcome::NotRun, 503, detail).with_immediate_retry(),
            servers.load(),
        ));
    };
    let admitted = runner.admit(&engine.gate, order, call.deadline, reply);
    let permit = match admitted.await? {
        Ok(permit) => permit,
        Err(refusal) => return Ok(refused(refusal, servers.load())),
    };
    let place = match place(runner, &engine, order, &call, reply).await? {
        Ok(place) => place,
        Err(refusal) => return Ok(refused(refusal, servers.load())),
    };
    let running = engine.begin();
    let left = call.deadline.since(runner.clock.now());
    let relay = relay(runner, &engine, order, call, reply);
    let relayed = tokio::time::timeout(left, relay).await;
    drop(running);
    let last = match relayed {
        Ok(Ok(length)) => {
            place.completed();
            Ok(Answer::End {
                length,
                load: servers.load(),
            })
        }
        Ok(Err(Fault::Engine(refusal))) => {
            let sent = refusal.outcome != Outcome::NotRun;
            if let Some(record) = if sent { place.broken().await } else { None } {
                reply.send(Answer::Crashed(record)).await?;
            }
            Ok(refused(refusal, servers.load()))
        }
        Ok(Err(Fault::Entry(error))) => {
            cancel(&engine, order).await;
            Err(error)
        }
        Err(_) => {
            cancel(&engine, order).await;
            let late = refusal(Outcome::Failed, 504, "the deadline has passed".into());
            Ok(refused(late, servers.load()))
        }
    };
    // The slot is free only once the engine has let go of the request.
    drop(permit);
    last
}

/// Waits until the request may run on `engine`, and tells the entry. The inner error is the final
/// refusal: the order has not run.
async fn place(
    runner: &Runner,
    engine: &Arc<Engine>,
    order: &Order,
    call: &Call<'_>,
    reply: &mut Reply,
) -> Result<Result<Place, Refusal>, WireError> {
    let suspects = &runner.suspects;
    let left = call.deadline.since(runner.clock.now());
    let entered = suspects.enter(engine, order, &call.body);
    let entered = tokio::time::timeout(left, entered);
    let entered = match attended(runner, reply, entered).await {
        Ok(entered) => entered,
        Err(Fault::Entry(error)) => return Err(error),
        Err(Fault::Engine(refusal)) => return Ok(Err(refusal)),
    };
    let late = || refusal(Outcome::NotRun, 504, "the deadline has passed".into());
    let entered = entered.unwrap_or_else(|_| Err(late()));
    match &entered {
        Ok(place) => {
            let (boot, alone) = (place.boot.clone(), place.is_alone());
            reply.send(Answer::Placed { boot, alone }).await?;
        }
        Err(_) => {
            if let Some(record) = suspects.record(&order.name, &call.body) {
                reply.send(Answer::Crashed(record)).await?;
            }
        }
    }
    Ok(entered)
}

/// Why a relay ended early.
enum Fault {
    Entry(WireError),
    Engine(Refusal),
}

/// Passes tokens on until the last one; returns their total length in bytes.
async fn relay(
    runner: &Runner,
    engine: &Engine,
    order: &Order,
    call: Call<'_>,
    reply: &mut Reply,
) -> Result<u64, Fault> {
    let version = call.version;
    let trace = call.trace.to_string();
    let client = &engine.client;
    let started = client.complete(order.request, order.class, version, call.body, &trace);
    let started = attended(runner, reply, started).await?;
    let mut stream = started.map_err(|e| Fault::Engine(not_started(&e)))?;
    let head = Answer::Head {
        status: 200,
        headers: Vec::new(),
        version: Some(version.clone()),
    };
    reply.send(head).await.map_err(Fault::Entry)?;
    let (mut length, mut due) = (0, 0);
    loop {
        let event = attended(runner, reply, stream.next()).await?;
        let event = event.map_err(|e| Fault::Engine(broken(e.to_smolstr())))?;
        let (data, found, index) = match event {
            EngineEvent::Done => return Ok(length),
            EngineEvent::Token {
                data,
                version,
                index,
            } => (data, version, index),
        };
        if found != *version || index != due {
            metrics::counter!("apricothall_tokens_crossed_total").increment(1);
            return Err(Fault::Engine(broken("a token of another answer".into())));
        }
        due += 1;
        length += data.len() as u64;
        let sent = reply.send(Answer::Data(Payload(data))).await;
        sent.map_err(Fault::Entry)?;
    }
}

/// Waits for the engine, with signs of life to the entry, until the entry gives up.
async fn attended<T>(
    runner: &Runner,
    reply: &mut Reply,
    wait: impl Future<Output = T>,
) -> Result<T, Fault> {
    tokio::pin!(wait);
    loop {
        tokio::select! {
            biased;
            done = &mut wait => return Ok(done),
            () = reply.cancelled() => return Err(Fault::Entry(WireError::Ended)),
            () = tokio::time::sleep(BEAT) => {
                let pending = Answer::Pending(runner.servers.load());
                reply.send(pending).await.map_err(Fault::Entry)?;
            }
        }
    }
}

fn not_started(error: &PlatformError) -> Refusal {
    match error {
        PlatformError::Connect(_) | PlatformError::Busy { .. } => {
            refusal(Outcome::NotRun, 503, error.to_smolstr())
        }
        PlatformError::Status { status: 409, .. } => refusal(
            Outcome::NotRun,
            503,
            "the engine serves another version".into(),
        )
        .with_immediate_retry(),
        PlatformError::Status { status, .. } => Refusal {
            retry: None,
            ..refusal(Outcome::NotRun, *status, error.to_smolstr())
        },
        _ => refusal(Outcome::Unknown, 502, error.to_smolstr()),
    }
}

fn broken(detail: SmolStr) -> Refusal {
    refusal(Outcome::Failed, 502, detail)
}

fn refusal(outcome: Outcome, status: u16, detail: SmolStr) -> Refusal {
    Refusal {
        outcome,
        status,
        detail,
        retry: Some(RETRY),
    }
}

/// Frees the engine of a request that nobody waits for.
async fn cancel(engine: &Engine, order: &Order) {
    if let Err(error) = engine.client.cancel(order.request, CANCEL_LIMIT).await {
        tracing::debug!(%error, "cannot cancel");
    }
}
