//! Quarantine of requests that crash the server which runs them.
//!
//! All fingerprints in a batch become suspects when their server crashes. Suspects run alone. A
//! suspect that completes alone is cleared. One that crashes a second server, or a server on which
//! it ran alone, is condemned and refused everywhere.
//!
//! An entry that sends requests directly to servers can neither make a suspect run alone nor
//! observe a crash. It treats a lost answer as a crash until the server is seen again with the same
//! start ([`InferredCrashes`]), lets suspects share batches, and distributes records through an
//! [`UpdateQueue`](crate::update_queue::UpdateQueue).
//!
//! [`Records`] is a grow-only set that can be merged in any order, so entries and agents share it
//! by gossip. [`place`] maps equal fingerprints to the same two servers, and [`check_arrival`] is
//! the check made by the agent.

mod inferred_crashes;
mod placement;
mod records;
mod serving_history;
mod shared_records;

pub use inferred_crashes::InferredCrashes;
pub use placement::{ArrivalDecision, Placement, check_arrival, pair, place, place_fallback};
pub use records::{Crash, Record, Records, Standing};
pub use serving_history::ServingHistory;
pub use shared_records::SharedRecords;
