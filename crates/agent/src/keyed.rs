//! Runs a call that may not be repeated.
//!
//! The call to the service goes on when the entry is lost; its answer is kept for the retry. The
//! register records the start before the call waits for a slot, so that copies wait for the same
//! end; a call that gets no slot is buried there and never runs.

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
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::oneshot;

use crate::admission::refusal_of;
use crate::claims::Claimant;
use crate::register::{End, Keyed, Step};
use crate::run::{Reply, Runner, refused};
use crate::servers::Service;
use crate::service_call::{call_of, head};

/// Longest run of a call, which may outlast the caller's deadline.
const RUN_LIMIT: Duration = Duration::from_mins(1);

/// When to come back after a refusal that passes.
const RETRY: Duration = Duration::from_secs(1);

/// An answer in the form in which the register keeps it.
#[derive(Serialize, Deserialize)]
struct Kept {
    status: u16,
    headers: Vec<Header>,
    body: Payload,
}

/// Runs `order`, or finds out what became of it, and returns the last step of its answer.
///
/// # Errors
/// When the entry has gone.
pub async fn run(
    runner: &Runner,
    order: &Order,
    once: &OnceCall,
    trace: Trace,
    reply: &mut Reply,
) -> Result<Answer, WireError> {
    let calls = &runner.claimant.calls;
    let mut once = once.clone();
    // A leaving agent starts nothing, but still tells what became of a call.
    once.lookup_only |= runner.is_leaving();
    let call = Keyed {
        name: order.name.clone(),
        request: order.request,
        once,
        deadline: calls.deadline(order.sent, order.budget),
    };
    let started = runner
        .servers
        .service(&order.name)
        .zip(call_of(order, trace));
    let Some((service, made)) = started else {
        let refusal = refusal(Outcome::Unknown, 503, "no such service on this VM".into());
        return Ok(refused(refusal, runner.servers.load()));
    };
    let kept = match conclude(runner, order.class, &call, &service, &made).await {
        Ok(kept) => kept,
        Err(refusal) => return Ok(refused(refusal, runner.servers.load())),
    };
    let kept: Kept = codec::decode(&kept)?;
    let length = kept.body.len() as u64;
    let (status, headers) = (kept.status, kept.headers);
    let version = None;
    reply
        .send(Answer::Head {
            status,
            headers,
            version,
        })
        .await?;
    reply.send(Answer::Data(kept.body)).await?;
    let load = runner.servers.load();
    Ok(Answer::End { length, load })
}

/// Follows the call until its answer is known or it is refused.
async fn conclude(
    runner: &Runner,
    class: Class,
    call: &Keyed,
    service: &Arc<Service>,
    made: &ServiceCall,
) -> Result<Arc<[u8]>, Refusal> {
    let calls = &runner.claimant.calls;
    let mut declined = None;
    let mut step = calls.order(call);
    loop {
        step = match step {
            Step::Claim(ask, ids) => runner.claimant.claim(call, &ask, &ids).await,
            Step::Run => {
                let job = Job {
                    service: service.clone(),
                    made: made.clone(),
                    class,
                    deadline: call.deadline,
                };
                declined = Some(start(runner, call.once.key, job));
                calls.order(call)
            }
            Step::Wait(mut end) => {
                // The sender is dropped at the end of the call, which is an error here.
                let ended = tokio::time::timeout(calls.left(call.deadline), end.changed()).await;
                if ended.is_err() {
                    return Err(refusal(
                        Outcome::Unknown,
                        504,
                        "the call has not ended".into(),
                    ));
                }
                calls.order(call)
            }
            Step::Replay(answer) => return Ok(answer),
            Step::Ran => {
                let detail = "the call ran; its answer is no longer kept".into();
                return Err(Refusal {
                    retry: None,
                    ..refusal(Outcome::Unknown, 409, detail)
                });
            }
            Step::Refuse(why) => {
                let told = declined.and_then(|mut told| told.try_recv().ok());
                return Err(told.unwrap_or_else(|| by_register(why)));
            }
            Step::Deny(why) => return Err(by_claims(why)),
            Step::Unseen => {
                return Err(refusal(
                    Outcome::Unknown,
                    503,
                    "not seen by this agent".into(),
                ));
            }
        };
    }
}

/// A call whose start is recorded.
struct Job {
    service: Arc<Service>,
    made: ServiceCall,
    class: Class,
    deadline: Timestamp,
}

/// Makes the call in a task of its own, which counts as work in progress. The receiver gets the
/// refusal, if the call gets no slot, before the register is told.
fn start(runner: &Runner, key: CallKey, job: Job) -> oneshot::Receiver<Refusal> {
    metrics::counter!("apricothall_once_started_total").increment(1);
    let work = runner.begin();
    let claimant = runner.claimant.clone();
    let (sender, told) = oneshot::channel();
    tokio::spawn(async move {
        let end = make(&claimant, job).await.unwrap_or_else(|refusal| {
            // An error means that nobody waits for it.
            let _ = sender.send(refusal);
            End::Unsent
        });
        claimant.calls.end(key, end);
        drop(work);
    });
    told
}

/// Waits for a slot and makes the call.
async fn make(claimant: &Claimant, job: Job) -> Result<End, Refusal> {
    let service = &job.service;
    let entered = service.gate.enter(job.class, job.deadline).await;
    let permit = entered.map_err(unadmitted)?;
    // The process may have been frozen since the start was recorded.
    if claimant.calls.is_late(job.deadline) {
        return Ok(End::Unsent);
    }
    let running = service.begin();
    let answered = service.client.call(job.made, RUN_LIMIT).await;
    drop(running);
    drop(permit);
    Ok(match answered {
        Ok(answer) => kept(answer).map_or(End::Lost, End::Answered),
        Err(error) => lost(&error),
    })
}

/// The refusal of a call that got no slot: its key is used up.
fn unadmitted(refusal: limits::Refusal) -> Refusal {
    let refusal = refusal_of(refusal);
    let detail = format_smolstr!("{}; use a new key", refusal.detail);
    Refusal { detail, ..refusal }
}

fn lost(error: &PlatformError) -> End {
    if error.is_unsent() {
        return End::Unsent;
    }
    tracing::warn!(%error, "a call that may not be repeated has no answer");
    End::Lost
}

fn kept(answer: ServiceAnswer) -> Option<Arc<[u8]>> {
    let Answer::Head {
        status, headers, ..
    } = head(&answer)
    else {
        return None;
    };
    let body = Payload(answer.body);
    let bytes = codec::encode(&Kept {
        status,
        headers,
        body,
    })
    .ok()?;
    Some(bytes.into())
}

fn by_register(why: dedupe::Refusal) -> Refusal {
    use dedupe::Refusal as Why;
    let (status, detail, retry) = match why {
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
    let outcome = why.outcome();
    Refusal {
        retry,
        ..refusal(outcome, status, detail.into())
    }
}

fn by_claims(why: Denial) -> Refusal {
    let detail = format_smolstr!("not started: {why:?}");
    refusal(why.outcome(), 503, detail)
}

fn refusal(outcome: Outcome, status: u16, detail: SmolStr) -> Refusal {
    let retry = Some(RETRY);
    Refusal {
        outcome,
        status,
        detail,
        retry,
    }
}
