//! The users' rules for requests that crash servers.

use super::{CONTACT, COUNTED_CRASHES, World};

/// Requests that may reach engines later.
const MAX_LATE: usize = 3;

/// Number of engines of a small site.
const SMALL_SITE: usize = 16;

/// Engines that a part may crash at a small site, where the users' aim is fewer than 16 in all.
const MAX_CRASHES: usize = 15;

impl World {
    /// What the users' rules say of the run.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut last_bound = None;
        for (index, lethal) in self.lethal.iter().enumerate() {
            let crashes = lethal.crashes.len();
            if crashes > MAX_CRASHES && self.engines.len() <= SMALL_SITE {
                violations.push(format!("part {index} crashed {crashes} engines"));
            }
            if lethal.late > MAX_LATE {
                violations.push(format!("part {index}: {} late requests", lethal.late));
            }
            let counted = lethal.crashes.get(COUNTED_CRASHES - 1);
            let counted = counted.or(lethal.crashes.last());
            last_bound = last_bound.max(counted.map(|at| *at + CONTACT * 2));
        }
        let late = self
            .refused
            .iter()
            .filter(|at| last_bound.is_some_and(|b| **at > b));
        let late = late.count();
        if late > 0 {
            violations.push(format!("{late} sound requests refused after the bound"));
        }
        violations
    }
}
