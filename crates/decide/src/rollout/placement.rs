//! Selection of the agents that serve an entry.

use std::collections::BTreeMap;

use apricothall_types::{MemberId, Zone};

use crate::rank;

/// An agent that may serve an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the agent.
    pub id: MemberId,
    /// Availability zone of the agent's VM.
    pub zone: Zone,
}

/// Selects `replicas` of the candidates, distributed over zones in proportion to their size.
///
/// Within a zone the highest-ranked agents by rendezvous hash are selected. Adding or removing one
/// candidate therefore moves at most that agent and, if the shares of zones change, one replica
/// per zone.
#[must_use]
pub fn place(entry: &str, replicas: u32, candidates: &[Candidate]) -> Vec<MemberId> {
    let mut zones: BTreeMap<&Zone, Vec<&MemberId>> = BTreeMap::new();
    for candidate in candidates {
        zones
            .entry(&candidate.zone)
            .or_default()
            .push(&candidate.id);
    }
    let total = candidates.len();
    let wanted = total.min(replicas as usize);
    let mut shares: Vec<_> = zones
        .into_iter()
        .map(|(zone, ids)| {
            (
                wanted * ids.len() / total,
                wanted * ids.len() % total,
                zone,
                ids,
            )
        })
        .collect();
    let given: usize = shares.iter().map(|(share, ..)| share).sum();
    shares.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.2.cmp(b.2)));
    for share in shares.iter_mut().take(wanted - given) {
        share.0 += 1;
    }
    let chosen = shares.into_iter().flat_map(|(share, _, _, ids)| {
        let ranked = rank::order(entry.as_bytes(), ids);
        ranked.into_iter().take(share).cloned()
    });
    let mut chosen: Vec<_> = chosen.collect();
    chosen.sort();
    chosen
}
