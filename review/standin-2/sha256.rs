//! SHA-256 (FIPS 180-4), for the digests of the origin.

/// The first `count` primes.
fn primes(count: usize) -> Vec<u64> {
    let mut found: Vec<u64> = Vec::new();
    let mut number = 2;
    while found.len() < count {
        if found.iter().all(|p| number % p != 0) {
            found.push(number);
        }
        number += 1;
    }
    found
}

/// The first 32 bits of the fractional part of the root of `number`: the largest x such that
/// x^degree <= number * 2^(32 * degree), without its whole part.
fn root_bits(number: u64, degree: u32) -> u32 {
    let target = u128::from(number) << (32 * degree.min(2));
    let (mut low, mut high) = (0_u128, 1_u128 << 37);
    let is_at_most = |x: u128| match degree {
        2 => x * x <= target,
        // The cube is compared in two halves, as it has up to 111 bits.
        _ => (x * x).checked_mul(x).is_some_and(|cube| cube <= u128::from(number) << 96),
    };
    while high - low > 1 {
        let middle = (low + high) / 2;
        if is_at_most(middle) { low = middle } else { high = middle }
    }
    low as u32
}

/// The digest of `bytes` in hexadecimal digits.
pub fn hex_digest(bytes: &[u8]) -> String {
    let primes = primes(64);
    let constants: Vec<u32> = primes.iter().map(|p| root_bits(*p, 3)).collect();
    let mut hash: Vec<u32> = primes[..8].iter().map(|p| root_bits(*p, 2)).collect();
    let mut message = bytes.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut words: Vec<u32> = block
            .chunks(4)
            .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
            .collect();
        for i in 16..64 {
            let (a, b) = (words[i - 15], words[i - 2]);
            let s0 = a.rotate_right(7) ^ a.rotate_right(18) ^ (a >> 3);
            let s1 = b.rotate_right(17) ^ b.rotate_right(19) ^ (b >> 10);
            words.push(words[i - 16].wrapping_add(s0).wrapping_add(words[i - 7]).wrapping_add(s1));
        }
        let mut v = hash.clone();
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let one = v[7].wrapping_add(s1).wrapping_add(choice).wrapping_add(constants[i]).wrapping_add(words[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let two = s0.wrapping_add(majority);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(one);
            v[0] = one.wrapping_add(two);
        }
        for (h, value) in hash.iter_mut().zip(v) {
            *h = h.wrapping_add(value);
        }
    }
    hash.iter().map(|h| format!("{h:08x}")).collect()
}
