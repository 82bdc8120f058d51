//! The BLAKE3 digest of a chunk or manifest.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

const DIGEST_BYTES: usize = 32;

/// The text is not the 64 hexadecimal digits of a digest.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a digest has 64 hexadecimal digits")]
pub struct DigestError;

/// A BLAKE3 digest. Text format: 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Digest of `data`.
    #[must_use]
    pub fn of(data: &[u8]) -> Self {
        Self(*blake3::hash(data).as_bytes())
    }

    /// Digest of `parts` in a row.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// The first 16 hexadecimal digits, for log lines.
    #[must_use]
    pub fn short(&self) -> SmolStr {
        let head = self.0.first_chunk().map_or(0, |b| u64::from_be_bytes(*b));
        format_smolstr!("{head:016x}")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).fmt(f)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| DigestError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            return deserializer.deserialize_str(DigestVisitor);
        }
        deserializer.deserialize_bytes(DigestVisitor)
    }
}

/// Reads a digest from text or raw bytes without heap allocation.
struct DigestVisitor;

impl de::Visitor<'_> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("64 hexadecimal digits or 32 bytes")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Digest, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Digest, E> {
        let array = bytes
            .try_into()
            .map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(Digest(array))
    }
}
