//! Identifiers: short validated strings and the request id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of an identifier in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TextError {
    /// The text is empty.
    #[error("{kind} is empty")]
    Empty {
        /// Name of the identifier type.
        kind: &'static str,
    },
    /// The text exceeds [`MAX_TEXT_BYTES`].
    #[error("{kind} has {found} bytes, more than {MAX_TEXT_BYTES}")]
    TooLong {
        /// Name of the identifier type.
        kind: &'static str,
        /// Length found, in bytes.
        found: usize,
    },
    /// The text holds a character outside the permitted set.
    #[error("{kind} holds {found:?}; permitted are letters, digits and . _ - : /")]
    Character {
        /// Name of the identifier type.
        kind: &'static str,
        /// First character that is not permitted.
        found: char,
    },
    /// The text is not the 32 hexadecimal digits of a request id.
    #[error("a request id has 32 hexadecimal digits, found {found:?}")]
    RequestId {
        /// The text found.
        found: SmolStr,
    },
}

fn check(kind: &'static str, text: &str, permitted: fn(char) -> bool) -> Result<(), TextError> {
    if text.is_empty() {
        return Err(TextError::Empty { kind });
    }
    if text.len() > MAX_TEXT_BYTES {
        let found = text.len();
        return Err(TextError::TooLong { kind, found });
    }
    match text.chars().find(|c| !permitted(*c)) {
        Some(found) => Err(TextError::Character { kind, found }),
        None => Ok(()),
    }
}

fn is_name(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '.' | '_' | '-' | ':' | '/')
}

fn is_key(c: char) -> bool {
    c.is_ascii_graphic()
}

fn is_hex(c: char) -> bool {
    c.is_ascii_hexdigit()
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $permitted:expr) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// The text of the identifier.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = TextError;

            fn from_str(text: &str) -> Result<Self, TextError> {
                check($kind, text, $permitted)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = SmolStr::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

text_id!(
    /// Id of a daemon, and thereby of the VM that it runs on.
    MemberId, "member id", is_name
);
text_id!(
    /// An availability zone.
    Zone, "zone", is_name
);
text_id!(
    /// A region, made of one or more availability zones.
    Region, "region", is_name
);
text_id!(
    /// Name of a catalogue entry: a model or a plain service.
    EntryName, "catalogue entry name", is_name
);
text_id!(
    /// A version of a model.
    Version, "version", is_name
);
text_id!(
    /// The client account that a request is charged to.
    CallerId, "caller id", is_name
);
text_id!(
    /// The owner of a catalogue entry.
    Owner, "owner", is_name
);
text_id!(
    /// The value of an `Idempotency-Key` header: visible ASCII.
    IdempotencyKey, "idempotency key", is_key
);

text_id!(
    /// A part of a prompt: hexadecimal digits.
    PartId, "part id", is_hex
);

/// Identifies one request on all its hops. It is also the trace id of `traceparent`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestId {
    type Err = TextError;

    fn from_str(text: &str) -> Result<Self, TextError> {
        let fail = || TextError::RequestId {
            found: SmolStr::new(text),
        };
        if text.len() != 32 {
            return Err(fail());
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| fail())
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_u128(self.0)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = SmolStr::deserialize(deserializer)?;
            return text.parse().map_err(de::Error::custom);
        }
        u128::deserialize(deserializer).map(Self)
    }
}
