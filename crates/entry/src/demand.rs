//! Exchange of demand and loans between entries.
//!
//! Records go straight to the other entries: gossip reaches one member a period, which in a fleet
//! of some twenty takes longer than the term of a loan.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::limits::DemandRecord;
use apricothall_decide::rank;
use apricothall_fleet::{PeerRoutes, View};
use apricothall_kernel::{Context, StartError};
use apricothall_types::Member;
use apricothall_wire::{Channel, Connector, DEMAND_PATH, Incoming, TrafficClass, WireError};
use futures::{SinkExt, StreamExt};
use tokio::time::timeout;

use crate::limits::Limits;

/// Entries that are told in one round at most.
const FANOUT: usize = 16;

type Demands = Channel<DemandRecord, DemandRecord>;

struct Exchange {
    limits: Arc<Limits>,
    view: Arc<View>,
    connector: Arc<Connector>,
    limit: Duration,
}

/// Starts to tell the other entries and to listen to them.
///
/// # Errors
/// When a part is missing.
pub fn start(context: &Context, limits: Arc<Limits>) -> Result<(), StartError> {
    let exchange = Arc::new(Exchange {
        limits,
        view: context.component()?,
        connector: context.component()?,
        limit: context.settings.peers.call.0,
    });
    let server = exchange.clone();
    context
        .component::<PeerRoutes>()?
        .add(DEMAND_PATH, move |incoming| {
            let server = server.clone();
            async move {
                let result = timeout(server.limit, server.serve(incoming)).await;
                count(&result.unwrap_or(Err(WireError::Timeout)));
            }
        });
    context.lifecycle.spawn(run(exchange));
    Ok(())
}

async fn run(exchange: Arc<Exchange>) {
    loop {
        let record = exchange.limits.round();
        for peer in exchange.peers() {
            tokio::spawn(exchange.clone().tell(peer, record.clone()));
        }
        tokio::time::sleep(exchange.limits.period()).await;
    }
}

impl Exchange {
    /// Entries to tell: all, or those that rank first for this entry.
    fn peers(&self) -> Vec<Member> {
        let own = self.view.own_id().as_str();
        self.view.with(|membership| {
            let order = rank::order(own.as_bytes(), membership.entries().map(|m| &m.id));
            let first = order.into_iter().take(FANOUT);
            let seen = first.filter_map(|id| membership.member(id));
            seen.map(|s| s.member.clone()).collect()
        })
    }

    async fn tell(self: Arc<Self>, peer: Member, record: DemandRecord) {
        let told = timeout(self.limit, self.exchange(&peer, record)).await;
        count(&told.unwrap_or(Err(WireError::Timeout)));
    }

    async fn exchange(&self, peer: &Member, record: DemandRecord) -> Result<(), WireError> {
        let address = peer.address;
        let opened = self
            .connector
            .open(address, TrafficClass::Control, DEMAND_PATH, None);
        let mut channel: Demands = opened.await?;
        channel.send(record).await?;
        let answer = channel.next().await.ok_or(WireError::Ended)??;
        self.limits.merge(answer);
        Ok(())
    }

    async fn serve(&self, incoming: Incoming) -> Result<(), WireError> {
        let mut channel: Demands = incoming.accept()?;
        let record = channel.next().await.ok_or(WireError::Ended)??;
        self.limits.merge(record);
        if let Some(own) = self.limits.record() {
            channel.send(own).await?;
        }
        channel.close().await
    }
}

fn count(result: &Result<(), WireError>) {
    let label = if result.is_ok() { "ok" } else { "failed" };
    metrics::counter!("apricothall_demand_exchanges_total", "result" => label).increment(1);
}
