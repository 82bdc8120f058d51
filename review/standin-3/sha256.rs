//! SHA-256, for the digests that the origin of weights states.

/// The first 32 bits of the fractional parts of the cube roots of the first 64 primes.
fn constants() -> [u32; 64] {
    let mut constants = [0; 64];
    let primes = (2_u32..).filter(|n| (2..*n).all(|d| n % d != 0));
    for (at, prime) in constants.iter_mut().zip(primes) {
        *at = fraction_bits(f64::from(prime).cbrt());
    }
    constants
}

/// The first 32 bits of the fractional part of `number`.
fn fraction_bits(number: f64) -> u32 {
    (number.fract() * 4_294_967_296.0) as u32
}

/// Digest of `data`.
pub fn digest(data: &[u8]) -> [u8; 32] {
    let constants = constants();
    let primes = [2.0_f64, 3.0, 5.0, 7.0, 11.0, 13.0, 17.0, 19.0];
    let mut hash = primes.map(|p| fraction_bits(p.sqrt()));
    let mut padded = data.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((data.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words = [0_u32; 64];
        for (word, bytes) in words.iter_mut().zip(block.chunks(4)) {
            *word = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        }
        for at in 16..64 {
            let (early, late) = (words[at - 15], words[at - 2]);
            let early = early.rotate_right(7) ^ early.rotate_right(18) ^ early >> 3;
            let late = late.rotate_right(17) ^ late.rotate_right(19) ^ late >> 10;
            let sum = words[at - 16].wrapping_add(early);
            words[at] = sum.wrapping_add(words[at - 7]).wrapping_add(late);
        }
        let mut v = hash;
        for at in 0..64 {
            let [a, b, c, d, e, f, g, h] = v;
            let s1 = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
            let choice = e & f ^ !e & g;
            let first = h.wrapping_add(s1).wrapping_add(choice);
            let first = first.wrapping_add(constants[at]).wrapping_add(words[at]);
            let s0 = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
            let majority = a & b ^ a & c ^ b & c;
            let second = s0.wrapping_add(majority);
            v = [
                first.wrapping_add(second),
                a,
                b,
                c,
                d.wrapping_add(first),
                e,
                f,
                g,
            ];
        }
        for (at, value) in hash.iter_mut().zip(v) {
            *at = at.wrapping_add(value);
        }
    }
    let mut digest = [0; 32];
    for (bytes, word) in digest.chunks_mut(4).zip(hash) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    digest
}
