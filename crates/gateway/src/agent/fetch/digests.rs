//! Digests of a version's pieces: from agents that have them, or from the origin, which few agents
//! ask at a time.

use std::time::Duration;

use apricothall_decide::rank;
use apricothall_types::{Region, Role};
use bytes::Bytes;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::{Fetch, read_origin};
use crate::agent::piece_store::VersionId;
use crate::agent::pieces;

/// Longest wait for digests from the origin, during which the agent does nothing else.
const DIGESTS_WAIT: Duration = Duration::from_millis(700);

/// Time by which each agent waits for the one before it to ask the origin for digests.
const DIGEST_STEP: Duration = Duration::from_millis(40);

/// Agents that ask the origin for digests at once, so that the silence of one delays nothing.
const FIRST_ASKERS: u32 = 3;

/// Agents of other regions wait for as many more before them, since those of the origin's region
/// tell them soon.
const FAR_ASKERS: u32 = 15;

/// Peers that are asked for digests before the origin.
const DIGEST_PEERS: usize = 2;

/// Why there are no digests yet.
#[derive(Debug, thiserror::Error)]
pub(super) enum DigestsError {
    /// Other agents ask first.
    #[error("other agents ask the origin first")]
    OthersFirst,
    /// The origin gave nothing lately.
    #[error("the origin failed lately")]
    Resting,
    /// The origin gave none.
    #[error("origin: {0}")]
    Origin(SmolStr),
}

impl From<SmolStr> for DigestsError {
    fn from(error: SmolStr) -> Self {
        Self::Origin(error)
    }
}

impl Fetch {
    /// Digests of the pieces of `wanted`.
    pub(super) async fn digests(&self, wanted: &VersionId) -> Result<Vec<[u8; 32]>, DigestsError> {
        let mut agents = self.agents(wanted);
        let region = &self.context.settings().region;
        agents.sort_by_key(|p| p.hello.region != *region);
        for peer in agents.iter().take(DIGEST_PEERS) {
            let asked = pieces::digests(&self.connector, peer.hello.address, wanted).await;
            match asked {
                Ok(digests) => return Ok(digests),
                Err(error) => tracing::debug!(peer = %peer.hello.id, %error, "no digests there"),
            }
        }
        if !self.is_turn(wanted) {
            return Err(DigestsError::OthersFirst);
        }
        if self.context.clock.now() < self.origin_again {
            return Err(DigestsError::Resting);
        }
        let calls = &self.context.dialect.origin;
        let path = (calls.manifest)(&wanted.model, wanted.version);
        let body = self.ask_origin(&path).await?;
        let told = (calls.read_manifest)(&body).map_err(|e| e.to_smolstr())?;
        if told.version != wanted.version {
            return Err(format_smolstr!("it tells of version {}", told.version).into());
        }
        Ok(told.digests)
    }

    /// Agents ask the origin one after the other, by hash, so that most have it from a peer. Those
    /// of the origin's region go first.
    fn is_turn(&self, wanted: &VersionId) -> bool {
        let now = self.context.clock.now();
        let subject = format!("{}/{}/digests", wanted.model, wanted.version);
        let settings = self.context.settings();
        let home = self.home();
        let is_home = |region: &Region| home.as_ref().is_none_or(|home| home == region);
        let own = rank::weight(subject.as_bytes(), &settings.id);
        let here = is_home(&settings.region);
        let (mut before, mut any_home) = (0, false);
        self.context.peers.each(now, |p| {
            if p.hello.role != Role::Agent {
                return;
            }
            let theirs = is_home(&p.hello.region);
            any_home |= theirs;
            let ahead = rank::weight(subject.as_bytes(), &p.hello.id) > own;
            before += u32::from(theirs == here && ahead);
        });
        if !here && any_home {
            before += FAR_ASKERS;
        }
        let before = (before + 1).saturating_sub(FIRST_ASKERS);
        now.since(self.wanted_since) >= DIGEST_STEP * before
    }

    async fn ask_origin(&self, path: &str) -> Result<Bytes, SmolStr> {
        let in_force = self.context.published.in_force();
        let origin = in_force.as_ref().and_then(|f| f.configuration.origin());
        let origin = origin.ok_or_else(|| SmolStr::new("no origin is published"))?;
        read_origin(&self.origin, origin.address, path, DIGESTS_WAIT).await
    }
}
