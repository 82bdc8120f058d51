//! Runs a call to a plain service.

use apricothall_clients::{PlatformError, ServiceAnswer, ServiceCall};
use apricothall_fleet::Trace;
use apricothall_types::Outcome;
use apricothall_wire::{Answer, Call, Header, Order, Payload, Refusal, WireError};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use smol_str::{SmolStr, ToSmolStr};

use crate::keyed;
use crate::refusal::new_refusal;
use crate::run::{AnswerSender, Runner, refused};

/// Response headers that apply to a single connection or are set again by the entry.
const UNFORWARDED_HEADERS: [&str; 5] = [
    "connection",
    "content-length",
    "host",
    "transfer-encoding",
    "traceparent",
];

/// Runs `order` and returns the last frame of its answer.
///
/// # Errors
/// When the connection to the entry is lost.
pub async fn run(
    runner: &Runner,
    order: &Order,
    trace: Trace,
    reply: &mut AnswerSender,
) -> Result<Answer, WireError> {
    if let Some(once) = &order.once {
        return keyed::run(runner, order, once, trace, reply).await;
    }
    let Some(service) = runner.servers.service(&order.name) else {
        let refusal = new_refusal(Outcome::NotRun, 503, "no such service on this VM".into());
        return Ok(refused(refusal, runner.servers.load()));
    };
    let Some(call) = call_of(order, trace) else {
        let refusal = new_refusal(Outcome::NotRun, 400, "the call is malformed".into());
        return Ok(refused(refusal, runner.servers.load()));
    };
    let calls = &runner.claim_service.calls;
    let deadline = calls.deadline(order.sent, order.budget);
    let admitted = runner.admit(&service.gate, order, deadline, reply);
    let permit = match admitted.await? {
        Ok(permit) => permit,
        Err(refusal) => return Ok(refused(refusal, runner.servers.load())),
    };
    let running = service.begin();
    let answered = service.call(call, calls.left(deadline)).await;
    drop(running);
    drop(permit);
    let load = runner.servers.load();
    match answered {
        Ok(answer) => {
            let length = answer.body.len() as u64;
            reply.send(answer_head(&answer)).await?;
            reply.send(Answer::Data(Payload(answer.body))).await?;
            Ok(Answer::End { length, load })
        }
        Err(error) => Ok(refused(call_refusal(&error), load)),
    }
}

/// Returns the service call of an order, or `None` if it is malformed.
pub(crate) fn call_of(order: &Order, trace: Trace) -> Option<ServiceCall> {
    let Call::Service {
        method,
        path,
        headers,
        body,
    } = &order.call
    else {
        return None;
    };
    let mut forwarded = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        forwarded.append(name, HeaderValue::from_str(&header.value).ok()?);
    }
    Some(ServiceCall {
        request: order.request,
        method: Method::from_bytes(method.as_bytes()).ok()?,
        path: path.clone(),
        headers: forwarded,
        body: body.0.clone(),
        trace: trace.to_smolstr(),
    })
}

/// Returns the head of the answer for the entry.
pub(crate) fn answer_head(answer: &ServiceAnswer) -> Answer {
    let forwarded_headers = answer
        .headers
        .iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()));
    let headers = forwarded_headers.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().into(),
            value: SmolStr::new(value.to_str().ok()?),
        })
    });
    Answer::Head {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        version: None,
    }
}

fn call_refusal(error: &PlatformError) -> Refusal {
    if error.is_unsent() {
        return new_refusal(Outcome::NotRun, 503, error.to_smolstr());
    }
    Refusal {
        retry: None,
        ..new_refusal(Outcome::Unknown, 502, error.to_smolstr())
    }
}
