//! Identity and location of this daemon.

use std::net::IpAddr;

use apricothall_types::{MemberId, Region, Zone};
use serde::{Deserialize, Serialize};

/// Identity and location of the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonConfig {
    /// Id, equal to the VM's id in the VM list.
    pub id: MemberId,
    /// Region of the VM.
    pub region: Region,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address of the VM, the source of outgoing connections.
    pub address: IpAddr,
}
