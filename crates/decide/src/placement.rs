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
    /// Whether this entry goes before the others of its zone there.
    pub is_primary: bool,
    /// Whether its recent results allow a request.
    pub permit: Permit,
    /// Predicted time to the first event, or to the answer.
    pub latency: Duration,
    /// Longest pause that the request would cause there; zero for a plain service.
    pub pause: Duration,
    /// Whether it has a free place, so that a refusal would waste it.
    pub has_free_slot: bool,
    /// Whether under half of its places are taken.
    pub under_half_full: bool,
}

/// What the request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Time left of its latency objective; zero once it is over.
    pub objective: Duration,
    /// Whether its caller was refused before, so that the objective is over for the caller and
    /// room goes to those first who can still be served within it.
    pub is_retry: bool,
    /// Longest wait after which an answer still helps.
    pub max_wait: Duration,
    /// Longest pause that streams may have, if there is a bound.
    pub max_pause: Option<Duration>,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to the candidate with this index.
    Send(usize),
    /// Refuse it; there may be room after this time.
    Refuse(Duration),
    /// No server is known to take it.
    NoServer,
}

/// Weights of a choice.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// What a server in another zone costs, as latency.
    pub zone_cost: Duration,
    /// What a server in another region costs, as latency.
    pub far_cost: Duration,
    /// What a server costs that another entry of the zone goes before at, as latency. Where each
    /// server has one main sender, that one knows its load without delay.
    pub shared_cost: Duration,
    /// Servers whose costs differ by less count as equal.
    pub tie_tolerance: Duration,
    /// Part of the objective that a prediction may take, in percent.
    pub margin: u32,
    /// The same for a caller that was refused before. It is less, so that those who come back
    /// fill no server beyond what others can still be served behind.
    pub return_margin: u32,
}

impl PlacementConfig {
    /// Longest predicted wait of a request.
    fn limit(&self, need: Requirements) -> Duration {
        if need.is_retry {
            return need.objective * self.return_margin / 100;
        }
        if need.objective.is_zero() {
            return need.max_wait;
        }
        need.objective * self.margin / 100
    }
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            zone_cost: Duration::from_millis(30),
            far_cost: Duration::from_millis(45),
            shared_cost: Duration::from_millis(15),
            tie_tolerance: Duration::from_millis(6),
            margin: 85,
            return_margin: 40,
        }
    }
}

/// Chooses among `candidates`.
pub fn choose(
    config: &PlacementConfig,
    candidates: &[Candidate],
    need: Requirements,
    rng: &mut impl Rng,
) -> Choice {
    if let Some(probe) = candidates
        .iter()
        .position(|c| c.permit == Permit::Probe && c.has_free_slot)
    {
        return Choice::Send(probe);
    }
    let cost = |c: &Candidate| {
        c.latency
            + match c.distance {
                Distance::Zone if c.is_primary => Duration::ZERO,
                Distance::Zone => config.shared_cost,
                Distance::Region => config.zone_cost,
                Distance::Far => config.far_cost,
            }
    };
    let gap = need
        .max_pause
        .map_or(Duration::MAX, |gap| gap * config.margin / 100);
    // With none that looks sound, one that does not is still better than a sure refusal.
    let sound = candidates.iter().any(|c| c.permit == Permit::Open);
    let is_open = |c: &Candidate| !sound || c.permit == Permit::Open;
    let calm = candidates.iter().any(|c| is_open(c) && c.pause <= gap);
    let open = || {
        let all = candidates.iter().enumerate();
        all.filter(|(_, c)| is_open(c) && (!calm || c.pause <= gap))
    };
    let Some(best) = open().map(|(_, c)| cost(c)).min() else {
        return Choice::NoServer;
    };
    let near: Vec<_> = open()
        .filter(|(_, c)| cost(c) <= best + config.tie_tolerance)
        .collect();
    let (index, chosen) = near[rng.random_range(0..near.len())];
    let limit = config.limit(need);
    // A free place is soon wanted by someone who can still be served in time.
    let spare = if need.is_retry {
        chosen.under_half_full
    } else {
        chosen.has_free_slot
    };
    if chosen.latency <= limit && calm || spare && chosen.pause <= gap {
        return Choice::Send(index);
    }
    let over = chosen.latency.saturating_sub(limit);
    Choice::Refuse(over.max(chosen.pause.saturating_sub(gap)))
}
