//! Which catalogue entry the engines of a VM are to serve.

use std::collections::BTreeSet;

use apricothall_clients::Serving;
use apricothall_decide::rollout::{Candidate, place, ranks};
use apricothall_fleet::View;
use apricothall_types::{Catalogue, CatalogueEntry, EntryKind, MemberId, Role, VmState};

use crate::servers::SERVICE_VERSION;

/// What the engines of this VM are to serve.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The entry.
    pub entry: CatalogueEntry,
    /// The version to serve.
    pub target: Serving,
    /// All agents that are to serve it.
    pub replicas: Vec<MemberId>,
    /// Those of the own zone, in rank order.
    pub ranks: Vec<MemberId>,
}

/// Places the models one after the other; an agent serves one of them.
#[must_use]
pub fn assignment(catalogue: &Catalogue, view: &View) -> Option<Assignment> {
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
            let near: Vec<_> = replicas.iter().filter(|id| in_zone(id)).cloned().collect();
            let current = entry.current()?;
            let target = Serving {
                name: entry.name.clone(),
                version: current.version.clone(),
                manifest: current.manifest,
            };
            return Some(Assignment {
                entry: entry.clone(),
                target,
                ranks: ranks(entry.name.as_str(), &near),
                replicas,
            });
        }
        free.retain(|c| !replicas.contains(&c.id));
    }
    None
}

/// Agents of the VM list that may have engines. An agent that announces nothing but a plain
/// service has none.
fn candidates(view: &View) -> Vec<Candidate> {
    let plain: BTreeSet<MemberId> = view
        .members()
        .into_iter()
        .filter(|m| {
            let mut holdings = m.holdings.iter();
            !m.holdings.is_empty() && holdings.all(|h| h.version.as_str() == SERVICE_VERSION)
        })
        .map(|m| m.id)
        .collect();
    let list = view.list();
    let agents = list.vms.iter().filter(|vm| vm.role == Role::Agent);
    let agents = agents.filter(|vm| vm.state == VmState::Live && !plain.contains(&vm.id));
    agents
        .map(|vm| Candidate {
            id: vm.id.clone(),
            zone: vm.zone.clone(),
        })
        .collect()
}
