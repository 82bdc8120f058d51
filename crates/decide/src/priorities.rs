//! Ranks of the priorities of a service's requests, in the order in which its engines admit them.

use std::time::Duration;

/// Maximum number of ranks of a service. Lower priorities share the last one.
pub const MAX_RANKS: usize = 4;

/// Rank of a request's priority among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    index: usize,
    count: usize,
    is_protected: bool,
}

impl Rank {
    /// Rank of all requests of a service whose requests have the same priority.
    pub const ONLY: Self = Self {
        index: 0,
        count: 1,
        is_protected: false,
    };

    /// The highest of two ranks.
    pub const URGENT: Self = Self {
        index: 0,
        count: 2,
        is_protected: false,
    };

    /// All ranks below [`Rank::URGENT`].
    pub const BELOW_URGENT: Self = Self {
        index: 1,
        ..Self::URGENT
    };

    /// Rank in the queue of an engine of a request whose caller was refused before. Engines admit
    /// such a request after the others; the highest rank keeps its forecast.
    #[must_use]
    pub const fn of_returning(self) -> Self {
        if self.index == 0 {
            return self;
        }
        Self {
            index: self.count - 1,
            ..self
        }
    }

    /// Number of higher ranks, below [`MAX_RANKS`].
    #[must_use]
    pub const fn index(&self) -> usize {
        self.index
    }

    /// Number of ranks of the service.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Whether this is the highest of several ranks.
    #[must_use]
    pub const fn is_highest(&self) -> bool {
        self.index == 0 && self.count > 1
    }

    /// Whether no rank is lower.
    #[must_use]
    pub const fn is_lowest(&self) -> bool {
        self.index + 1 >= self.count
    }

    /// Whether lower ranks get less capacity while this one is served less often.
    #[must_use]
    pub const fn is_protected(&self) -> bool {
        self.is_protected
    }
}

/// Priorities of the routes to one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServicePriorities {
    /// Distinct priorities in ascending order; 0 is the highest.
    routes: Vec<u8>,
    is_protected: bool,
}

impl ServicePriorities {
    /// Priorities of the routes with these priorities and latency objectives.
    ///
    /// Ranks are protected only if there are three or more, or if a lower priority has a longer
    /// objective: otherwise a lower priority is not admitted with a longer wait than a higher one.
    #[must_use]
    pub fn new(routes: &[(u8, Duration)]) -> Self {
        let mut priorities: Vec<_> = routes.iter().map(|(priority, _)| *priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let is_longer = |(priority, target): &(u8, Duration)| {
            let mut higher = routes.iter().filter(|(other, _)| other < priority);
            higher.any(|(_, other)| other < target)
        };
        Self {
            is_protected: priorities.len() > 2 || routes.iter().any(is_longer),
            routes: priorities,
        }
    }

    /// Rank of `priority` among those of the routes and of `accounts`, which are distinct.
    /// Without protection, all ranks below the highest are one.
    #[must_use]
    pub fn rank(&self, priority: u8, accounts: &[u8]) -> Rank {
        let others = || accounts.iter().filter(|p| !self.routes.contains(p));
        if !self.is_protected {
            let all = self.routes.iter().chain(others());
            let (Some(highest), Some(lowest)) = (all.min(), self.routes.last()) else {
                return Rank::ONLY;
            };
            return match (highest < lowest, priority == *highest) {
                (false, _) => Rank::ONLY,
                (true, true) => Rank::URGENT,
                (true, false) => Rank::BELOW_URGENT,
            };
        }
        let higher = self.routes.iter().chain(others());
        let index = higher.filter(|p| **p < priority).count();
        let count = self.routes.len() + others().count();
        let count = count.min(MAX_RANKS);
        Rank {
            index: index.min(count - 1),
            count,
            is_protected: true,
        }
    }
}
