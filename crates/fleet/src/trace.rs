//! The W3C `traceparent` header, carried over all hops of a request.

use std::fmt;

use apricothall_types::RequestId;

/// Trace of one request: its id and the span of the hop that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Trace id, used as the request's id.
    pub request: RequestId,
    /// Span of the sender.
    pub span: u64,
}

impl Trace {
    /// A new trace from random numbers.
    #[must_use]
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        Self {
            request: RequestId(rng.random()),
            span: rng.random(),
        }
    }

    /// The same trace with a new span for the next hop.
    #[must_use]
    pub fn child(self, rng: &mut impl rand::Rng) -> Self {
        Self {
            request: self.request,
            span: rng.random(),
        }
    }

    /// Reads the header; `None` when it is malformed, as the standard asks.
    #[must_use]
    pub fn parse(header: &str) -> Option<Self> {
        let mut fields = header.split('-');
        let version = fields.next()?;
        let request = fields.next()?.parse::<RequestId>().ok()?;
        let span = u64::from_str_radix(fields.next()?, 16).ok()?;
        let valid = version == "00" && request.0 != 0 && span != 0;
        valid.then_some(Self { request, span })
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{}-{:016x}-01", self.request, self.span)
    }
}
