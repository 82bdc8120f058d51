//! The fleet of a burst: three regions with one zone each, with entries and agents in each zone.

use std::path::PathBuf;
use std::time::Duration;

use apricothall_standin::engine::EngineSettings;
use apricothall_standin::network::LinkShaping;
use apricothall_standin::plan::Plan;
use apricothall_standin::weights::Weights;
use apricothall_types::{Bytes, Rate};

use crate::burst::BurstArguments;
use crate::error::TaskError;

/// Regions with their zones; the weight store is in the first region.
pub const REGIONS: [(&str, &str); 3] = [
    ("lima", "lima-a"),
    ("arequipa", "arequipa-a"),
    ("cusco", "cusco-a"),
];

/// Name of the model.
pub const MODEL: &str = "drafter";

/// Number of entry VMs, as in the current installation.
const ENTRIES: usize = 7;

/// Rate of the store's link as a multiple of a VM's link.
const STORE_LINK_FACTOR: u64 = 2;

/// Membership period in a burst.
pub const MEMBERSHIP_PERIOD: &str = "250ms";

/// Size of the weights served before the burst.
const INITIAL_SIZE: Bytes = Bytes::kib(256);

/// Versions of the model.
pub struct Versions {
    /// Version that is served before the burst.
    pub first: Weights,
    /// Version that the burst distributes.
    pub second: Weights,
    /// Version that is published during the transfer, if the fault `version` is requested.
    pub third: Weights,
}

impl Versions {
    /// Generates the weights of all versions from the seed of the run.
    #[must_use]
    pub fn generate(arguments: &BurstArguments) -> Self {
        let first = Weights::generate(arguments.seed, INITIAL_SIZE, arguments.chunk);
        let second = Weights::generate(arguments.seed + 1, arguments.size, arguments.chunk);
        let third = Weights::generate(arguments.seed + 2, arguments.size, arguments.chunk);
        Self {
            first,
            second,
            third,
        }
    }

    /// Returns a catalogue with `current` as the current version.
    #[must_use]
    pub fn catalogue(&self, current: u32, arguments: &BurstArguments) -> String {
        let weighting = arguments.weighting;
        let replicas = arguments.agents;
        let window = arguments.window;
        let (first, second) = (self.first.digest, self.second.digest);
        let third = self.third.digest;
        format!(
            "[[entries]]\nname = \"{MODEL}\"\nkind = \"model\"\nowner = \"desbroce\"\n\
             replicas = {replicas}\nwindow = {window}\nweighting = \"{weighting}\"\n\
             current = \"{current}\"\n\
             [[entries.versions]]\nversion = \"1\"\nmanifest = \"{first}\"\n\
             [[entries.versions]]\nversion = \"2\"\nmanifest = \"{second}\"\n\
             [[entries.versions]]\nversion = \"3\"\nmanifest = \"{third}\"\n"
        )
    }
}

/// Returns the id of the agent with this number.
#[must_use]
pub fn agent_id(index: usize) -> String {
    format!("{}-agent-{index}", REGIONS[index % REGIONS.len()].0)
}

/// Returns the plan of the fleet.
///
/// # Errors
/// Returns an error if a name is not permitted.
pub fn plan(
    arguments: &BurstArguments,
    binary: PathBuf,
    catalogue: String,
) -> Result<Plan, TaskError> {
    let (region, zone) = REGIONS[0];
    let mut plan = Plan::new(binary, region, zone)?;
    for index in 0..ENTRIES {
        let (region, zone) = REGIONS[index % REGIONS.len()];
        plan = plan.entry(&format!("{region}-entry-{index}"), region, zone)?;
    }
    for index in 0..arguments.agents {
        let (region, zone) = REGIONS[index % REGIONS.len()];
        plan = plan.engine(&agent_id(index), region, zone, EngineSettings::default())?;
    }
    plan.shape = link_shaping(arguments);
    plan.seed = arguments.seed;
    let plan = plan.with_settings(&settings(arguments))?;
    let plan = plan.with_settings(&arguments.settings)?;
    Ok(plan.with_catalogue(catalogue))
}

/// Settings of all daemons: the rates of the shaped links and a shorter membership period, because
/// the burst takes only seconds.
fn settings(arguments: &BurstArguments) -> String {
    let (link, between) = (arguments.link, arguments.between);
    let store = Rate(link.0 * STORE_LINK_FACTOR);
    let strategy = arguments.strategy.as_str();
    format!(
        "membership.period = \"{MEMBERSHIP_PERIOD}\"\n\
         [transfer]\nstrategy = \"{strategy}\"\nlink = \"{link}\"\nstore = \"{store}\"\n\
         cross = \"{between}\"\n"
    )
}

fn link_shaping(arguments: &BurstArguments) -> LinkShaping {
    LinkShaping {
        zones: Duration::from_millis(4),
        regions: Duration::from_millis(3),
        clients: Duration::from_millis(2),
        jitter: Duration::from_millis(1),
        between: Some(arguments.between),
        vm: Some(arguments.link),
        store: Some(Rate(arguments.link.0 * STORE_LINK_FACTOR)),
    }
}
