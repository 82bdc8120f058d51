//! The kernel of a daemon: settings, clock, lifecycle and the registry of plug-ins.
//!
//! A plug-in adds itself to [`plugin::PLUGINS`]; the kernel starts those of its role in the order
//! of [`plugin::Stage`] and stops them together.

pub mod clock;
pub mod configs;
pub mod context;
pub mod lifecycle;
pub mod logging;
pub mod plugin;
pub mod run;
pub mod settings;
pub mod telemetry;

pub use clock::Clock;
pub use context::Context;
pub use lifecycle::Lifecycle;
/// Re-exported for the attribute with which plug-ins register themselves.
pub use linkme;
pub use plugin::{PLUGINS, Plugin, Stage, StartError, StartFuture};
pub use settings::{Settings, SettingsError};
