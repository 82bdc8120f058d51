//! Client of the weight store and of the origin, which have the same API.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{Bytes as Size, ChunkIndex, Digest, Manifest};
use bytes::Bytes;
use smol_str::ToSmolStr;

use crate::PlatformError;
use crate::http_client::{HttpClient, get};

/// Maximum size of a manifest in bytes.
pub const MAX_MANIFEST_BYTES: usize = 4 << 20;

/// Downloads manifests and chunks. No data may be used before its digest has been verified.
#[derive(Clone, Debug)]
pub struct WeightsClient {
    http: HttpClient,
    address: SocketAddr,
}

impl WeightsClient {
    /// A client of the store or origin at `address`.
    #[must_use]
    pub const fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Downloads the manifest with `digest` and verifies the digest.
    ///
    /// # Errors
    /// When there is no answer in time or the digest does not match.
    pub async fn manifest(&self, digest: Digest, wait: Duration) -> Result<Bytes, PlatformError> {
        let request = get(self.address, &format!("/v1/manifests/{digest}"))?;
        let answer = self
            .http
            .call(request, wait, MAX_MANIFEST_BYTES)
            .await?
            .error_for_status()?;
        if Digest::of(&answer.body) != digest {
            return Err(PlatformError::Malformed(
                "the digest of the manifest does not match".into(),
            ));
        }
        Ok(answer.body)
    }

    /// Downloads a chunk without verifying it.
    ///
    /// # Errors
    /// When there is no complete answer in time.
    pub async fn chunk(
        &self,
        manifest: Digest,
        index: ChunkIndex,
        size: Size,
        wait: Duration,
    ) -> Result<Bytes, PlatformError> {
        let request = get(
            self.address,
            &format!("/v1/manifests/{manifest}/chunks/{index}"),
        )?;
        let limit = usize::try_from(size.0).unwrap_or(usize::MAX);
        Ok(self
            .http
            .call(request, wait, limit)
            .await?
            .error_for_status()?
            .body)
    }
}

/// Parses a manifest from its published bytes.
///
/// # Errors
/// When the bytes are not a valid and consistent manifest.
pub fn parse_manifest(bytes: &[u8]) -> Result<Manifest, PlatformError> {
    let parsed = serde_json::from_slice::<Manifest>(bytes);
    let manifest = parsed.map_err(|e| PlatformError::Malformed(e.to_smolstr()))?;
    if !manifest.is_consistent() {
        return Err(PlatformError::Malformed(
            "the sizes in the manifest are inconsistent".into(),
        ));
    }
    Ok(manifest)
}
