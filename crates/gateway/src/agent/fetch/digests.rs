//! Digests of a version's pieces: from agents that have them, or from the origin, which few agents
//! ask at a time.

use std::time::Duration;

use apricothall_decide::rank;
use apricothall_types::{Region, Role};
use bytes::Bytes;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::{Fetcher, read_origin};
use crate::agent::piece_store::VersionId;
use crate::agent::pieces;

/// Longest wait for digests from the origin, during which the agent does nothing else.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(700);

/// Time by which each agent waits for the one before it to ask the origin for digests.
const ORIGIN_STAGGER: Duration = Duration::from_millis(40);

/// Agents that ask the origin for digests at once, so that the silence of one delays nothing.
const CONCURRENT_ORIGIN_REQUESTS: u32 = 3;

/// Agents of other regions wait for as many more before them, since those of the origin's region
/// tell them soon.
const REMOTE_REGION_OFFSET: u32 = 15;

/// Peers that are asked for digests before the origin.
const MAX_PEERS_ASKED: usize = 2;

/// Why there are no digests yet.
#[derive(Debug, thiserror::Error)]
pub(super) enum DigestsError {
    /// Other agents ask first.
    #[error("other agents ask the origin first")]
    Deferred,
    /// The origin gave nothing lately.
    #[error("the origin failed lately")]
    OriginBackoff,
    /// The origin gave none.
    #[error("origin: {0}")]
    Origin(SmolStr),
}

impl From<SmolStr> for DigestsError {
    fn from(error: SmolStr) -> Self {
        Self::Origin(error)
    }
}

impl Fetcher {
    /// Digests of the pieces of `wanted`.
    pub(super) async fn fetch_digests(
        &self,
        wanted: &VersionId,
    ) -> Result<Vec<[u8; 32]>, DigestsError> {
        let mut agents = self.agents(wanted);
        let region = &self.context.settings().region;
        agents.sort_by_key(|p| p.hello.region != *region);
        for peer in agents.iter().take(MAX_PEERS_ASKED) {
            let result = pieces::digests(&self.connector, peer.hello.address, wanted).await;
            match result {
                Ok(digests) => return Ok(digests),
                Err(error) => tracing::debug!(peer = %peer.hello.id, %error, "no digests there"),
            }
        }
        if !self.may_ask_origin(wanted) {
            return Err(DigestsError::Deferred);
        }
        if self.context.clock.now() < self.origin_retry_at {
            return Err(DigestsError::OriginBackoff);
        }
        let calls = &self.context.dialect.origin;
        let path = (calls.manifest)(&wanted.model, wanted.version);
        let body = self.request_origin(&path).await?;
        let manifest = (calls.read_manifest)(&body).map_err(|e| e.to_smolstr())?;
        if manifest.version != wanted.version {
            return Err(format_smolstr!("it tells of version {}", manifest.version).into());
        }
        Ok(manifest.digests)
    }

    /// Agents ask the origin one after the other, by hash, so that most have it from a peer. Those
    /// of the origin's region go first.
    fn may_ask_origin(&self, wanted: &VersionId) -> bool {
        let now = self.context.clock.now();
        let subject = format!("{}/{}/digests", wanted.model, wanted.version);
        let settings = self.context.settings();
        let home = self.origin_region();
        let in_origin_region = |region: &Region| home.as_ref().is_none_or(|home| home == region);
        let own = rank::weight(subject.as_bytes(), &settings.id);
        let self_in_origin_region = in_origin_region(&settings.region);
        let (mut before, mut any_in_origin_region) = (0, false);
        self.context.peers.each(now, |p| {
            if p.hello.role != Role::Agent {
                return;
            }
            let peer_in_origin_region = in_origin_region(&p.hello.region);
            any_in_origin_region |= peer_in_origin_region;
            let ahead = rank::weight(subject.as_bytes(), &p.hello.id) > own;
            before += u32::from(peer_in_origin_region == self_in_origin_region && ahead);
        });
        if !self_in_origin_region && any_in_origin_region {
            before += REMOTE_REGION_OFFSET;
        }
        let before = (before + 1).saturating_sub(CONCURRENT_ORIGIN_REQUESTS);
        now.since(self.wanted_since) >= ORIGIN_STAGGER * before
    }

    async fn request_origin(&self, path: &str) -> Result<Bytes, SmolStr> {
        let in_force = self.context.published.in_force();
        let origin = in_force.as_ref().and_then(|f| f.configuration.origin());
        let origin = origin.ok_or_else(|| SmolStr::new("no origin is published"))?;
        read_origin(&self.origin, origin.address, path, DIGESTS_TIMEOUT).await
    }
}
