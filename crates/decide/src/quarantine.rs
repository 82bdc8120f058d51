//! Requests that crash the server which runs them.
//!
//! A fingerprint that ran on a server when it crashed is a suspect, its neighbours in the batch
//! too. Suspects run alone. One that completes alone is cleared; one that crashes a second server,
//! or a server on which it ran alone, is condemned and refused everywhere.
//!
//! [`Records`] is a set that only grows and merges in any order, so entries and agents share it by
//! gossip. [`send`] binds equal fingerprints to the same two servers, and [`arrive`] is the
//! agent's check.

mod flights;
mod records;

pub use flights::{Arrival, Send, arrive, pair, send, spare};
pub use records::{Crash, Record, Records, Standing};
