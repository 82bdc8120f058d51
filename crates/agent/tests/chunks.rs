//! Guards against storing a chunk that does not match the manifest, and against reporting a version
//! as complete while chunks are missing.

use apricothall_agent::chunks::{ChunkError, ChunkStore};
use apricothall_types::{Bytes as Size, ChunkIndex, Digest, Manifest, Timestamp};
use bytes::Bytes;

const NOW: Timestamp = Timestamp(1);

/// Adds to `store` a version of two chunks whose bytes all equal `fill`.
fn open(store: &ChunkStore, fill: u8) -> Digest {
    let manifest = Manifest::of(&[fill; 12], Size(8));
    let digest = Digest::of(&[fill]);
    store.open(digest, Bytes::new(), manifest, NOW);
    digest
}

macro_rules! stores {
    ($($case:ident: $index:expr, $data:expr => $result:expr;)*) => {
        $(#[test] fn $case() {
            let store = ChunkStore::default();
            let digest = open(&store, 1);
            open(&store, 2);
            let stored = store.put(digest, ChunkIndex($index), Bytes::from($data));
            let result: Result<ChunkIndex, ChunkError> = $result;
            assert_eq!(stored.map(|proof| proof.chunk()), result);
            assert_eq!(store.held(digest).count(), u32::from(result.is_ok()));
            assert!(!store.is_complete(digest));
        })*
    };
}

stores! {
    matching_chunk_is_stored: 0, vec![1; 8] => Ok(ChunkIndex(0));
    last_chunk_may_be_smaller: 1, vec![1; 4] => Ok(ChunkIndex(1));
    changed_byte_is_refused: 0, vec![1, 1, 1, 9, 1, 1, 1, 1] => Err(ChunkError::Corrupt(ChunkIndex(0)));
    chunk_of_another_version_is_refused: 0, vec![2; 8] => Err(ChunkError::Corrupt(ChunkIndex(0)));
    truncated_chunk_is_refused: 0, vec![1; 7] => Err(ChunkError::Corrupt(ChunkIndex(0)));
    chunk_past_the_end_is_refused: 2, vec![1; 8] => Err(ChunkError::Corrupt(ChunkIndex(2)));
}

#[test]
fn complete_version_does_not_complete_another() {
    let store = ChunkStore::default();
    let (complete, empty) = (open(&store, 1), open(&store, 2));
    for (index, size) in [(0, 8), (1, 4)] {
        let stored = store.put(complete, ChunkIndex(index), vec![1; size].into());
        stored.expect("verifies");
    }
    assert!(store.is_complete(complete));
    assert!(!store.is_complete(empty));
}
