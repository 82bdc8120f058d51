//! Membership: heartbeats, incarnations and failure timeouts.
