//! Placement of requests on servers by fingerprint.
//!
//! Each fingerprint has a pair of servers, the first two by rank. All entries compute the same
//! pair, so a request that crashes servers reaches only these two before its record has spread.

use std::ops::Range;

use apricothall_types::{Digest, MemberId};

use super::{Records, Standing};
use crate::rank;

/// Number of servers that a fingerprint may be sent to while its standing is not known everywhere.
const PAIR_SIZE: usize = 2;

/// Decision on where to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To one of these servers, in any batch; routing selects one by load.
    Shared(Vec<MemberId>),
    /// To this server, to run alone.
    Alone(MemberId),
    /// Refuse the request permanently.
    Refuse,
    /// Refuse the request for now; it was not run, and the caller may retry later.
    Later,
}

/// The pair of servers for a fingerprint; `servers` as for [`place`].
#[must_use]
pub fn pair<'a>(fingerprint: &Digest, servers: &'a [MemberId]) -> Vec<&'a MemberId> {
    let mut ranked = rank::order(&fingerprint.0, servers);
    ranked.truncate(PAIR_SIZE);
    ranked
}

/// Decides where to send a request. `servers` must include recently crashed servers, so that the
/// pair does not change; `usable` returns whether a server accepts work.
pub fn place(
    records: &Records,
    fingerprint: &Digest,
    servers: &[MemberId],
    usable: impl Fn(&MemberId) -> bool,
) -> Placement {
    place_within(records, fingerprint, servers, usable, 0..PAIR_SIZE)
}

/// Decides where to send a request that cannot wait while its pair is down. Only the next server by
/// rank is considered, so that a request which crashes servers reaches at most three of them.
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

/// Decision of an agent on a request for its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// Run it in the current batch.
    Share,
    /// Run it alone: wait until the server is idle, and let no other request join.
    Alone,
    /// Do not run it here; the entry may try the other server of the pair.
    Elsewhere,
    /// Refuse it permanently.
    Refuse,
}

/// Decides on a request at agent `me`, whose records may be newer than the entry's.
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
