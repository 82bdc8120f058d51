//! Which server an entry sends a fingerprint to.
//!
//! Each fingerprint has a pair of servers, the first two by rank. All entries agree on the pair,
//! so a request that crashes its servers meets two of them before the news has spread.

use std::ops::Range;

use apricothall_types::{Digest, MemberId};

use super::{Records, Standing};
use crate::rank;

/// Servers that a fingerprint may be sent to while its standing is not known everywhere.
const PAIR_SIZE: usize = 2;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To one of these, in any batch; routing picks by load.
    Shared(Vec<MemberId>),
    /// To this one, to run alone.
    Alone(MemberId),
    /// Nowhere: a final answer.
    Refuse,
    /// Nowhere for now: not run, and the caller may come back later.
    Later,
}

/// The pair of a fingerprint, of `servers` as for [`place`].
#[must_use]
pub fn pair<'a>(fingerprint: &Digest, servers: &'a [MemberId]) -> Vec<&'a MemberId> {
    let mut ranked = rank::order(&fingerprint.0, servers);
    ranked.truncate(PAIR_SIZE);
    ranked
}

/// Decides where a request goes. `servers` holds all that serve it, those that crashed lately
/// included, so that the pair does not move; `usable` tells which of them take work.
pub fn place(
    records: &Records,
    fingerprint: &Digest,
    servers: &[MemberId],
    usable: impl Fn(&MemberId) -> bool,
) -> Placement {
    place_within(records, fingerprint, servers, usable, 0..PAIR_SIZE)
}

/// Decides where a request goes whose pair is down and that cannot wait: to the next server by
/// rank only, so that a request that crashes servers meets three of them at most.
pub fn place_fallback(
    records: &Records,
    fingerprint: &Digest,
    servers: &[MemberId],
    usable: impl Fn(&MemberId) -> bool,
) -> Placement {
    place_within(
        records,
        fingerprint,
        servers,
        usable,
        PAIR_SIZE..PAIR_SIZE + 1,
    )
}

fn place_within(
    records: &Records,
    fingerprint: &Digest,
    servers: &[MemberId],
    usable: impl Fn(&MemberId) -> bool,
    ranks: Range<usize>,
) -> Placement {
    let standing = records.standing(fingerprint);
    if standing == Standing::Condemned {
        return Placement::Refuse;
    }
    let ranked = rank::order(&fingerprint.0, servers).into_iter();
    let open = ranked
        .skip(ranks.start)
        .take(ranks.len())
        .filter(|id| usable(id));
    let mut open = open
        .filter(|id| !records.is_barred(fingerprint, id))
        .cloned();
    if standing == Standing::Suspect {
        return open.next().map_or(Placement::Later, Placement::Alone);
    }
    let pair: Vec<_> = open.collect();
    if pair.is_empty() {
        return Placement::Later;
    }
    Placement::Shared(pair)
}

/// What an agent does with a request that arrives for its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// It joins the batch.
    Share,
    /// It waits until nothing else runs, and nothing joins it.
    Alone,
    /// Not run here; the entry may try the other server of the pair.
    Elsewhere,
    /// Refused with a final answer.
    Refuse,
}

/// Decides on a request at the agent `me`, which may know more than the entry did.
#[must_use]
pub fn check_arrival(records: &Records, fingerprint: &Digest, me: &MemberId) -> ArrivalDecision {
    if records.standing(fingerprint) == Standing::Condemned {
        return ArrivalDecision::Refuse;
    }
    if records.is_barred(fingerprint, me) {
        return ArrivalDecision::Elsewhere;
    }
    match records.standing(fingerprint) {
        Standing::Suspect => ArrivalDecision::Alone,
        _ => ArrivalDecision::Share,
    }
}
