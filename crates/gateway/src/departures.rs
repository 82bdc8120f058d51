//! Callers that leave before their answer begins.

use apricothall_types::{MemberId, Timestamp};

use crate::Context;
use crate::fleet::CallEnd;
use crate::log_budgets::millis;
use crate::request::Call;

/// Logs that the caller left if it is dropped before an answer is ready. The request is then
/// cancelled at the server that has it.
pub struct DepartureWatch<'a> {
    context: &'a Context,
    call: &'a Call,
    attempts: u32,
    current: Option<(MemberId, Timestamp)>,
    answered: bool,
}

impl<'a> DepartureWatch<'a> {
    /// Watches for the departure of the caller of `call`.
    #[must_use]
    pub const fn new(context: &'a Context, call: &'a Call) -> Self {
        Self {
            context,
            call,
            attempts: 0,
            current: None,
            answered: false,
        }
    }

    /// Records that an attempt at `server` begins.
    pub fn attempt_started(&mut self, server: &MemberId, now: Timestamp) {
        self.attempts += 1;
        self.current = Some((server.clone(), now));
    }

    /// Records that an answer is ready.
    pub const fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for DepartureWatch<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        metrics::counter!("apricothall_callers_left_total").increment(1);
        let now = self.context.clock.now();
        let fleet = &self.context.fleet;
        fleet.record_end(self.call, CallEnd::CallerLeft, now);
        if !self.context.log_budgets.allow_failure(now) {
            return;
        }
        let server = self.current.as_ref().map(|(server, _)| server.as_str());
        let attempt_ms = self.current.as_ref().map(|(_, at)| millis(now.since(*at)));
        let call = self.call;
        tracing::info!(request = %call.id, fingerprint = %call.fingerprint.short(), service = %call.service, attempts = self.attempts, server, attempt_ms, waited_ms = millis(now.since(call.arrival)), "caller left before an answer");
    }
}
