//! Rates and delays of the network without faults.

use std::time::Duration;

use apricothall_types::Rate;

use super::Host;

/// Rates and delays of the network without faults.
#[derive(Clone, Debug, Default)]
pub struct LinkShaping {
    /// One-way delay between zones of a region.
    pub zones: Duration,
    /// One-way delay between regions.
    pub regions: Duration,
    /// One-way delay between clients and VMs.
    pub clients: Duration,
    /// Largest random addition to each of these delays.
    pub jitter: Duration,
    /// Rate between two regions in each direction, shared by all traffic.
    pub between: Option<Rate>,
    /// Rate of each VM's link, in each direction.
    pub vm: Option<Rate>,
    /// Rate of the links of the weight store and of the origin, in each direction.
    pub store: Option<Rate>,
}

impl LinkShaping {
    /// Rate of the link of `host`, if it is limited.
    pub(super) fn link_rate(&self, host: &Host) -> Option<Rate> {
        match host.id.as_str() {
            "store" | "origin" => self.store,
            "configuration" | "vms" => None,
            _ if host.client => None,
            _ => self.vm,
        }
    }

    /// Minimum delay between two hosts, and its jitter.
    pub(super) fn delay(&self, from: &Host, to: &Host) -> (Duration, Duration) {
        let mut base = Duration::ZERO;
        if from.client || to.client {
            base += self.clients;
        }
        if from.region != to.region {
            base += self.regions;
        } else if from.zone != to.zone {
            base += self.zones;
        }
        let jitter = if base.is_zero() { base } else { self.jitter };
        (base, jitter)
    }
}
