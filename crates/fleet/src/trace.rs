//! W3C `traceparent` header, propagated over all hops of a request.

use std::fmt;

use apricothall_types::RequestId;

/// Trace context of a request: the trace id, and the span id of the sending hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Trace id, which also serves as the request id.
    pub request: RequestId,
    /// Span id of the sender.
    pub span: u64,
}

impl Trace {
    /// Creates a trace context with random ids.
    #[must_use]
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        Self {
            request: RequestId(rng.random()),
            span: rng.random(),
        }
    }

    /// Creates the context for the next hop: the same trace with a new span id.
    #[must_use]
    pub fn child(self, rng: &mut impl rand::Rng) -> Self {
        Self {
            request: self.request,
            span: rng.random(),
        }
    }

    /// Parses the header. Returns `None` if it is malformed, since the standard requires that such
    /// a header is ignored.
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
