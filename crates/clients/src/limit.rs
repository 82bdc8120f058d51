//! Limits that servers name in their answers.

use apricothall_types::Quota;
use http::HeaderMap;
use http::header::HeaderName;

/// Header in which servers of the product's own interface name their limit.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-request-limit");

/// What an answer tells of the limit of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedLimit {
    /// The server takes this many requests per second from all senders together.
    Limit(Quota),
    /// The server names no limit.
    Absent,
    /// There is no answer, or its limit is not a number of requests.
    Unknown,
}

impl NamedLimit {
    /// Reads the header `name`. Of several limits the lowest counts.
    #[must_use]
    pub fn read(headers: &HeaderMap, name: &HeaderName) -> Self {
        if !headers.contains_key(name) {
            return Self::Absent;
        }
        let values = headers.get_all(name);
        let limits = values.iter().filter_map(|v| v.to_str().ok()?.parse().ok());
        limits.min().map_or(Self::Unknown, Self::Limit)
    }

    /// The limit, or that there is none; `None` if the answer does not tell.
    #[must_use]
    pub const fn told(self) -> Option<Option<Quota>> {
        match self {
            Self::Limit(limit) => Some(Some(limit)),
            Self::Absent => Some(None),
            Self::Unknown => None,
        }
    }
}
