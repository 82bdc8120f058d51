//! Memory and gossip traffic of the daemons of a fleet.

use std::collections::BTreeMap;

use apricothall_standin::fleet::Fleet;
use apricothall_standin::process::Process;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Metric that counts the bytes of gossip sent by a daemon.
const GOSSIP_METRIC: &str = "apricothall_gossip_sent_bytes_total";

/// Returns the largest resident memory of an agent, excluding the bytes of its chunks.
pub async fn memory(fleet: &Fleet) -> u64 {
    let mut largest = 0;
    for node in fleet.agents() {
        let id = node.process.as_ref().and_then(Process::id);
        let Some(resident) = id.and_then(resident) else {
            continue;
        };
        let status = node.status().await.ok();
        let chunks = status.and_then(|s| s["weights"]["bytes"].as_u64());
        largest = largest.max(resident.saturating_sub(chunks.unwrap_or(0)));
    }
    largest
}

fn resident(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Returns the bytes of gossip sent so far by each daemon.
pub async fn gossip(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut sent = BTreeMap::new();
    for (id, node) in &fleet.nodes {
        let Ok(answer) = node.operator("/metrics").await else {
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body);
        let line = text.lines().find_map(|l| l.strip_prefix(GOSSIP_METRIC));
        if let Some(bytes) = line.and_then(|l| l.trim().parse().ok()) {
            sent.insert(id.to_string(), bytes);
        }
    }
    sent
}
