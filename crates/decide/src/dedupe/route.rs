//! Routing of calls that may not be repeated, and handling of failed attempts.

use apricothall_types::{CatalogueEntry, IdempotencyKey, Incarnation, MemberId, MemberState};
use apricothall_types::{Outcome, Timestamp};

use super::{Home, Ticket, is_reserved};
use crate::rank;

/// How a call finds its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Binding {
    /// The ticket names the home.
    Ticket,
    /// The agent that receives the call becomes the home by the claim protocol.
    Claims,
}

/// Why an entry refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The call has no idempotency key.
    KeyMissing,
    /// The key belongs to a ticket, which is missing.
    TicketMissing,
    /// The key does not belong to the ticket.
    KeyMismatch,
    /// The ticket is for another catalogue entry.
    OtherEntry,
    /// The home is no longer in the pool.
    NotInPool,
    /// The home is gone or has restarted, so its register is lost.
    HomeGone,
    /// No agent of the pool is alive.
    NoAgent,
}

/// Routing decision for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The call may be repeated; use ordinary routing.
    Any,
    /// Send the call to this home to be run.
    Run(Home, Binding),
    /// The home is leaving; query it for the answer or a tombstone, without running the call.
    Ask(Home),
    /// Refuse the call.
    Refuse(Reason, Outcome),
}

/// Decides where to send a call to `entry`. `view` returns the known state of a member.
pub fn choose(
    entry: &CatalogueEntry,
    key: Option<&IdempotencyKey>,
    ticket: Option<&Ticket>,
    view: impl Fn(&MemberId) -> Option<(Incarnation, MemberState)>,
) -> Choice {
    if entry.repeatable {
        return Choice::Any;
    }
    let Some(key) = key else {
        return Choice::Refuse(Reason::KeyMissing, Outcome::NotRun);
    };
    match ticket {
        Some(ticket) => by_ticket(entry, key, ticket, view),
        None if is_reserved(key) => Choice::Refuse(Reason::TicketMissing, Outcome::Unknown),
        None => by_key(entry, key, view),
    }
}

fn by_ticket(
    entry: &CatalogueEntry,
    key: &IdempotencyKey,
    ticket: &Ticket,
    view: impl Fn(&MemberId) -> Option<(Incarnation, MemberState)>,
) -> Choice {
    if !ticket.covers(key) {
        return Choice::Refuse(Reason::KeyMismatch, Outcome::Unknown);
    }
    if ticket.name != entry.name {
        return Choice::Refuse(Reason::OtherEntry, Outcome::NotRun);
    }
    if !entry.pool.contains(&ticket.home.id) {
        return Choice::Refuse(Reason::NotInPool, Outcome::Unknown);
    }
    let home = ticket.home.clone();
    match view(&home.id) {
        // The view may be older than the ticket, so a lower incarnation is accepted too.
        Some((seen, _)) if seen > home.incarnation => gone(),
        Some((_, MemberState::Alive)) => Choice::Run(home, Binding::Ticket),
        Some((_, MemberState::Leaving)) => Choice::Ask(home),
        Some((_, MemberState::Gone)) | None => gone(),
    }
}

fn gone() -> Choice {
    Choice::Refuse(Reason::HomeGone, Outcome::Unknown)
}

fn by_key(
    entry: &CatalogueEntry,
    key: &IdempotencyKey,
    view: impl Fn(&MemberId) -> Option<(Incarnation, MemberState)>,
) -> Choice {
    let ranked = rank::order(key.as_str().as_bytes(), &entry.pool);
    let alive = ranked.into_iter().find_map(|id| match view(id) {
        Some((incarnation, MemberState::Alive)) => Some((id, incarnation)),
        _ => None,
    });
    // An earlier attempt may have run on an agent that is gone by now.
    let Some((id, incarnation)) = alive else {
        return Choice::Refuse(Reason::NoAgent, Outcome::Unknown);
    };
    let id = id.clone();
    Choice::Run(Home { id, incarnation }, Binding::Claims)
}

/// How much of a call was written before the attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentBytes {
    /// No byte was written.
    Nothing,
    /// Some or all bytes were written.
    Some,
}

/// State of the home after a failed attempt, as known to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeStatus {
    /// The same incarnation may still answer.
    Same,
    /// The home is gone or has another incarnation.
    Gone,
}

/// Next action of the entry after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Query the home for the answer or a tombstone.
    QueryHome,
    /// Return this outcome to the caller.
    Answer(Outcome),
}

/// Decides what to do after a failed attempt. `binding` is `None` for calls without a key.
///
/// For a call with a key, an attempt that wrote no byte does not prove `not_run`, because an
/// earlier attempt through another entry may have run.
#[must_use]
pub fn after_failure(
    binding: Option<Binding>,
    sent: SentBytes,
    home: HomeStatus,
    deadline: Timestamp,
    now: Timestamp,
) -> Next {
    let Some(_) = binding else {
        return Next::Answer(match sent {
            SentBytes::Nothing => Outcome::NotRun,
            SentBytes::Some => Outcome::Unknown,
        });
    };
    if home == HomeStatus::Same && now < deadline {
        return Next::QueryHome;
    }
    Next::Answer(Outcome::Unknown)
}

impl Binding {
    /// Outcome that follows from a tombstone at the queried agent. Without a ticket, another agent
    /// may have run the key.
    #[must_use]
    pub const fn tombstone(self) -> Outcome {
        match self {
            Self::Ticket => Outcome::NotRun,
            Self::Claims => Outcome::Unknown,
        }
    }
}
