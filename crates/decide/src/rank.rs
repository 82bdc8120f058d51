//! Rendezvous hashing: an order of members per subject that is the same at every node.

use apricothall_types::MemberId;

/// Hash weight of `member` for `subject`. The member with the largest weight ranks first.
#[must_use]
pub fn weight(subject: &[u8], member: &MemberId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject);
    hasher.update(member.as_str().as_bytes());
    let hash = hasher.finalize();
    let mut head = [0_u8; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Returns the members ordered by descending weight for `subject`.
#[must_use]
pub fn order<'a>(
    subject: &[u8],
    members: impl IntoIterator<Item = &'a MemberId>,
) -> Vec<&'a MemberId> {
    let mut ranked: Vec<_> = members
        .into_iter()
        .map(|id| (weight(subject, id), id))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, id)| id).collect()
}
