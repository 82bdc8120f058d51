//! Runs a keyed call, which must not run twice.
//!
//! The call to the service continues when the connection to the entry is lost, and its answer is
//! stored for the retry. The register records the start before the call waits for a slot, so that
//! copies of the call wait for the same result. A call that gets no slot leaves a tombstone in the
//! register and never runs.

use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::{PlatformError, ServiceAnswer, ServiceCall};
use apricothall_decide::claims::Denial;
use apricothall_decide::dedupe::{self, CallKey};
use apricothall_decide::limits;
use apricothall_fleet::Trace;
use apricothall_types::{Class, Outcome, Timestamp};
use apricothall_wire::{Answer, Header, OnceCall, Order, Payload, Refusal, WireError, codec};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use tokio::sync::oneshot;

use crate::admission::refusal_of;
use crate::claims::ClaimService;
use crate::refusal::new_refusal;
use crate::register::{CallEnd, CallStep, KeyedCall};
use crate::run::{AnswerSender, Runner, refused};
use crate::servers::Service;
use crate::service_call::{answer_head, call_of};

/// Timeout of a call at the service; it may exceed the caller's deadline.
const RUN_TIMEOUT: Duration = Duration::from_mins(1);

/// An answer in the form stored in the register.
#[derive(Serialize, Deserialize)]
struct StoredAnswer {
    status: u16,
    headers: Vec<Header>,
    body: Payload,
}

/// Runs `order`, or looks up the result of an earlier copy, and returns the last frame of its
/// answer.
///
/// # Errors
/// When the connection to the entry is lost.
pub async fn run(
    runner: &Runner,
    order: &Order,
    once: &OnceCall,
    trace: Trace,
    reply: &mut AnswerSender,
) -> Result<Answer, WireError> {
    let calls = &runner.claim_service.calls;
    let mut once = once.clone();
    // A leaving agent starts no calls, but still reports the results of earlier ones.
    once.lookup_only |= runner.is_leaving();
    let call = KeyedCall {
        name: order.name.clone(),
        request: order.request,
        once,
        deadline: calls.deadline(order.sent, order.budget),
    };
    let started = runner
        .servers
        .service(&order.name)
        .zip(call_of(order, trace));
    let Some((service, service_call)) = started else {
        let refusal = new_refusal(Outcome::Unknown, 503, "no such service on this VM".into());
        return Ok(refused(refusal, runner.servers.load()));
    };
    let stored = match resolve(runner, order.class, &call, &service, &service_call).await {
        Ok(stored) => stored,
        Err(refusal) => return Ok(refused(refusal, runner.servers.load())),
    };
    let stored: StoredAnswer = codec::decode(&stored)?;
    let length = stored.body.len() as u64;
    let (status, headers) = (stored.status, stored.headers);
    let version = None;
    reply
        .send(Answer::Head {
            status,
            headers,
            version,
        })
        .await?;
    reply.send(Answer::Data(stored.body)).await?;
    let load = runner.servers.load();
    Ok(Answer::End { length, load })
}

/// Performs the steps of the call until it has an answer or is refused.
async fn resolve(
    runner: &Runner,
    class: Class,
    call: &KeyedCall,
    service: &Arc<Service>,
    service_call: &ServiceCall,
) -> Result<Arc<[u8]>, Refusal> {
    let calls = &runner.claim_service.calls;
    let mut slot_refusal_receiver = None;
    let mut step = calls.handle_order(call);
    loop {
        step = match step {
            CallStep::Claim(request, ids) => {
                runner
                    .claim_service
                    .obtain_claims(call, &request, &ids)
                    .await
            }
            CallStep::Run => {
                let recorded = RecordedCall {
                    service: service.clone(),
                    service_call: service_call.clone(),
                    class,
                    deadline: call.deadline,
                };
                slot_refusal_receiver = Some(spawn_call(runner, call.once.key, recorded));
                calls.handle_order(call)
            }
            CallStep::Wait(mut end) => {
                // The sender is dropped when the call ends, so an error here is the end of the
                // call.
                let ended = tokio::time::timeout(calls.left(call.deadline), end.changed()).await;
                if ended.is_err() {
                    return Err(new_refusal(
                        Outcome::Unknown,
                        504,
                        "the call has not ended".into(),
                    ));
                }
                calls.handle_order(call)
            }
            CallStep::Replay(answer) => return Ok(answer),
            CallStep::Ran => {
                let detail = "the call ran; its answer is no longer kept".into();
                return Err(Refusal {
                    retry: None,
                    ..new_refusal(Outcome::Unknown, 409, detail)
                });
            }
            CallStep::Refuse(reason) => {
                let slot_refusal =
                    slot_refusal_receiver.and_then(|mut receiver| receiver.try_recv().ok());
                return Err(slot_refusal.unwrap_or_else(|| register_refusal(reason)));
            }
            CallStep::Deny(reason) => return Err(claims_refusal(reason)),
            CallStep::NotSeen => {
                return Err(new_refusal(
                    Outcome::Unknown,
                    503,
                    "not seen by this agent".into(),
                ));
            }
        };
    }
}

/// A call whose start is recorded in the register.
struct RecordedCall {
    service: Arc<Service>,
    service_call: ServiceCall,
    class: Class,
    deadline: Timestamp,
}

/// Makes the call in a task of its own, which counts as work in progress. If the call gets no slot,
/// the receiver gets the refusal before the register records the end.
fn spawn_call(runner: &Runner, key: CallKey, recorded: RecordedCall) -> oneshot::Receiver<Refusal> {
    metrics::counter!("apricothall_once_started_total").increment(1);
    let work = runner.begin();
    let claim_service = runner.claim_service.clone();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let end = make_call(&claim_service, recorded)
            .await
            .unwrap_or_else(|refusal| {
                // An error means that the receiver was dropped and the refusal is no longer needed.
                let _ = sender.send(refusal);
                CallEnd::Unsent
            });
        claim_service.calls.record_end(key, end);
        drop(work);
    });
    receiver
}

/// Waits for a slot and makes the call.
async fn make_call(
    claim_service: &ClaimService,
    recorded: RecordedCall,
) -> Result<CallEnd, Refusal> {
    let service = &recorded.service;
    let entered = service.gate.enter(recorded.class, recorded.deadline).await;
    let permit = entered.map_err(admission_refusal)?;
    // The process may have been paused since the start was recorded.
    if claim_service.calls.is_late(recorded.deadline) {
        return Ok(CallEnd::Unsent);
    }
    let running = service.begin();
    let answered = service.call(recorded.service_call, RUN_TIMEOUT).await;
    drop(running);
    drop(permit);
    Ok(match answered {
        Ok(answer) => encode_answer(answer).map_or(CallEnd::Lost, CallEnd::Answered),
        Err(error) => end_of_failed(&error),
    })
}

/// Returns the refusal of a call that got no slot. Its key cannot be used again.
fn admission_refusal(refusal: limits::Refusal) -> Refusal {
    let refusal = refusal_of(refusal);
    let detail = format_smolstr!("{}; use a new key", refusal.detail);
    Refusal { detail, ..refusal }
}

fn end_of_failed(error: &PlatformError) -> CallEnd {
    if error.is_unsent() {
        return CallEnd::Unsent;
    }
    tracing::warn!(%error, "a call that may not be repeated has no answer");
    CallEnd::Lost
}

fn encode_answer(answer: ServiceAnswer) -> Option<Arc<[u8]>> {
    let Answer::Head {
        status, headers, ..
    } = answer_head(&answer)
    else {
        return None;
    };
    let body = Payload(answer.body);
    let bytes = codec::encode(&StoredAnswer {
        status,
        headers,
        body,
    })
    .ok()?;
    Some(bytes.into())
}

fn register_refusal(reason: dedupe::Refusal) -> Refusal {
    use dedupe::Refusal as Why;
    let (status, detail, retry) = match reason {
        Why::Tombstone => (
            409,
            "the call was not started and never will be with this key",
            None,
        ),
        Why::DeadlinePassed => (504, "the order came after its deadline", None),
        Why::Full(after) => (503, "no room for new calls; use a new key", Some(after)),
        Why::Saturated(after) => (503, "no room for new calls; use the same key", Some(after)),
        Why::Reused => (422, "the key was used for another call", None),
        Why::Lost => (502, "the call was started and its server lost", None),
        Why::Expired => (410, "the time of the key or ticket is over", None),
        Why::OtherHome => (503, "the home of the ticket is gone", None),
    };
    let outcome = reason.outcome();
    Refusal {
        retry,
        ..new_refusal(outcome, status, detail.into())
    }
}

fn claims_refusal(why: Denial) -> Refusal {
    let detail = format_smolstr!("not started: {why:?}");
    new_refusal(why.outcome(), 503, detail)
}
