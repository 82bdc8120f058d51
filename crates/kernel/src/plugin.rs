//! The registry of plug-ins and the order in which they start.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use apricothall_types::Role;
use linkme::distributed_slice;
use smol_str::SmolStr;
use thiserror::Error;

use crate::Context;

/// Why a plug-in did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// No plug-in of an earlier stage has registered this component.
    #[error("no plug-in provides {component}")]
    MissingComponent {
        /// Type of the component.
        component: &'static str,
    },
    /// The settings lack a key that the plug-in needs.
    #[error("settings need {key} for this role")]
    MissingSetting {
        /// Key in the settings.
        key: &'static str,
    },
    /// The port cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Any other error.
    #[error("{0}")]
    Other(SmolStr),
}

/// Result of starting a plug-in.
pub type StartFuture = Pin<Box<dyn Future<Output = Result<(), StartError>> + Send>>;

/// Stages in the order in which their plug-ins start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// State shared by the later stages.
    Shared,
    /// The port for other daemons.
    Peers,
    /// Membership of the fleet.
    Membership,
    /// The catalogue in force.
    Catalogue,
    /// Weights and their transfer.
    Weights,
    /// Backend servers and their requests.
    Serving,
    /// The port for callers.
    Callers,
    /// The port for operators.
    Operators,
}

/// A component of a daemon that registers itself.
pub struct Plugin {
    /// Name for logs and errors.
    pub name: &'static str,
    /// Stage in which it starts.
    pub stage: Stage,
    /// Roles that run it.
    pub roles: &'static [Role],
    /// Starts the plug-in. Background tasks are spawned on the lifecycle.
    pub start: fn(Context) -> StartFuture,
}

/// All plug-ins linked into this program.
#[distributed_slice]
pub static PLUGINS: [Plugin];

/// Plug-ins of `role` in the order in which they start.
#[must_use]
pub fn for_role(role: Role) -> Vec<&'static Plugin> {
    let mut chosen: Vec<_> = PLUGINS.iter().filter(|p| p.roles.contains(&role)).collect();
    chosen.sort_by_key(|p| (p.stage, p.name));
    chosen
}
