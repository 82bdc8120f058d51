//! Coordination parts for programs that spread data over many VMs and route requests to them.
//!
//! This is the library of apricothall without its daemons: pure decisions that take the present
//! time and a source of randomness as arguments, do no I/O and start no task. A program feeds them
//! what it hears and carries out what they return.
//!
//! - [`membership`] and [`revision`]: who is there, and which published value is in force.
//! - [`routing`], [`outlier`], [`retry`], [`limits`], [`admission`], [`drain`]: requests.
//! - [`dedupe`], [`claims`], [`quarantine`]: calls that may not be repeated, and harmful ones.
//! - [`transfer`], [`rollout`]: weights and the order in which replicas change version.
//!
//! `cargo run -p apricothall --example embed` shows three of them at work.

pub use apricothall_decide::{
    admission, claims, configs, dedupe, drain, limits, membership, outlier, quarantine, rank,
    retry, revision, rollout, routing, transfer,
};
pub use apricothall_types as types;
