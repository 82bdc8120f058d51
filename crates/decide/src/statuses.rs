//! Statuses of HTTP answers.

/// Whether an answer with `status` is the final one to its request.
///
/// 1xx only announce a final answer. Other numbers are no statuses of HTTP: a server that sends one
/// is at fault, and nothing in its answer can be relied on.
#[must_use]
pub const fn is_final(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// Whether callers take `status` for a promise that the request has not run and never will.
#[must_use]
pub const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
