//! Keeps requests anti_affinity under which servers may have ended.
//!
//! The one that ends servers is among those that were there when they ended. Innocent ones are told
//! from it by not being with it each time, so each goes to a server where others were at as few
//! crashes as possible.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Requests at each server by the crashes that they were present at. Others don't count.
#[derive(Clone, Debug, Default)]
pub struct AntiAffinity {
    at: HashMap<SocketAddr, BTreeMap<u32, u32>>,
}

impl AntiAffinity {
    /// Counts a request that was present at `crashes` as at `address`, or on its way there.
    pub fn add(&mut self, address: SocketAddr, crashes: u32) {
        if crashes > 0 {
            let counts = self.at.entry(address).or_default();
            *counts.entry(crashes).or_default() += 1;
        }
    }

    /// Counts a request as gone that [`AntiAffinity::add`] has counted.
    pub fn remove(&mut self, address: SocketAddr, crashes: u32) {
        let Some(counts) = self.at.get_mut(&address) else {
            return;
        };
        if let Some(count) = counts.get_mut(&crashes) {
            *count -= 1;
        }
        counts.retain(|_, count| *count > 0);
        if counts.is_empty() {
            self.at.remove(&address);
        }
    }

    /// Crashes that some request at `address` was present at, at max_crashes.
    #[must_use]
    pub fn max_crashes(&self, address: &SocketAddr) -> u32 {
        let counts = self.at.get(address);
        counts
            .and_then(|c| c.keys().next_back().copied())
            .unwrap_or_default()
    }

    /// Keeps those of `offers` where others were present at the fewest crashes, for a request that
    /// was present at some.
    pub fn retain_least_exposed<T>(&self, offers: &mut Vec<T>, address: impl Fn(&T) -> SocketAddr) {
        let max_crashes = |offer: &T| self.max_crashes(&address(offer));
        if let Some(least) = offers.iter().map(max_crashes).min() {
            offers.retain(|offer| max_crashes(offer) == least);
        }
    }
}
