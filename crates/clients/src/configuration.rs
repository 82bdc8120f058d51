//! Read-only client of the configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::Revision;
use apricothall_types::catalogue::MAX_CATALOGUE_BYTES;
use http::StatusCode;
use smol_str::SmolStr;

use crate::PlatformError;
use crate::http_client::{Answer, HttpClient, get};

/// Header that carries the revision of a value.
pub const REVISION_HEADER: &str = "x-revision";

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Revision of the value.
    pub revision: Revision,
    /// The value.
    pub text: SmolStr,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The value has changed.
    Changed(Value),
    /// The value did not change before the watch ended.
    Unchanged,
}

/// Reads and watches keys.
#[derive(Clone, Debug)]
pub struct ConfigurationClient {
    http: HttpClient,
    address: SocketAddr,
    answer: Duration,
}

impl ConfigurationClient {
    /// A client of the service at `address`. `answer` is the timeout beyond that of a watch.
    #[must_use]
    pub const fn new(http: HttpClient, address: SocketAddr, answer: Duration) -> Self {
        Self {
            http,
            address,
            answer,
        }
    }

    /// Reads the current value of `key`.
    ///
    /// # Errors
    /// When the service does not answer with a value.
    pub async fn read(&self, key: &str) -> Result<Value, PlatformError> {
        let path = format!("/v1/keys/{key}");
        let request = get(self.address, &path)?;
        value(
            &self
                .http
                .call(request, self.answer, MAX_CATALOGUE_BYTES)
                .await?
                .error_for_status()?,
        )
    }

    /// Waits up to `wait` for a revision of `key` beyond `after`.
    ///
    /// # Errors
    /// When the service does not answer in time or violates its interface.
    pub async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        let path = format!("/v1/keys/{key}?after={after}&wait_ms={}", wait.as_millis());
        let request = get(self.address, &path)?;
        let limit = wait + self.answer;
        let answer = self
            .http
            .call(request, limit, MAX_CATALOGUE_BYTES)
            .await?
            .error_for_status()?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(WatchResult::Unchanged);
        }
        value(&answer).map(WatchResult::Changed)
    }
}

fn value(answer: &Answer) -> Result<Value, PlatformError> {
    let header = answer.headers.get(REVISION_HEADER);
    let revision = header
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let missing = || PlatformError::Malformed("the header x-revision is missing or invalid".into());
    let text = std::str::from_utf8(&answer.body);
    let malformed = |_| PlatformError::Malformed("the value is not UTF-8".into());
    Ok(Value {
        revision: revision.ok_or_else(missing)?,
        text: SmolStr::new(text.map_err(malformed)?),
    })
}
