//! `cargo xtask burst`: distributes a new version to all agents under live traffic and measures it.

mod arguments;
mod measure;

use std::path::PathBuf;
use std::time::Duration;

use apricothall_standin::StandinError;
use apricothall_standin::caller::{CallOptions, Caller};
use apricothall_standin::fleet::Fleet;
use apricothall_standin::load::{Load, LoadPlan, ReferenceWeights};
use apricothall_types::Digest;
use smol_str::SmolStr;

pub use self::arguments::BurstArguments;
use self::measure::Baseline;
use crate::error::TaskError;
use crate::faults::{Fault, Schedule};
use crate::figures::Traffic;
use crate::fleet::{MODEL, REGIONS, Versions, agent_id, plan};
use crate::progress::{WatchOptions, watch};
use crate::table;

/// Duration of live traffic before the new version is published.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

/// Timeout for a version to be served by all agents.
const VERSION_TIMEOUT: Duration = Duration::from_mins(2);

/// Number of client accounts, as in the current installation.
const CALLERS: usize = 10;

/// Minimum and maximum number of tokens per response.
const TOKENS: (u32, u32) = (8, 24);

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
    let baseline = Baseline::read(&fleet, &load).await;
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
    let figures = baseline
        .compare(&fleet, &arguments, &arrivals, during)
        .await;
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
