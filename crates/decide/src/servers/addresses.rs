//! Which server started last at each address.
//!
//! The entry of a crashed server remains in the store until it expires, in addition to that of the
//! server that now has its address. Entries of services that the configuration does not name come
//! from other writers and say nothing about the servers of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use apricothall_types::WallTime;
use smol_str::SmolStr;

use super::Server;

/// Start times of the servers of named services, by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Addresses {
    /// Services that the configuration in force names; `None` while there is no configuration.
    services: Option<BTreeSet<SmolStr>>,
    /// Number of servers with each start time at an address.
    starts: BTreeMap<SocketAddr, BTreeMap<WallTime, usize>>,
}

impl Addresses {
    /// Sets the services that the configuration in force names. Returns whether they changed; then
    /// all servers have to be added again.
    pub(super) fn name_services(&mut self, services: BTreeSet<SmolStr>) -> bool {
        if self.services.as_ref() == Some(&services) {
            return false;
        }
        self.services = Some(services);
        self.starts.clear();
        true
    }

    fn names(&self, service: &SmolStr) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Adds the start of `server`.
    pub(super) fn add(&mut self, server: &Server) {
        if self.names(&server.service) {
            let starts = self.starts.entry(server.address).or_default();
            *starts.entry(server.born).or_default() += 1;
        }
    }

    /// Removes the start of a `server` that was added.
    pub(super) fn remove(&mut self, server: &Server) {
        if !self.names(&server.service) {
            return;
        }
        let Some(starts) = self.starts.get_mut(&server.address) else {
            return;
        };
        if let Some(count) = starts.get_mut(&server.born) {
            *count -= 1;
            if *count == 0 {
                starts.remove(&server.born);
            }
        }
        if starts.is_empty() {
            self.starts.remove(&server.address);
        }
    }

    /// Whether no server of a named service started later at the address of `server`.
    pub(super) fn is_latest(&self, server: &Server) -> bool {
        let starts = self.starts.get(&server.address);
        let latest = starts.and_then(|starts| starts.last_key_value());
        latest.is_some_and(|(born, _)| *born == server.born)
    }
}
