//! Bitmap of chunk indices.

use apricothall_types::ChunkIndex;
use serde::{Deserialize, Serialize};

const WORD_BITS: u32 = u64::BITS;

/// Maximum number of chunks of a version.
const MAX_CHUNKS: u32 = 1 << 20;

/// Set of chunks of one version, stored as a bitmap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkSet {
    words: Vec<u64>,
}

impl ChunkSet {
    /// Adds a chunk and returns whether it is new. Chunks beyond `MAX_CHUNKS`, which no version
    /// has, are left out.
    pub fn insert(&mut self, chunk: ChunkIndex) -> bool {
        if chunk.0 >= MAX_CHUNKS {
            return false;
        }
        let word = (chunk.0 / WORD_BITS) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let bit = 1 << (chunk.0 % WORD_BITS);
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_new
    }

    /// Returns whether the set contains `chunk`.
    #[must_use]
    pub fn contains(&self, chunk: ChunkIndex) -> bool {
        let word = (chunk.0 / WORD_BITS) as usize;
        let bits = self.words.get(word).copied().unwrap_or(0);
        bits & (1 << (chunk.0 % WORD_BITS)) != 0
    }

    /// Removes all chunks with an index of `count` or above.
    pub fn truncate(&mut self, count: u32) {
        self.words.truncate(count.div_ceil(WORD_BITS) as usize);
        let rest = count % WORD_BITS;
        let last = (count / WORD_BITS) as usize;
        if let Some(word) = self.words.get_mut(last) {
            *word &= (1 << rest) - 1;
        }
    }

    /// Returns the number of chunks in the set.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.words.iter().map(|w| w.count_ones()).sum()
    }

    /// Returns the chunks of this set that are not in `other`, in ascending order.
    pub fn difference<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = ChunkIndex> + 'a {
        self.words.iter().zip(0_u32..).flat_map(move |(word, at)| {
            let rest = word & !other.words.get(at as usize).copied().unwrap_or(0);
            (0..WORD_BITS)
                .filter(move |bit| rest & (1 << bit) != 0)
                .map(move |bit| ChunkIndex(at * WORD_BITS + bit))
        })
    }
}
