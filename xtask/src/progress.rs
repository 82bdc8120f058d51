//! Watches the progress of a version on each agent.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_standin::fleet::Fleet;
use apricothall_standin::process::Process;
use serde_json::Value;
use tokio::time::Instant;

use crate::error::TaskError;
use crate::faults::Schedule;
use crate::fleet::{REGIONS, agent_id};

/// Interval between two polls of the agents' status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of polls between two progress lines.
const POLLS_PER_LINE: u32 = 20;

/// Times at which agents reached a stage, by id.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// All chunks are held and verified.
    pub complete: BTreeMap<String, Duration>,
    /// Engines serve the version.
    pub serving: BTreeMap<String, Duration>,
}

/// Whether an agent reports in its status that it holds and that it serves the version.
fn stages(status: &Value, id: &str, version: &str) -> (bool, bool) {
    let members = status["members"].as_array().into_iter().flatten();
    let own = members.filter(|m| m["id"] == id);
    let holdings = own.flat_map(|m| m["holdings"].as_array().into_iter().flatten());
    let found = holdings
        .filter(|h| h["version"] == version)
        .map(|h| &h["state"]);
    found.fold((false, false), |(complete, serving), state| {
        let serves = state == "serving";
        (
            complete || serves || state == "complete" || state == "loading",
            serving || serves,
        )
    })
}

/// What to wait for.
pub struct WatchOptions {
    /// Agents that must serve the version.
    pub agents: Vec<String>,
    /// The version.
    pub version: &'static str,
    /// Timeout.
    pub limit: Duration,
    /// Whether progress is printed.
    pub shown: bool,
}

/// Waits until all running agents serve the version, and injects faults in the meantime.
///
/// # Errors
/// Returns an error if they do not serve it in time.
pub async fn watch(
    fleet: &mut Fleet,
    options: &WatchOptions,
    mut faults: Option<&mut Schedule>,
) -> Result<Arrivals, TaskError> {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for poll in 0_u32.. {
        if let Some(faults) = &mut faults {
            faults.step(fleet, start.elapsed()).await;
        }
        let running = |id: &&String| fleet.node(id).process.is_some();
        let agents: Vec<_> = options.agents.iter().filter(running).collect();
        let left = agents
            .iter()
            .filter(|id| !arrivals.serving.contains_key(**id));
        let left: Vec<_> = left.copied().collect();
        let read = left
            .iter()
            .map(|id| async { (*id, fleet.node(id).status().await) });
        for (id, status) in futures::future::join_all(read).await {
            let Ok(status) = status else {
                continue;
            };
            let (complete, serving) = stages(&status, id, options.version);
            let now = start.elapsed();
            if complete {
                arrivals.complete.entry(id.clone()).or_insert(now);
            }
            if serving {
                arrivals.serving.insert(id.clone(), now);
            }
        }
        if options.shown && poll % POLLS_PER_LINE == 0 {
            print_line(&arrivals, agents.len(), start.elapsed());
        }
        let missing = agents
            .iter()
            .find(|id| !arrivals.serving.contains_key(**id));
        let Some(missing) = missing else {
            return Ok(arrivals);
        };
        if start.elapsed() > options.limit {
            let log = fleet.node(missing).process.as_ref().map(Process::tail);
            return Err(TaskError::VersionTimeout {
                version: options.version.into(),
                log: log.unwrap_or_default(),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(arrivals)
}

fn print_line(arrivals: &Arrivals, total: usize, elapsed: Duration) {
    let (complete, serving) = (arrivals.complete.len(), arrivals.serving.len());
    let seconds = elapsed.as_secs_f64();
    eprintln!("{seconds:6.1} s  complete {complete:>3}/{total}  serving {serving:>3}/{total}");
}

/// Returns the latest arrival in the region with this index.
#[must_use]
pub fn latest(arrivals: &BTreeMap<String, Duration>, region: usize) -> Option<Duration> {
    let ids = (0..arrivals.len() + REGIONS.len()).filter(|i| i % REGIONS.len() == region);
    let ids: Vec<_> = ids.map(agent_id).collect();
    arrivals
        .iter()
        .filter(|(id, _)| ids.contains(id))
        .map(|(_, t)| *t)
        .max()
}
