//! Refusals of orders.

use std::time::Duration;

use apricothall_types::Outcome;
use apricothall_wire::Refusal;
use smol_str::SmolStr;

/// Delay to suggest to the caller after a transient refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Creates a refusal after which a retry may succeed.
#[must_use]
pub fn new_refusal(outcome: Outcome, status: u16, detail: SmolStr) -> Refusal {
    Refusal {
        outcome,
        status,
        detail,
        retry: Some(RETRY_AFTER),
    }
}
