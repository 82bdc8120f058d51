//! Choice of an agent for a request.

use apricothall_fleet::View;
use apricothall_types::{CatalogueEntry, Member, MemberId, Role, Version};
use rand::seq::IndexedRandom;

/// An agent other than those in `tried` whose engines serve a version of the model, and that
/// version.
///
/// While a version spreads, its predecessors in the catalogue go on serving.
#[must_use]
pub fn choose(
    view: &View,
    model: &CatalogueEntry,
    tried: &[MemberId],
    rng: &mut impl rand::Rng,
) -> Option<(Member, Version)> {
    let alive = view.alive().into_iter();
    let left = alive.filter(|m| m.role == Role::Agent && !tried.contains(&m.id));
    let able = left.filter_map(|m| {
        let mut versions = model.versions.iter().map(|v| &v.version);
        let version = versions.find(|v| m.serves(&model.name, v))?.clone();
        Some((m, version))
    });
    let able: Vec<_> = able.collect();
    able.choose(rng).cloned()
}
