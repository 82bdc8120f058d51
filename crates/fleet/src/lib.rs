//! Plug-ins that run in every daemon: the peer port, membership, the catalogue, the VM list, the
//! quarantine records and the operators' port.

pub mod catalogue;
pub mod claims;
pub mod extras;
pub mod history;
pub mod http_server;
pub mod in_force;
pub mod lingering;
pub mod membership;
pub mod operators;
pub mod peers;
pub mod prompt_texts;
pub mod quarantine;
pub mod rpc;
pub mod shared;
pub mod shared_timeout;
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
