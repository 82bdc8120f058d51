//! `cargo xtask capacity`: measures the resource usage of idle daemons against the number of
//! daemons.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use apricothall_standin::engine::EngineSettings;
use apricothall_standin::fleet::{Fleet, until};
use apricothall_standin::node::Node;
use apricothall_standin::plan::Plan;
use apricothall_standin::process::Process;
use apricothall_types::Role;
use clap::Args;
use smol_str::SmolStr;

use crate::error::TaskError;
use crate::fleet::REGIONS;

/// Size of a memory page in bytes and clock ticks per second, as on all machines that the daemon is
/// built for.
const PAGE_BYTES: u64 = 4_096;
const TICKS_PER_SECOND: u64 = 100;

/// Indices of the user and system time in `/proc/<pid>/stat`, counted after the program's name.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Arguments of the task.
#[derive(Args)]
pub struct CapacityArguments {
    /// Numbers of agents; each number is one run.
    #[arg(long, value_delimiter = ',', default_value = "10,25,50,100")]
    agents: Vec<usize>,
    /// Number of entries in each run.
    #[arg(long, default_value_t = 7)]
    entries: usize,
    /// Duration of the measurement while idle, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Additional catalogue entries without versions, to enlarge the catalogue.
    #[arg(long, default_value_t = 0)]
    padding: usize,
}

/// Resource usage of one daemon.
#[derive(Clone, Copy, Default)]
struct Usage {
    resident: u64,
    ticks: u64,
    sent: u64,
    received: u64,
}

/// Resource usage by VM id.
type Usages = HashMap<SmolStr, Usage>;

/// Runs the idle fleets one after the other and prints a line for each role.
///
/// # Errors
/// Returns an error if a fleet cannot be started.
pub async fn run(arguments: CapacityArguments, binary: PathBuf) -> Result<(), TaskError> {
    println!("daemons | role | resident KiB | cpu % of a core | sent B/s | received B/s | reads/s");
    for &agents in &arguments.agents {
        let fleet = Fleet::start(plan(&arguments, agents, &binary)?).await?;
        let measured = measure(&fleet, Duration::from_secs(arguments.seconds)).await;
        fleet.close().await;
        measured?;
    }
    Ok(())
}

fn plan(
    arguments: &CapacityArguments,
    agents: usize,
    binary: &std::path::Path,
) -> Result<Plan, TaskError> {
    let (region, zone) = REGIONS[0];
    let mut plan = Plan::new(binary, region, zone)?;
    for index in 0..arguments.entries {
        let (region, zone) = REGIONS[index % REGIONS.len()];
        plan = plan.entry(&format!("{region}-entry-{index}"), region, zone)?;
    }
    for index in 0..agents {
        let (region, zone) = REGIONS[index % REGIONS.len()];
        let id = crate::fleet::agent_id(index);
        plan = plan.engine(&id, region, zone, EngineSettings::default())?;
    }
    Ok(plan.with_catalogue(catalogue(arguments.padding)))
}

fn catalogue(padding: usize) -> String {
    let entries = (0..=padding).map(|index| {
        format!(
            "[[entries]]\nname = \"service-{index}\"\nkind = \"service\"\nowner = \"desbroce\"\n\
             replicas = 1\n"
        )
    });
    entries.collect()
}

async fn measure(fleet: &Fleet, interval: Duration) -> Result<(), TaskError> {
    fleet.ready().await?;
    for node in fleet.nodes.values() {
        wait_for_members(fleet, node).await?;
    }
    let (before, reads) = (usages(fleet)?, fleet.platform.config.reads().total);
    let start = Instant::now();
    tokio::time::sleep(interval).await;
    let (after, end) = (usages(fleet)?, fleet.platform.config.reads().total);
    let millis = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    for role in [Role::Entry, Role::Agent] {
        print(fleet, role, &before, &after, millis, end - reads);
    }
    Ok(())
}

async fn wait_for_members(fleet: &Fleet, node: &Node) -> Result<(), TaskError> {
    let count = fleet.nodes.len();
    let check = async || {
        let status = node.status().await.map_err(|e| e.to_string())?;
        let known = status["members"].as_array().map_or(0, Vec::len);
        if known == count {
            return Ok(());
        }
        Err(format!("{known} of {count} members"))
    };
    Ok(until(&format!("all members at {}", node.plan.id), check).await?)
}

fn usages(fleet: &Fleet) -> std::io::Result<Usages> {
    let carried = fleet.network.bytes_by_link();
    let nodes = fleet.nodes.values();
    let measured = nodes.map(|node| {
        let pid = node.process.as_ref().and_then(Process::id);
        let mut usage = pid.map_or_else(|| Ok(Usage::default()), process_usage)?;
        for ((from, to), bytes) in &carried {
            usage.sent += if *from == node.plan.id { *bytes } else { 0 };
            usage.received += if *to == node.plan.id { *bytes } else { 0 };
        }
        Ok((node.plan.id.clone(), usage))
    });
    measured.collect()
}

/// Returns the memory and CPU time of a child process.
fn process_usage(pid: u32) -> std::io::Result<Usage> {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}"));
    let stat = read("stat")?;
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let number = |index: usize| fields.get(index).and_then(|f| f.parse().ok()).unwrap_or(0);
    let memory = read("statm")?;
    let pages: u64 = memory
        .split(' ')
        .nth(1)
        .and_then(|f| f.parse().ok())
        .unwrap_or(0);
    Ok(Usage {
        resident: pages * PAGE_BYTES,
        ticks: number(USER_FIELD) + number(SYSTEM_FIELD),
        ..Usage::default()
    })
}

fn print(fleet: &Fleet, role: Role, before: &Usages, after: &Usages, millis: u64, reads: u64) {
    let nodes = fleet.nodes.values().filter(|n| n.plan.role == role);
    let ids: Vec<_> = nodes.map(|n| &n.plan.id).collect();
    let count = ids.len().max(1) as u64;
    let sum = |map: &Usages, field: fn(&Usage) -> u64| -> u64 {
        ids.iter().filter_map(|id| map.get(*id)).map(field).sum()
    };
    let growth = |field: fn(&Usage) -> u64| sum(after, field).saturating_sub(sum(before, field));
    let resident = sum(after, |u| u.resident) / count / 1_024;
    let rate = |total: u64| total * 1_000 / millis / count;
    let micros = growth(|u| u.ticks) * 1_000_000 / TICKS_PER_SECOND / count;
    let hundredths = micros * 1_000 / millis / 100;
    println!(
        "{:>7} | {role} | {resident:>6} | {}.{:02} | {:>6} | {:>6} | {}.{:01}",
        fleet.nodes.len(),
        hundredths / 100,
        hundredths % 100,
        rate(growth(|u| u.sent)),
        rate(growth(|u| u.received)),
        reads * 1_000 / millis,
        reads * 10_000 / millis % 10,
    );
}
