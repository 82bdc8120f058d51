//! Requests that crash the server which runs them.
//!
//! A fingerprint that ran on a server when it crashed is a suspect, its neighbours in the batch
//! too. Suspects run alone. One that completes alone is cleared; one that crashes a second server,
//! or a server on which it ran alone, is condemned and refused everywhere.
//!
//! Where an entry sends requests straight to servers, it can neither make a suspect run alone nor
//! see a crash itself. There a lost answer counts as a crash until the server is seen later in the
//! same life ([`InferredCrashes`]), suspects run in company, and [`UpdateQueue`] says what others are told when.
//!
//! [`Records`] is a set that only grows and merges in any order, so entries and agents share it by
//! gossip. [`place`] binds equal fingerprints to the same two servers, and [`check_arrival`] is the
//! agent's check.

mod inferred_crashes;
mod placement;
mod records;
mod update_queue;

pub use inferred_crashes::InferredCrashes;
pub use placement::{ArrivalDecision, Placement, check_arrival, pair, place, place_fallback};
pub use records::{Crash, Record, Records, Standing};
pub use update_queue::{Fanout, UpdateQueue, fanout};
