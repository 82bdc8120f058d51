//! Anti-affinity between requests that were present at server crashes.
//!
//! A request that crashes servers is present at each of these crashes. An innocent request can only
//! be distinguished from it by being on another server at some of them. Each suspect is therefore
//! sent to a server whose other requests were present at as few crashes as possible.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Number of requests at each server, by the number of crashes that they were present at. Requests
/// that were present at no crash are not counted.
#[derive(Clone, Debug, Default)]
pub struct AntiAffinity {
    at: HashMap<SocketAddr, BTreeMap<u32, u32>>,
}

impl AntiAffinity {
    /// Adds a request that was present at `crashes` crashes and is at, or being sent to, `address`.
    pub fn add(&mut self, address: SocketAddr, crashes: u32) {
        if crashes > 0 {
            let counts = self.at.entry(address).or_default();
            *counts.entry(crashes).or_default() += 1;
        }
    }

    /// Removes a request that was added by [`AntiAffinity::add`].
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

    /// Maximum number of crashes that any request at `address` was present at.
    #[must_use]
    pub fn max_crashes(&self, address: &SocketAddr) -> u32 {
        let counts = self.at.get(address);
        counts
            .and_then(|c| c.keys().next_back().copied())
            .unwrap_or_default()
    }

    /// Keeps the `offers` at whose server this maximum is lowest. To be used for requests that were
    /// present at a crash.
    pub fn retain_least_exposed<T>(&self, offers: &mut Vec<T>, address: impl Fn(&T) -> SocketAddr) {
        let max_crashes = |offer: &T| self.max_crashes(&address(offer));
        if let Some(least) = offers.iter().map(max_crashes).min() {
            offers.retain(|offer| max_crashes(offer) == least);
        }
    }
}
