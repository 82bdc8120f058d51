//! Bucketed digest of a view, with which two members locate differences cheaply.

use apricothall_types::{Member, MemberId};

/// Number of buckets in the digest of a view.
pub(super) const BUCKETS: u16 = 256;
/// Number of buckets whose sums an ordinary request carries.
pub(super) const WINDOW: u16 = 16;
/// Encoded size of a sum, in bytes.
pub(super) const SUM_BYTES: usize = 4;

/// Bucket that `id` falls into.
pub(super) fn index(id: &MemberId) -> u16 {
    u16::from(blake3::hash(id.as_str().as_bytes()).as_bytes()[0]) % BUCKETS
}

/// Contribution of a record to the sum of its bucket.
pub(super) fn sum(member: &Member) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.id.as_str().as_bytes());
    hasher.update(&member.incarnation.0.to_le_bytes());
    hasher.update(&member.sequence.0.to_le_bytes());
    let hash = hasher.finalize();
    let mut head = [0_u8; SUM_BYTES];
    head.copy_from_slice(&hash.as_bytes()[..SUM_BYTES]);
    u32::from_le_bytes(head)
}

/// Computes the sum of each bucket from `(bucket, contribution)` pairs, one per record.
pub(super) fn sums(records: impl Iterator<Item = (u16, u32)>) -> Vec<u32> {
    let mut totals = vec![0; usize::from(BUCKETS)];
    for (bucket, part) in records {
        totals[usize::from(bucket)] ^= part;
    }
    totals
}

/// Buckets whose sum in `totals` differs from the one in `sums`, which begins at bucket `start`.
pub(super) fn differing(totals: &[u32], start: u16, sums: &[u8]) -> Vec<u16> {
    let theirs = sums.chunks_exact(SUM_BYTES);
    (start..BUCKETS)
        .zip(theirs)
        .filter(|(bucket, part)| totals[usize::from(*bucket)].to_le_bytes() != **part)
        .map(|(bucket, _)| bucket)
        .collect()
}
