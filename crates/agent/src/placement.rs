//! Assigns catalogue entries to the engines of VMs.

use std::collections::BTreeSet;

use apricothall_clients::Serving;
use apricothall_decide::rollout::{Candidate, place, ranks};
use apricothall_fleet::MembershipView;
use apricothall_types::{Catalogue, CatalogueEntry, EntryKind, MemberId, Role, VmState};

use crate::servers::SERVICE_VERSION;

/// The assignment of the engines of this VM.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The catalogue entry.
    pub entry: CatalogueEntry,
    /// The version to serve.
    pub target: Serving,
    /// All agents assigned to the entry.
    pub replicas: Vec<MemberId>,
    /// The assigned agents of this agent's zone, in rank order.
    pub ranks: Vec<MemberId>,
}

/// Assigns agents to the models in catalogue order, with at most one model per agent, and returns
/// the assignment of this agent.
#[must_use]
pub fn assignment(catalogue: &Catalogue, view: &MembershipView) -> Option<Assignment> {
    let own = view.own();
    let mut free = candidates(view);
    for entry in catalogue
        .entries
        .iter()
        .filter(|e| e.kind == EntryKind::Model)
    {
        let replicas = place(entry.name.as_str(), entry.replicas.get(), &free);
        if replicas.contains(&own.id) {
            let in_zone = |id: &MemberId| free.iter().any(|c| c.id == *id && c.zone == own.zone);
            let same_zone: Vec<_> = replicas.iter().filter(|id| in_zone(id)).cloned().collect();
            let current = entry.current()?;
            let target = Serving {
                name: entry.name.clone(),
                version: current.version.clone(),
                manifest: current.manifest,
            };
            return Some(Assignment {
                entry: entry.clone(),
                target,
                ranks: ranks(entry.name.as_str(), &same_zone),
                replicas,
            });
        }
        free.retain(|c| !replicas.contains(&c.id));
    }
    None
}

/// Returns the live agents of the VM list that may have engines. An agent that announces only plain
/// services has none.
fn candidates(view: &MembershipView) -> Vec<Candidate> {
    let service_only: BTreeSet<MemberId> = view
        .members()
        .into_iter()
        .filter(|m| {
            let mut holdings = m.holdings.iter();
            !m.holdings.is_empty() && holdings.all(|h| h.version.as_str() == SERVICE_VERSION)
        })
        .map(|m| m.id)
        .collect();
    let list = view.vm_list();
    let agents = list.vms.iter().filter(|vm| vm.role == Role::Agent);
    let agents = agents.filter(|vm| vm.state == VmState::Live && !service_only.contains(&vm.id));
    agents
        .map(|vm| Candidate {
            id: vm.id.clone(),
            zone: vm.zone.clone(),
        })
        .collect()
}
