//! Choice of an agent for a request.

use apricothall_fleet::View;
use apricothall_types::{EntryName, Member, MemberId, Role, Version};
use rand::seq::IndexedRandom;

/// An agent whose engines serve `version`, other than those in `tried`.
#[must_use]
pub fn choose(
    view: &View,
    name: &EntryName,
    version: &Version,
    tried: &[MemberId],
    rng: &mut impl rand::Rng,
) -> Option<Member> {
    let alive = view.alive().into_iter();
    let able = alive.filter(|m| m.role == Role::Agent && m.serves(name, version));
    let left: Vec<_> = able.filter(|m| !tried.contains(&m.id)).collect();
    left.choose(rng).cloned()
}
