//! The text that the engine stand-in generates.
//!
//! It depends on all bytes of the weights, so that an answer from partial or mixed weights differs
//! from the one that a test works out from the true weights.

use apricothall_types::Digest;

/// Bytes of the hash that make up one token.
const TOKEN_BYTES: usize = 4;

/// Text of token `index` of the answer to `prompt` by the weights whose bytes have the digest
/// `weights`.
#[must_use]
pub fn token(weights: Digest, prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&weights.0);
    hasher.update(&index.to_le_bytes());
    hasher.update(prompt.as_bytes());
    let hash = hasher.finalize().to_hex();
    format!("{} ", &hash[..2 * TOKEN_BYTES])
}

/// The whole answer of `tokens` tokens.
#[must_use]
pub fn answer(weights: Digest, prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token(weights, prompt, index))
        .collect()
}
