//! Plug-ins that every daemon runs: the port for other daemons, membership, the catalogue and the
//! port for operators.

pub mod catalogue;
pub mod claims;
pub mod extras;
pub mod history;
pub mod http_server;
pub mod in_force;
pub mod membership;
pub mod operators;
pub mod peers;
pub mod quarantine;
pub mod rpc;
pub mod shared;
pub mod status;
pub mod subject;
pub mod trace;
pub mod view;
pub mod vms;
pub mod wake_timer;
pub mod write_timeout;

pub use catalogue::CatalogueState;
pub use claims::ClaimHandler;
pub use peers::PeerRoutes;
pub use quarantine::Quarantine;
pub use status::StatusBoard;
pub use trace::Trace;
pub use view::MembershipView;
