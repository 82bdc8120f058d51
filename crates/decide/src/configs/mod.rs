//! Settings and defaults of the decision modules, each in a file named after its module.

mod admission;
mod claims;
mod dedupe;
mod drain;
mod limits;
mod membership;
mod outage;
mod outlier;
mod quarantine;
mod retry;
mod revision;
mod rollout;
mod routing;
mod transfer;

pub use admission::AdmissionConfig;
pub use claims::{ClaimsConfig, OpaqueKeys};
pub use dedupe::DedupeConfig;
pub use drain::DrainConfig;
pub use limits::LimitsConfig;
pub use membership::MembershipConfig;
pub use outage::OutageConfig;
pub use outlier::OutlierConfig;
pub use quarantine::QuarantineConfig;
pub use retry::RetryConfig;
pub use revision::RevisionConfig;
pub use rollout::RolloutConfig;
pub use routing::{RoutingConfig, RoutingStrategy};
pub use transfer::{TransferConfig, TransferStrategy};
