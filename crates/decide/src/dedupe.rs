//! At-most-once execution of calls that may not be repeated.
//!
//! A call is bound to one [`Home`], and only the home's [`Register`] may start it. A [`Ticket`]
//! held by the caller carries this binding. An entry uses [`choose`] to decide where to send a
//! call.

mod key;
mod register;
mod route;
mod ticket;

pub use key::{CallKey, ClockReading, Home, fingerprint};
pub use register::{Order, Refusal, Register, RegisterDecision};
pub use route::{Binding, Choice, HomeStatus, Next, Reason, SentBytes, after_failure, choose};
pub use ticket::{MAX_TICKET_BYTES, Ticket, TicketError, is_reserved};
