//! A plain service of this VM.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use apricothall_clients::limit::LIMIT_HEADER;
use apricothall_clients::{NamedLimit, PlatformError, ServiceAnswer, ServiceCall, ServiceClient};
use apricothall_kernel::configs::ServerConfig;
use apricothall_types::EntryName;

use super::RunningGuard;
use crate::admission::Gate;

/// A plain service of this VM.
pub struct Service {
    /// Name of its catalogue entry.
    pub name: EntryName,
    /// Settings of the server.
    pub config: ServerConfig,
    /// Client for the server.
    pub client: ServiceClient,
    /// Admission gate of the server.
    pub gate: Arc<Gate>,
    running: AtomicU32,
}

impl Service {
    /// Creates the service `name` without running requests.
    pub(super) fn new(
        name: EntryName,
        config: ServerConfig,
        client: ServiceClient,
        gate: Arc<Gate>,
    ) -> Self {
        Self {
            name,
            config,
            client,
            gate,
            running: AtomicU32::new(0),
        }
    }

    /// Number of running requests.
    pub(super) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Makes the call and records the limit that the service names.
    ///
    /// # Errors
    /// When there is no complete answer within `wait`.
    pub async fn call(
        &self,
        call: ServiceCall,
        wait: Duration,
    ) -> Result<ServiceAnswer, PlatformError> {
        let sent = self.gate.now();
        let answer = self.client.call(call, wait).await?;
        let named = NamedLimit::read(&answer.headers, &LIMIT_HEADER);
        self.gate.record_limit(named, sent);
        Ok(answer)
    }

    /// Counts a request as running.
    #[must_use]
    pub fn begin(&self) -> RunningGuard<'_> {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(&self.running)
    }
}
