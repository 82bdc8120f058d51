//! The platform's list of virtual machines, which lags behind the fleet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{MemberId, Region, Revision, Role, Zone};

/// One revision of the list. Only the platform writes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Revision of the list.
    pub revision: Revision,
    /// Live and leaving VMs.
    pub vms: Vec<Vm>,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id of the daemon on this VM.
    pub id: MemberId,
    /// Address of the daemon for other daemons.
    pub address: SocketAddr,
    /// Role of the daemon.
    pub role: Role,
    /// Region of the VM.
    pub region: Region,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// State of the VM.
    pub state: VmState,
    /// Revision that first listed this VM.
    pub since: Revision,
}

/// State of a VM as the platform sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}
