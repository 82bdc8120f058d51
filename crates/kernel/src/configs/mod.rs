//! Settings of the kernel and of the plug-ins that all daemons run.

mod callers;
mod daemon;
mod log;
mod operators;
mod peers;
mod platform;
mod servers;
mod weights;

pub use callers::CallersConfig;
pub use daemon::DaemonConfig;
pub use log::{LogConfig, LogFormat};
pub use operators::OperatorsConfig;
pub use peers::PeersConfig;
pub use platform::PlatformConfig;
pub use servers::{ServerConfig, ServerKind};
pub use weights::WeightsConfig;
