//! Arguments of a burst.

use apricothall_types::{Bytes, Rate};
use clap::Args;
use smol_str::SmolStr;

use crate::faults::Fault;

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
    pub(super) const fn link_share(self) -> u64 {
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
