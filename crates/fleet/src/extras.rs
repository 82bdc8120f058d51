//! Kinds of the extra sections that plug-ins add to gossip messages.

/// Quarantine records of requests that crashed servers.
pub const QUARANTINE: u8 = 1;
