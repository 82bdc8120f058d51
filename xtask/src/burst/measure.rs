//! Measurements of a burst, from counters before and after it.

use std::collections::BTreeMap;
use std::time::Duration;

use apricothall_standin::fleet::Fleet;
use apricothall_standin::load::Load;
use apricothall_types::{Bytes, Rate};
use tokio::time::Instant;

use super::BurstArguments;
use crate::figures::{Figures, Traffic};
use crate::fleet::REGIONS;
use crate::progress::{Arrivals, latest};
use crate::resources;

/// Bytes sent between each two regions.
type RegionTraffic = BTreeMap<(&'static str, &'static str), u64>;

/// Counters before the publication of the new version.
pub(super) struct Baseline {
    traffic: Traffic,
    downloaded: u64,
    regions: RegionTraffic,
    gossip: BTreeMap<String, u64>,
    start: Instant,
}

impl Baseline {
    /// Reads the counters. The load goes on.
    pub(super) async fn read(fleet: &Fleet, load: &Load) -> Self {
        Self {
            traffic: Traffic::of(&load.take()),
            downloaded: downloaded(fleet),
            regions: region_traffic(fleet),
            gossip: resources::gossip(fleet).await,
            start: Instant::now(),
        }
    }

    /// Measurements from the baseline until now. `during` is the live traffic meanwhile.
    pub(super) async fn compare(
        self,
        fleet: &Fleet,
        arguments: &BurstArguments,
        arrivals: &Arrivals,
        during: Traffic,
    ) -> Figures {
        let memory = resources::memory(fleet).await;
        let gossip = resources::gossip(fleet).await;
        let control = max_gossip_rate(&self.gossip, &gossip, self.start.elapsed());
        Figures {
            agents: arguments.agents,
            strategy: arguments.strategy.to_string(),
            weighting: arguments.weighting.to_string(),
            faults: arguments.fault.iter().map(|f| format!("{f:?}")).collect(),
            seed: arguments.seed,
            size: arguments.size.0,
            link: arguments.link.0,
            between: arguments.between.0,
            near: near_time_ratio(arrivals, arguments),
            far: far_time_ratio(arrivals, arguments),
            complete: last_arrival(&arrivals.complete),
            serving: last_arrival(&arrivals.serving),
            origin: ratio(downloaded(fleet) - self.downloaded, arguments.size),
            crossed: largest_region_traffic(fleet, &self.regions, arguments.size),
            slowdown: during.first.p95 / self.traffic.first.p95,
            before: self.traffic,
            during,
            memory,
            control,
        }
    }
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

fn downloaded(fleet: &Fleet) -> u64 {
    fleet.platform.store.sent().total() + fleet.platform.origin.sent().total()
}

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
