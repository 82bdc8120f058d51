//! Metrics of the process in Prometheus text form.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

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

    /// All metrics as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
