//! Kinds of the extra sections that plug-ins add to gossip messages.

/// Quarantine records of requests that crashed servers.
pub const QUARANTINE: u8 = 1;

/// Records of prompt texts that crash servers.
pub const PROMPT_TEXTS: u8 = 2;
