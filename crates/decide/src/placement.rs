//! Server selection for a request, with a retry delay if it is refused.

use std::time::Duration;

use rand::Rng;

use crate::outlier::Permit;

/// Percentage of the usual margin below which a request leaves half of the slots free.
const HALF_PERCENT: u32 = 50;

/// Topological distance between an entry and a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Another zone of the same region.
    Region,
    /// Another region.
    Far,
}

/// A server that could handle the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Distance to the server.
    pub distance: Distance,
    /// Whether this entry is the primary sender of its zone for the server.
    pub is_primary: bool,
    /// Whether outlier detection allows a request.
    pub permit: Permit,
    /// Predicted time until the first event, or until the answer.
    pub latency: Duration,
    /// Longest pause that the request would cause in other streams; zero for a plain service.
    pub pause: Duration,
    /// Whether the server has a free slot, which a refusal would leave unused.
    pub has_free_slot: bool,
    /// Whether less than half of the slots are occupied.
    pub under_half_full: bool,
}

/// Part of its objective that the predicted latency of a request may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Margin {
    /// The configured margin.
    #[default]
    Usual,
    /// A percentage of the configured margin, while higher priorities are served less often.
    Reduced {
        /// The percentage.
        percent: u32,
    },
    /// The whole objective, with the rules of a new request, for a client account that is served
    /// much less often than others.
    Whole,
}

impl Margin {
    /// Percentage of the usual part of the servers' slots that the request may use.
    const fn slot_percent(self) -> u32 {
        match self {
            Self::Usual | Self::Whole => 100,
            Self::Reduced { percent } => percent,
        }
    }
}

/// Latency requirements of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Remaining time of the latency objective; zero once it has passed.
    pub objective: Duration,
    /// Whether the caller was refused before. Its objective is then missed already, and requests
    /// that can still meet theirs come first.
    pub is_retry: bool,
    /// Longest wait after which an answer is still useful.
    pub max_wait: Duration,
    /// Maximum pause in a stream, if bounded.
    pub max_pause: Option<Duration>,
    /// Part of the objective that may be used.
    pub margin: Margin,
}

impl Requirements {
    /// Whether requests that can still meet their objective come first.
    fn yields(&self) -> bool {
        self.is_retry && self.margin != Margin::Whole
    }
}

/// Result of a server selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to the candidate with this index.
    Send(usize),
    /// Refuse the request; capacity may be available after this time.
    Refuse(Duration),
    /// No server is available for the request.
    NoServer,
}

/// Cost parameters of the server selection.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// Added latency cost of a server in another zone.
    pub zone_cost: Duration,
    /// Added latency cost of a server in another region.
    pub far_cost: Duration,
    /// Added latency cost of a server in this zone whose primary sender is another entry. With one
    /// primary sender per server, that sender has the server's load without delay.
    pub shared_cost: Duration,
    /// Servers whose cost exceeds the lowest by no more than this count as equal.
    pub tie_tolerance: Duration,
    /// Share of the objective that the predicted latency may use, in percent.
    pub margin: u32,
    /// Share of the objective that the predicted latency may use for a caller that was refused
    /// before, in percent. It is lower, so that retried requests leave enough capacity for new
    /// requests to meet their objective.
    pub return_margin: u32,
}

impl PlacementConfig {
    /// Maximum predicted latency at which a request is accepted.
    #[must_use]
    pub fn limit(&self, need: Requirements) -> Duration {
        if !need.yields() && need.objective.is_zero() {
            return need.max_wait;
        }
        let usual = if need.yields() {
            self.return_margin
        } else {
            self.margin
        };
        match need.margin {
            Margin::Usual => need.objective * usual / 100,
            Margin::Reduced { percent } => need.objective * usual / 100 * percent / 100,
            Margin::Whole => need.objective,
        }
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

/// Selects one of `candidates` for a request.
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
    let max_pause = need
        .max_pause
        .map_or(Duration::MAX, |pause| pause * config.margin / 100);
    // If all candidates are ejected, trying one is still better than a certain refusal.
    let any_open = candidates.iter().any(|c| c.permit == Permit::Open);
    let is_eligible = |c: &Candidate| !any_open || c.permit == Permit::Open;
    let any_within_pause = candidates
        .iter()
        .any(|c| is_eligible(c) && c.pause <= max_pause);
    let eligible = || {
        let all = candidates.iter().enumerate();
        all.filter(|(_, c)| is_eligible(c) && (!any_within_pause || c.pause <= max_pause))
    };
    let Some(best) = eligible().map(|(_, c)| cost(c)).min() else {
        return Choice::NoServer;
    };
    let cheapest: Vec<_> = eligible()
        .filter(|(_, c)| cost(c) <= best + config.tie_tolerance)
        .collect();
    let (index, chosen) = cheapest[rng.random_range(0..cheapest.len())];
    let limit = config.limit(need);
    // Retried requests leave the last free slots to new requests that can still be served in time,
    // and those of lower priorities leave them to higher ones that are served less often.
    let has_spare_slot = if need.yields() || need.margin.slot_percent() < HALF_PERCENT {
        chosen.under_half_full
    } else {
        chosen.has_free_slot
    };
    if chosen.latency <= limit && any_within_pause || has_spare_slot && chosen.pause <= max_pause {
        return Choice::Send(index);
    }
    let excess = chosen.latency.saturating_sub(limit);
    Choice::Refuse(excess.max(chosen.pause.saturating_sub(max_pause)))
}
