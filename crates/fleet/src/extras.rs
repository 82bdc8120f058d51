//! Kinds of the sections that modules add to gossip.

/// Records of requests that crashed servers.
pub const QUARANTINE: u8 = 1;
