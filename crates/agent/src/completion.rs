//! Runs a completion on an engine and passes its tokens on.

use std::time::Duration;

use apricothall_fleet::Trace;
use apricothall_platform::{EngineEvent, PlatformError};
use apricothall_types::{Outcome, Version};
use apricothall_wire::{Answer, Order, Payload, Refusal, WireError};
use bytes::Bytes;
use smol_str::{SmolStr, ToSmolStr};

use crate::run::{Reply, Runner, refused};
use crate::servers::Engine;

/// When to come back after a refusal that passes.
const RETRY: Duration = Duration::from_secs(1);

/// Longest wait for an engine to confirm a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Runs `order` and returns the last step of its answer.
///
/// # Errors
/// When the entry has gone.
pub async fn run(
    runner: &Runner,
    order: &Order,
    version: &Version,
    body: Bytes,
    trace: Trace,
    reply: &mut Reply,
) -> Result<Answer, WireError> {
    let Some(engine) = runner.servers.engine(&order.name, version) else {
        let refusal = refusal(
            Outcome::NotRun,
            503,
            "no engine here serves this version".into(),
        );
        return Ok(refused(refusal, runner.servers.load()));
    };
    let entered = runner.suspects.enter(&engine, order, &order.name, &body);
    let Ok(entered) = tokio::time::timeout(order.budget, entered).await else {
        let late = refusal(Outcome::NotRun, 504, "the deadline has passed".into());
        return Ok(refused(late, runner.servers.load()));
    };
    let place = match entered {
        Ok(place) => place,
        Err(refusal) => {
            if let Some(record) = runner.suspects.record(&order.name, &body) {
                reply.send(Answer::Crashed(record)).await?;
            }
            return Ok(refused(refusal, runner.servers.load()));
        }
    };
    let (boot, alone) = (place.boot.clone(), place.is_alone());
    reply.send(Answer::Placed { boot, alone }).await?;
    let running = engine.begin();
    let relayed = tokio::time::timeout(
        order.budget,
        relay(&engine, order, version, body, trace, reply),
    )
    .await;
    drop(running);
    let load = runner.servers.load();
    match relayed {
        Ok(Ok(length)) => {
            place.completed();
            Ok(Answer::End { length, load })
        }
        Ok(Err(Fault::Entry(error))) => {
            cancel(&engine, order).await;
            Err(error)
        }
        Ok(Err(Fault::Engine(refusal))) => {
            let sent = refusal.outcome != Outcome::NotRun;
            if let Some(record) = if sent { place.broken().await } else { None } {
                reply.send(Answer::Crashed(record)).await?;
            }
            Ok(refused(refusal, load))
        }
        Err(_) => {
            cancel(&engine, order).await;
            let late = refusal(Outcome::Failed, 504, "the deadline has passed".into());
            Ok(refused(late, load))
        }
    }
}

/// Why a relay ended early.
enum Fault {
    Entry(WireError),
    Engine(Refusal),
}

/// Passes tokens on until the last one; returns their total length in bytes.
async fn relay(
    engine: &Engine,
    order: &Order,
    version: &Version,
    body: Bytes,
    trace: Trace,
    reply: &mut Reply,
) -> Result<u64, Fault> {
    let trace = trace.to_string();
    let started = engine
        .client
        .complete(order.request, order.class, version, body, &trace)
        .await;
    let mut stream = started.map_err(|e| Fault::Engine(not_started(&e)))?;
    let head = Answer::Head {
        status: 200,
        headers: Vec::new(),
        version: Some(version.clone()),
    };
    reply.send(head).await.map_err(Fault::Entry)?;
    let (mut length, mut due) = (0, 0);
    loop {
        match stream
            .next()
            .await
            .map_err(|e| Fault::Engine(broken(e.to_smolstr())))?
        {
            EngineEvent::Done => return Ok(length),
            EngineEvent::Token {
                data,
                version: found,
                index,
            } => {
                if found != *version || index != due {
                    return Err(Fault::Engine(broken("a token of another answer".into())));
                }
                due += 1;
                length += data.len() as u64;
                reply
                    .send(Answer::Data(Payload(data)))
                    .await
                    .map_err(Fault::Entry)?;
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
        ),
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
