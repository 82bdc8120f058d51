//! `cargo xtask burst`: distributes a new version to all agents under live traffic and measures it.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use apricothall_standin::StandinError;
use apricothall_standin::caller::{CallOptions, Caller};
use apricothall_standin::fleet::Fleet;
use apricothall_standin::load::{Load, LoadPlan, ReferenceWeights};
use apricothall_types::{Bytes, Digest, Rate};
use clap::Args;
use smol_str::SmolStr;
use thiserror::Error;

use crate::faults::{Fault, Schedule};
use crate::figures::{Figures, Traffic};
use crate::fleet::{MODEL, REGIONS, Versions, agent_id, plan};
use crate::progress::{Arrivals, WatchOptions, latest, watch};
use crate::{resources, table};

/// Duration of live traffic before the new version is published.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

/// Timeout for a version to be served by all agents.
const VERSION_TIMEOUT: Duration = Duration::from_mins(2);

/// Number of client accounts, as in the current installation.
const CALLERS: usize = 10;

/// Minimum and maximum number of tokens per response.
const TOKENS: (u32, u32) = (8, 24);

/// An error of a task.
#[derive(Debug, Error)]
pub enum TaskError {
    /// The daemon failed to build.
    #[error("failed to build the daemon")]
    Build,
    /// A program could not be started or a file could not be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A test double or the harness failed.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// The figures could not be converted to or from JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error("cannot draw plot: {0}")]
    Draw(SmolStr),
    /// A version did not reach all agents in time.
    #[error("timed out waiting for version {version} on all agents; end of an agent's log:\n{log}")]
    VersionTimeout {
        /// The version.
        version: SmolStr,
        /// End of the log of an agent that does not serve it.
        log: String,
    },
}

/// Arguments of the task.
#[derive(Args, Clone)]
pub struct BurstArguments {
    /// Number of agents, spread evenly over three regions.
    #[arg(long, default_value_t = 12)]
    pub agents: usize,
    /// Size of the weights.
    #[arg(long, default_value = "16 MiB")]
    pub size: Bytes,
    /// Size of a chunk.
    #[arg(long, default_value = "256 KiB")]
    pub chunk: Bytes,
    /// Rate of each VM's link, in each direction; the store's link has twice this rate.
    #[arg(long, default_value = "32 Mb/s")]
    pub link: Rate,
    /// Rate between two regions, in each direction, shared by all traffic.
    #[arg(long, default_value = "22 Mb/s")]
    pub between: Rate,
    /// Live requests per second.
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    /// Strategy for the transfer of weights.
    #[arg(long, default_value = "ranked")]
    pub strategy: SmolStr,
    /// What the transfer optimizes for: bytes or time.
    #[arg(long, default_value = "bytes")]
    pub weighting: Weighting,
    /// Number of replicas in a zone that may reload at the same time.
    #[arg(long, default_value_t = 1)]
    pub window: u32,
    /// Seed of weights, load and jitter.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Faults to inject, at times derived from the seed.
    #[arg(long, value_delimiter = ',')]
    pub fault: Vec<Fault>,
    /// Additional settings of all daemons, as TOML.
    #[arg(long, default_value = "")]
    pub settings: String,
    /// Print only the line of JSON.
    #[arg(long)]
    pub json: bool,
}

/// What a transfer optimizes for, as in the catalogue.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub enum Weighting {
    /// Bytes from the origin and between regions.
    Bytes,
    /// Time to complete.
    Time,
}

impl Weighting {
    /// Percentage of a link between regions that transfers of weights may use, as in the daemons'
    /// settings.
    const fn link_share(self) -> u64 {
        match self {
            Self::Bytes => 75,
            Self::Time => 85,
        }
    }
}

impl std::fmt::Display for Weighting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Bytes => "bytes",
            Self::Time => "time",
        })
    }
}

/// Runs a burst and prints its figures.
///
/// # Errors
/// Returns an error if the fleet does not start or the version does not reach all agents in time.
pub async fn run(arguments: BurstArguments, binary: PathBuf) -> Result<(), TaskError> {
    let versions = Versions::generate(&arguments);
    let plan = plan(&arguments, binary, versions.catalogue(1, &arguments))?;
    let shown = !arguments.json;
    let mut fleet = Fleet::start(plan).await?;
    publish(&fleet, &versions);
    let agents: Vec<_> = (0..arguments.agents).map(agent_id).collect();
    let watch_options = |version, shown| WatchOptions {
        agents: agents.clone(),
        version,
        limit: VERSION_TIMEOUT,
        shown,
    };
    watch(&mut fleet, &watch_options("1", false), None).await?;
    fleet.ready().await?;
    let load = start_load(&mut fleet, &arguments, &versions)?;
    tokio::time::sleep(WARM_UP_TIME).await;
    let before = Traffic::of(&load.take());
    let downloaded = downloaded(&fleet);
    let traffic_before = region_traffic(&fleet);
    let sent = resources::gossip(&fleet).await;
    let start = tokio::time::Instant::now();
    fleet
        .platform
        .config
        .publish("catalogue", versions.catalogue(2, &arguments));
    let mut faults = schedule(&arguments, &versions);
    let last = if arguments.fault.contains(&Fault::Version) {
        "3"
    } else {
        "2"
    };
    let arrivals = watch(&mut fleet, &watch_options(last, shown), Some(&mut faults)).await?;
    let during = Traffic::of(&load.close().await);
    let memory = resources::memory(&fleet).await;
    let control = max_gossip_rate(&sent, &resources::gossip(&fleet).await, start.elapsed());
    let figures = Figures {
        agents: arguments.agents,
        strategy: arguments.strategy.to_string(),
        weighting: arguments.weighting.to_string(),
        faults: arguments.fault.iter().map(|f| format!("{f:?}")).collect(),
        seed: arguments.seed,
        size: arguments.size.0,
        link: arguments.link.0,
        between: arguments.between.0,
        near: near_time_ratio(&arrivals, &arguments),
        far: far_time_ratio(&arrivals, &arguments),
        complete: last_arrival(&arrivals.complete),
        serving: last_arrival(&arrivals.serving),
        origin: ratio(self::downloaded(&fleet) - downloaded, arguments.size),
        crossed: largest_region_traffic(&fleet, &traffic_before, arguments.size),
        slowdown: during.first.p95 / before.first.p95,
        before,
        during,
        memory,
        control,
    };
    fleet.close().await;
    if shown {
        table::print(&figures);
    }
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

fn schedule(arguments: &BurstArguments, versions: &Versions) -> Schedule {
    let second = &versions.second;
    Schedule::new(
        &arguments.fault,
        arguments.seed,
        arguments.link.time_for(arguments.size),
        arguments.agents,
        (second.digest, second.manifest.count()),
        versions.catalogue(3, arguments),
    )
}

/// Highest rate at which a daemon sent gossip, in bytes per second.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts stay far below 2^52 bytes"
)]
fn max_gossip_rate(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
    span: Duration,
) -> f64 {
    let growth = after
        .iter()
        .map(|(id, n)| n.saturating_sub(before.get(id).copied().unwrap_or(0)));
    growth.max().unwrap_or(0) as f64 / span.as_secs_f64()
}

fn publish(fleet: &Fleet, versions: &Versions) {
    for weights in [&versions.first, &versions.second, &versions.third] {
        fleet.platform.store.publish(weights.clone());
        fleet.platform.origin.publish(weights.clone());
    }
}

fn start_load(
    fleet: &mut Fleet,
    arguments: &BurstArguments,
    versions: &Versions,
) -> Result<Load, TaskError> {
    let weights = ReferenceWeights::default();
    for (name, version) in [
        ("1", &versions.first),
        ("2", &versions.second),
        ("3", &versions.third),
    ] {
        let name = name.parse().map_err(StandinError::from)?;
        weights.add(name, Digest::of(&version.bytes));
    }
    let entries: Vec<_> = fleet
        .entries()
        .map(apricothall_standin::node::Node::callers)
        .collect();
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let (region, zone) = REGIONS[index % REGIONS.len()];
        let name = format!("caller-{index}");
        let source = fleet.client(&name, region, zone)?;
        callers.push(Caller::new(&name, Some(source), entries.clone()));
    }
    let plan = LoadPlan {
        rate: arguments.rate,
        models: vec![SmolStr::new(MODEL)],
        tokens: TOKENS,
        options: CallOptions::default(),
        seed: arguments.seed,
    };
    Ok(Load::start(plan, callers, weights))
}

fn downloaded(fleet: &Fleet) -> u64 {
    fleet.platform.store.sent().total() + fleet.platform.origin.sent().total()
}

type RegionTraffic = BTreeMap<(&'static str, &'static str), u64>;

fn region_traffic(fleet: &Fleet) -> RegionTraffic {
    let names = REGIONS.map(|(region, _)| region);
    let pairs = names.into_iter().flat_map(|a| names.map(|b| (a, b)));
    let bytes = pairs.filter(|(a, b)| a != b).filter_map(|(a, b)| {
        let (from, to) = (a.parse().ok()?, b.parse().ok()?);
        Some(((a, b), fleet.network.bytes_between(&from, &to)))
    });
    bytes.collect()
}

fn largest_region_traffic(fleet: &Fleet, before: &RegionTraffic, size: Bytes) -> f64 {
    let now = region_traffic(fleet);
    let growth = now
        .iter()
        .map(|(pair, bytes)| bytes - before.get(pair).unwrap_or(&0));
    ratio(growth.max().unwrap_or(0), size)
}

fn near_time_ratio(arrivals: &Arrivals, arguments: &BurstArguments) -> Option<f64> {
    let ideal = arguments.link.time_for(arguments.size);
    latest(&arrivals.complete, 0).map(|t| t.as_secs_f64() / ideal.as_secs_f64())
}

fn far_time_ratio(arrivals: &Arrivals, arguments: &BurstArguments) -> Option<f64> {
    let share = arguments.weighting.link_share();
    let left = Rate(arguments.between.0 * share / 100);
    let ideal = left.time_for(arguments.size);
    let far = (1..REGIONS.len())
        .filter_map(|region| latest(&arrivals.complete, region))
        .max();
    far.map(|t| t.as_secs_f64() / ideal.as_secs_f64())
}

fn last_arrival(arrivals: &BTreeMap<String, Duration>) -> f64 {
    arrivals
        .values()
        .max()
        .copied()
        .unwrap_or_default()
        .as_secs_f64()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes stay far below 2^52 bytes"
)]
fn ratio(bytes: u64, size: Bytes) -> f64 {
    bytes as f64 / size.0 as f64
}
