//! Fetch of the digests of a version's pieces: from agents that have them, or from the origin, to
//! which only a few agents send requests at a time.

use std::time::Duration;

use apricothall_clients::http_client::HttpClient;
use apricothall_decide::rank;
use apricothall_types::{ChunkIndex, Region, Role};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::{Fetched, Fetcher, MAX_MISMATCHES, read_origin};
use crate::Context;
use crate::agent::piece_store::VersionId;
use crate::agent::pieces;

/// Time limit of a digest request to the origin. It is short because the agent does nothing else
/// meanwhile.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay between the digest requests of consecutive agents to the origin.
const ORIGIN_STAGGER: Duration = Duration::from_millis(40);

/// Number of agents that request digests from the origin at once, so that one unresponsive agent
/// causes no delay.
const CONCURRENT_ORIGIN_REQUESTS: u32 = 3;

/// Number of places by which agents of other regions are moved back, since they soon receive the
/// digests from agents of the origin's region.
const REMOTE_REGION_OFFSET: u32 = 15;

/// Maximum number of peers to which a digest request is sent before the origin.
const MAX_PEER_REQUESTS: usize = 2;

/// Reason for which the digests were not fetched.
#[derive(Debug, thiserror::Error)]
pub(super) enum DigestsError {
    /// Other agents send their requests to the origin first.
    #[error("deferred: other agents request the digests from the origin first")]
    Deferred,
    /// The origin failed recently, and its back-off time is not over.
    #[error("the origin failed recently and is in back-off")]
    OriginBackoff,
    /// The request to the origin failed.
    #[error("origin: {0}")]
    Origin(SmolStr),
}

impl From<SmolStr> for DigestsError {
    fn from(error: SmolStr) -> Self {
        Self::Origin(error)
    }
}

impl Fetcher {
    /// Fetches the digests of the pieces of `wanted`.
    pub(super) async fn fetch_digests(
        &self,
        wanted: &VersionId,
    ) -> Result<Vec<[u8; 32]>, DigestsError> {
        let mut agents = self.agents(wanted);
        let region = &self.context.settings().region;
        agents.sort_by_key(|p| p.hello.region != *region);
        for peer in agents.iter().take(MAX_PEER_REQUESTS) {
            let result = pieces::digests(&self.connector, peer.hello.address, wanted).await;
            match result {
                Ok(digests) => return Ok(digests),
                Err(error) => {
                    tracing::debug!(peer = %peer.hello.id, %error, "digests not fetched from peer");
                }
            }
        }
        if !self.may_request_from_origin(wanted) {
            return Err(DigestsError::Deferred);
        }
        if self.context.clock.now() < self.origin_retry_at {
            return Err(DigestsError::OriginBackoff);
        }
        Ok(read_digests(self.context.clone(), self.origin.clone(), wanted.clone()).await?)
    }

    /// Takes note that the digest of a piece differed. If it did so repeatedly, the digest itself may
    /// be wrong, and the digests are fetched from the origin again.
    pub(super) fn record_mismatch(&mut self, id: &VersionId, index: ChunkIndex) {
        if self.piece_store.current().as_ref() != Some(id) {
            return;
        }
        let count = self.mismatches.entry(index).or_default();
        *count += 1;
        if *count < MAX_MISMATCHES {
            return;
        }
        *count = 0;
        tracing::warn!(model = %id.model, version = id.version, %index, "digest differs repeatedly; fetching the digests again");
        let reading = read_digests(self.context.clone(), self.origin.clone(), id.clone());
        let id = id.clone();
        let task = async move { Fetched::Digests(id, reading.await) };
        self.tasks.spawn(task);
    }

    /// Takes digests that were fetched again for the pieces that are still missing.
    pub(super) fn correct_digests(
        &mut self,
        id: &VersionId,
        digests: Result<Vec<[u8; 32]>, SmolStr>,
    ) {
        match digests {
            Ok(digests) => {
                let corrected = self.piece_store.correct_digests(id, &digests);
                tracing::info!(model = %id.model, version = id.version, corrected, "digests fetched again");
            }
            Err(error) => {
                tracing::warn!(model = %id.model, version = id.version, %error, "digests not fetched again");
            }
        }
    }

    /// Returns whether this agent may request the digests from the origin.
    ///
    /// Agents do so in the order of a hash, staggered by [`ORIGIN_STAGGER`], so that most get the
    /// digests from a peer. Those of the origin's region go first.
    fn may_request_from_origin(&self, wanted: &VersionId) -> bool {
        let now = self.context.clock.now();
        let subject = format!("{}/{}/digests", wanted.model, wanted.version);
        let settings = self.context.settings();
        let origin_region = self.origin_region();
        let in_origin_region =
            |region: &Region| origin_region.as_ref().is_none_or(|origin| origin == region);
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
}

/// Reads the digests of `wanted` from the origin.
async fn read_digests(
    context: Context,
    client: HttpClient,
    wanted: VersionId,
) -> Result<Vec<[u8; 32]>, SmolStr> {
    let calls = &context.dialect.origin;
    let path = (calls.manifest)(&wanted.model, wanted.version);
    let in_force = context.published.in_force();
    let origin = in_force.as_ref().and_then(|f| f.configuration.origin());
    let origin = origin.ok_or_else(|| SmolStr::new("the configuration has no origin"))?;
    let body = read_origin(&client, origin.address, &path, DIGESTS_TIMEOUT).await?;
    let manifest = (calls.read_manifest)(&body).map_err(|e| e.to_smolstr())?;
    if manifest.version != wanted.version {
        return Err(format_smolstr!(
            "manifest is of version {}",
            manifest.version
        ));
    }
    Ok(manifest.digests)
}
