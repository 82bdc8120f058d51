//! Metrics of the process in Prometheus text form.

use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

/// Interval at which samples are summed up.
const CONDENSE_INTERVAL: Duration = Duration::from_secs(5);

/// Metrics cannot be recorded.
#[derive(Debug, Error)]
#[error("metrics cannot be set up: {0}")]
pub struct TelemetryError(SmolStr);

/// Renders what the `metrics` macros have recorded.
#[derive(Clone)]
pub struct Telemetry {
    handle: PrometheusHandle,
}

impl Telemetry {
    /// Records the metrics of this process from now on.
    ///
    /// # Errors
    /// When a recorder has been installed before.
    pub fn install() -> Result<Self, TelemetryError> {
        let installed = PrometheusBuilder::new().install_recorder();
        let handle = installed.map_err(|e| TelemetryError(e.to_smolstr()))?;
        Ok(Self { handle })
    }

    /// Sums up what was recorded since the last call. Each sample takes memory until then, also if
    /// nobody fetches the metrics.
    pub fn condense(&self) {
        self.handle.run_upkeep();
    }

    /// Condenses the metrics until the process ends.
    pub async fn condense_repeatedly(self) {
        loop {
            tokio::time::sleep(CONDENSE_INTERVAL).await;
            self.condense();
        }
    }

    /// All metrics as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        self.condense();
        self.handle.render()
    }
}
