//! Decision logic of apricothall, with one module per concern.
//!
//! All code is pure: the current time and the random number generator are arguments, and no
//! function performs I/O or blocks. The daemons call this crate, and other programs can embed it.

pub mod configs;

pub mod admission;
pub mod anti_affinity;
pub mod body_budget;
pub mod cadence;
pub mod call_repeats;
pub mod claims;
pub mod contention;
pub mod dedupe;
pub mod delta;
pub mod drain;
pub mod evacuation;
pub mod latency_average;
pub mod layers;
pub mod lease;
pub mod limits;
pub mod load;
pub mod loaded;
pub mod log_rate_limit;
pub mod membership;
pub mod outage;
pub mod outlier;
pub mod path_delay;
pub mod patience;
pub mod pending_writes;
pub mod pieces;
pub mod placement;
pub mod priorities;
pub mod prompt_parts;
pub mod quarantine;
pub mod rank;
pub mod readers;
pub mod reload;
pub mod repeat;
pub mod residency;
pub mod retry;
pub mod revision;
pub mod rollout;
pub mod routes;
pub mod routing;
pub mod server_limits;
pub mod servers;
pub mod signals;
pub mod staging;
pub mod statuses;
pub mod store_era;
pub mod store_reachability;
pub mod timing;
pub mod token_memory;
pub mod transfer;
pub mod transfer_timeout;
pub mod update_queue;
pub mod update_source;
pub mod versions;
