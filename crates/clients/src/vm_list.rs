//! Client of the platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{Revision, VmList};
use http::StatusCode;
use smol_str::{SmolStr, ToSmolStr};

use crate::PlatformError;
use crate::configuration::{Value, WatchResult};
use crate::http_client::{HttpClient, get};

/// Maximum size of the list in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Watches the VM list.
#[derive(Clone, Debug)]
pub struct VmListClient {
    http: HttpClient,
    address: SocketAddr,
    answer: Duration,
}

impl VmListClient {
    /// A client of the list at `address`. `answer` is the timeout beyond that of a watch.
    #[must_use]
    pub const fn new(http: HttpClient, address: SocketAddr, answer: Duration) -> Self {
        Self {
            http,
            address,
            answer,
        }
    }

    /// Waits up to `wait` for a revision beyond `after`. The value is the list as JSON.
    ///
    /// # Errors
    /// When the service does not answer in time or violates its interface.
    pub async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        let path = format!("/v1/vms?after={after}&wait_ms={}", wait.as_millis());
        let request = get(self.address, &path)?;
        let answer = self
            .http
            .call(request, wait + self.answer, MAX_LIST_BYTES)
            .await?;
        let answer = answer.error_for_status()?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(WatchResult::Unchanged);
        }
        let text = std::str::from_utf8(&answer.body);
        let text = text.map_err(|e| PlatformError::Malformed(e.to_smolstr()))?;
        let revision = parse_list(text)?.revision;
        Ok(WatchResult::Changed(Value {
            revision,
            text: SmolStr::new(text),
        }))
    }
}

/// Parses a list from JSON.
///
/// # Errors
/// When the text is not a valid list.
pub fn parse_list(text: &str) -> Result<VmList, PlatformError> {
    serde_json::from_str(text).map_err(|e| PlatformError::Malformed(e.to_smolstr()))
}
