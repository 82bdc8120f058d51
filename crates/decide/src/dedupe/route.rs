//! Where an entry sends a call that may not be repeated, and what it says when that fails.

use apricothall_types::{CatalogueEntry, IdempotencyKey, Incarnation, MemberId, MemberState};
use apricothall_types::{Outcome, Timestamp};

use super::{Home, Ticket, is_reserved};
use crate::rank;

/// How a call finds its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Binding {
    /// The ticket names it.
    Ticket,
    /// The agent that is asked finds out by claims.
    Claims,
}

/// Why a call is refused at the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The call has no idempotency key.
    KeyMissing,
    /// The key was made for a ticket, which is missing.
    TicketMissing,
    /// The key was not made for the ticket.
    KeyMismatch,
    /// The ticket is for another catalogue entry.
    OtherEntry,
    /// The home left the pool.
    NotInPool,
    /// The home is gone or started anew, and with it what it knew.
    HomeGone,
    /// No agent of the pool is alive.
    NoAgent,
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Calls of the entry may be repeated: ordinary routing.
    Any,
    /// To this home, to be run.
    Run(Home, Binding),
    /// The home is leaving: ask it for the answer or a tombstone, not for a run.
    Ask(Home),
    /// Nowhere.
    Refuse(Reason, Outcome),
}

/// Decides where a call to `entry` goes. `view` tells what is known of a member.
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
        // A view may lag behind the ticket, so a lower incarnation is tried as well.
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
    // An earlier attempt may have run at an agent that is gone by now.
    let Some((id, incarnation)) = alive else {
        return Choice::Refuse(Reason::NoAgent, Outcome::Unknown);
    };
    let id = id.clone();
    Choice::Run(Home { id, incarnation }, Binding::Claims)
}

/// What of a call was written before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentBytes {
    /// No byte was written.
    Nothing,
    /// Some or all bytes were written.
    Some,
}

/// What an entry sees of the home after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeStatus {
    /// The same incarnation may still answer.
    Same,
    /// It is gone or has another incarnation.
    Gone,
}

/// What the entry does after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask the home for the answer or a tombstone.
    QueryHome,
    /// Give the final answer.
    Answer(Outcome),
}

/// Decides what follows a failed attempt. `binding` is absent for calls without a key.
///
/// With a key, not even an attempt that wrote no byte proves `not_run`, because an earlier attempt
/// through another entry may have run.
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
    /// What a tombstone at the asked agent proves: with claims another agent may have run the key.
    #[must_use]
    pub const fn tombstone(self) -> Outcome {
        match self {
            Self::Ticket => Outcome::NotRun,
            Self::Claims => Outcome::Unknown,
        }
    }
}
