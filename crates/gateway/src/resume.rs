//! Resumption of streams at another server.

use std::time::Duration;

use apricothall_types::MemberId;
use http::HeaderValue;
use http::header::CONTENT_TYPE;

use crate::exchange::exchange;
use crate::fleet::{Placed, Placement};
use crate::forwarder::{Forwarder, count_attempt};
use crate::in_flight::AntiAffinityGuard;
use crate::request::Call;
use crate::server_stream::ServerStream;

impl Forwarder {
    /// Resumes the stream of `call` at another server after event `last`, if the number of attempts
    /// and the retry budget allow it. Only a response with the content type `kind` goes on.
    pub async fn resume(
        &self,
        call: &Call,
        tried: &mut Vec<MemberId>,
        last: Option<u64>,
        kind: Option<&HeaderValue>,
    ) -> Option<ServerStream> {
        let allowed = usize::try_from(call.route.attempts).unwrap_or(usize::MAX);
        while call.route.resumable && tried.len() < allowed {
            let placed = match self.next_server(call, tried) {
                Ok(placed) => placed?,
                Err(reason) => {
                    tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), reason, "not resumed");
                    return None;
                }
            };
            tried.push(placed.server.id.clone());
            let address = placed.server.address;
            let _anti_affinity =
                AntiAffinityGuard::begin(&self.context, address, &call.fingerprint);
            let resume = last.or(call.resume);
            count_attempt(true);
            let sent = exchange(
                &self.context,
                &self.pool,
                call,
                &placed,
                resume,
                Duration::MAX,
            );
            match sent.await {
                Ok(answer)
                    if answer.status.is_success() && answer.headers.get(CONTENT_TYPE) == kind =>
                {
                    tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), server = %placed.server.id, ?last, "stream resumed");
                    let mut stream = ServerStream::new(answer, &placed, &self.context.body_budget);
                    stream.resuming = last.is_some();
                    return Some(stream);
                }
                Ok(answer) => {
                    tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), server = %placed.server.id, status = answer.status.as_u16(), "not resumed there");
                }
                Err(error) => {
                    tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), server = %placed.server.id, %error, "not resumed there");
                    let _ = self.record_error(&placed, error);
                }
            }
        }
        None
    }

    /// Selects the next server for a stream; `None` if the deadline has passed. An error is the
    /// reason for which the stream must not be resumed.
    fn next_server(
        &self,
        call: &Call,
        tried: &[MemberId],
    ) -> Result<Option<Box<Placed>>, &'static str> {
        let now = self.context.clock.now();
        if now >= call.deadline {
            return Ok(None);
        }
        if self
            .context
            .quarantine
            .verdict(&call.fingerprint, &call.parts)
            .is_some()
        {
            return Err("servers ended under it");
        }
        let fleet = &self.context.fleet;
        if !fleet.may_retry(&call.service, call.deadline, now) {
            return Err("the budget of repeats is used up");
        }
        match self.place_within(call, tried, Duration::ZERO, false, now) {
            Placement::Selected(placed) => Ok(Some(placed)),
            Placement::Limited(_) => Err("the limits of servers are reached"),
            Placement::Refused(_) | Placement::NoMemory(_) | Placement::NoServer => Err("no room"),
            Placement::Excluded(exclusion) => Err(exclusion.reason()),
            Placement::OnTrial(_) => Err("another entry tries a part of its prompt"),
        }
    }
}
