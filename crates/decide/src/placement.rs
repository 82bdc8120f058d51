//! Where a request goes, or when it should come back.

use std::time::Duration;

use rand::Rng;

use crate::outlier::Permit;

/// How far a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    Far,
}

/// A server that could take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// How far it is.
    pub distance: Distance,
    /// Whether its recent results allow a request.
    pub permit: Permit,
    /// Predicted time to the first event, or to the answer.
    pub latency: Duration,
    /// Whether it has a free place, so that a refusal would waste it.
    pub free: bool,
}

/// What the request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Time left of its latency objective; zero for a caller that comes back late.
    pub objective: Duration,
    /// Longest wait after which an answer still helps.
    pub patience: Duration,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to the candidate with this index.
    Send(usize),
    /// Refuse it; there may be room after this time.
    Refuse(Duration),
    /// No server is known to take it.
    Nobody,
}

/// Weights of a choice.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// What a server in another zone costs, as latency.
    pub zone_cost: Duration,
    /// What a server in another region costs, as latency.
    pub far_cost: Duration,
    /// Servers whose costs differ by less count as equal.
    pub slack: Duration,
    /// Part of the objective that a prediction may take, in percent.
    pub margin: u32,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            zone_cost: Duration::from_millis(30),
            far_cost: Duration::from_millis(45),
            slack: Duration::from_millis(8),
            margin: 85,
        }
    }
}

/// Chooses among `candidates`.
pub fn choose(
    config: &PlacementConfig,
    candidates: &[Candidate],
    need: Need,
    rng: &mut impl Rng,
) -> Choice {
    if let Some(probe) = candidates
        .iter()
        .position(|c| c.permit == Permit::Probe && c.free)
    {
        return Choice::Send(probe);
    }
    let cost = |c: &Candidate| {
        c.latency
            + match c.distance {
                Distance::Zone => Duration::ZERO,
                Distance::Region => config.zone_cost,
                Distance::Far => config.far_cost,
            }
    };
    let open = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| c.permit == Permit::Open)
    };
    let Some(best) = open().map(|(_, c)| cost(c)).min() else {
        return Choice::Nobody;
    };
    let near: Vec<_> = open()
        .filter(|(_, c)| cost(c) <= best + config.slack)
        .collect();
    let (index, chosen) = near[rng.random_range(0..near.len())];
    let wanted = need.objective * config.margin / 100;
    let limit = if need.objective.is_zero() {
        need.patience
    } else {
        wanted
    };
    if chosen.latency <= limit || chosen.free {
        return Choice::Send(index);
    }
    Choice::Refuse(chosen.latency.saturating_sub(limit))
}
