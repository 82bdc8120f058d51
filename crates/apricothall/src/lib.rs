//! Coordination components for programs that distribute data to many VMs and route requests there.
//!
//! This is the library of apricothall without its daemons: pure decision logic that takes the
//! current time and a random number generator as arguments, does no I/O and starts no task. A
//! program passes events to it and executes the actions that it returns.
//!
//! - [`membership`] and [`revision`]: the members of the fleet and the published value in force.
//! - [`routing`], [`outlier`], [`retry`], [`limits`], [`admission`], [`drain`]: requests.
//! - [`dedupe`], [`claims`], [`quarantine`]: non-repeatable calls, and requests that crash servers.
//! - [`transfer`], [`rollout`]: weights and the order in which replicas change version.
//!
//! `cargo run -p apricothall --example embed` demonstrates three of them.

pub use apricothall_decide::{
    admission, claims, configs, dedupe, drain, limits, membership, outlier, quarantine, rank,
    retry, revision, rollout, routing, transfer,
};
pub use apricothall_types as types;
