//! The decisions of apricothall, one module for each matter.
//!
//! Pure code: the present time and the source of randomness are arguments, nothing does I/O and
//! nothing blocks. Daemons call these functions; other programs may embed them.

pub mod configs;

pub mod admission;
pub mod anti_affinity;
pub mod cadence;
pub mod claims;
pub mod dedupe;
pub mod delta;
pub mod drain;
pub mod lease;
pub mod limits;
pub mod load;
pub mod log_rate_limit;
pub mod membership;
pub mod news;
pub mod outage;
pub mod outlier;
pub mod pieces;
pub mod placement;
pub mod quarantine;
pub mod rank;
pub mod readers;
pub mod reload;
pub mod repeat;
pub mod retry;
pub mod revision;
pub mod rollout;
pub mod routes;
pub mod routing;
pub mod servers;
pub mod signals;
pub mod timing;
pub mod transfer;
pub mod versions;
