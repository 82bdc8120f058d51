//! Lost responses, what may have caused them, and the verdict on it.

use std::fmt;
use std::sync::Arc;

use apricothall_decide::quarantine::Crash;
use apricothall_decide::servers::Server;
use apricothall_types::{Digest, Incarnation, PromptPart};
use smol_str::ToSmolStr;

/// How a response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The connection was lost.
    Broken,
    /// Nothing arrived in time, or the caller disconnected before anything arrived.
    Silent,
}

/// What may have crashed a server: a request, or a part of its prompt.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Digest that is equal for all attempts of the request.
    pub fingerprint: Digest,
    /// Parts of its prompt that other requests may share.
    pub parts: Arc<[PromptPart]>,
    /// The part for whose trial the server was selected.
    pub tried: Option<PromptPart>,
}

/// Why a request is permanently refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Servers crashed while they ran it.
    Request,
    /// Servers crashed while they ran requests with this part in their prompts.
    Part(PromptPart),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request => {
                f.write_str("servers ended while they ran this request; it is not run again")
            }
            Self::Part(part) => write!(
                f,
                "servers ended while they ran requests with the prompt part {}; none is run again",
                part.id
            ),
        }
    }
}

/// The crash that would end the current run of `server`.
#[must_use]
pub fn crash_of(server: &Server) -> Crash {
    Crash {
        id: server.id.clone(),
        incarnation: Incarnation::default(),
        boot: server.born.0.to_smolstr(),
    }
}
