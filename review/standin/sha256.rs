//! SHA-256, for the digests of the origin of weights.

/// First 32 bits of the fractional parts of the cube roots of the first 64 primes.
const ROUNDS: [u32; 64] = [
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5,
    0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174,
    0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
    0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967,
    0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85,
    0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
    0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
    0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2,
];

/// First 32 bits of the fractional parts of the square roots of the first 8 primes.
const START: [u32; 8] = [
    0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19,
];

/// The digest of `bytes` in hexadecimal.
pub fn hex_digest(bytes: &[u8]) -> String {
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    let mut state = START;
    for block in padded.chunks_exact(64) {
        compress(&mut state, block);
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}

fn compress(state: &mut [u32; 8], block: &[u8]) {
    let mut words = [0_u32; 64];
    for (word, four) in words.iter_mut().zip(block.chunks_exact(4)) {
        *word = u32::from_be_bytes([four[0], four[1], four[2], four[3]]);
    }
    for at in 16..64 {
        let (early, late) = (words[at - 15], words[at - 2]);
        let low = early.rotate_right(7) ^ early.rotate_right(18) ^ early >> 3;
        let high = late.rotate_right(17) ^ late.rotate_right(19) ^ late >> 10;
        let sum = words[at - 16].wrapping_add(low).wrapping_add(words[at - 7]);
        words[at] = sum.wrapping_add(high);
    }
    let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = *state;
    for (round, word) in ROUNDS.iter().zip(words) {
        let high = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
        let choice = e & f ^ !e & g;
        let first = h.wrapping_add(high).wrapping_add(choice);
        let first = first.wrapping_add(*round).wrapping_add(word);
        let low = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
        let second = low.wrapping_add(a & b ^ a & c ^ b & c);
        (h, g, f, e) = (g, f, e, d.wrapping_add(first));
        (d, c, b, a) = (c, b, a, first.wrapping_add(second));
    }
    for (word, more) in state.iter_mut().zip([a, b, c, d, e, f, g, h]) {
        *word = word.wrapping_add(more);
    }
}
