//! Exchanges demand records and loans of rate limits between entries.
//!
//! Records are sent to the other entries directly. Gossip reaches one member per period, which in a
//! fleet of about twenty members takes longer than the term of a loan.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::limits::DemandRecord;
use apricothall_decide::rank;
use apricothall_fleet::{MembershipView, PeerRoutes};
use apricothall_kernel::{Context, StartError};
use apricothall_types::Member;
use apricothall_wire::{Channel, Connector, DEMAND_PATH, Incoming, TrafficClass, WireError};
use futures::{SinkExt, StreamExt};
use tokio::time::timeout;

use crate::limits::Limits;

/// Maximum number of entries that receive the record in one round.
const FANOUT: usize = 16;

type Demands = Channel<DemandRecord, DemandRecord>;

struct Exchange {
    limits: Arc<Limits>,
    view: Arc<MembershipView>,
    connector: Arc<Connector>,
    call_timeout: Duration,
}

/// Starts to send demand records to the other entries and to accept theirs.
///
/// # Errors
/// When a required component is missing.
pub fn start(context: &Context, limits: Arc<Limits>) -> Result<(), StartError> {
    let exchange = Arc::new(Exchange {
        limits,
        view: context.component()?,
        connector: context.component()?,
        call_timeout: context.settings.peers.call.0,
    });
    let server = exchange.clone();
    context
        .component::<PeerRoutes>()?
        .add(DEMAND_PATH, move |incoming| {
            let server = server.clone();
            async move {
                let result = timeout(server.call_timeout, server.serve(incoming)).await;
                count_exchange(&result.unwrap_or(Err(WireError::Timeout)));
            }
        });
    context.lifecycle.spawn(run(exchange));
    Ok(())
}

async fn run(exchange: Arc<Exchange>) {
    loop {
        let record = exchange.limits.next_record();
        for peer in exchange.exchange_peers() {
            tokio::spawn(exchange.clone().send_to(peer, record.clone()));
        }
        tokio::time::sleep(exchange.limits.period()).await;
    }
}

impl Exchange {
    /// Returns the entries to exchange records with: all of them, or the [`FANOUT`] that rank first
    /// for this entry.
    fn exchange_peers(&self) -> Vec<Member> {
        let own = self.view.own_id().as_str();
        self.view.with(|membership| {
            let order = rank::order(own.as_bytes(), membership.entries().map(|m| &m.id));
            let first = order.into_iter().take(FANOUT);
            let members = first.filter_map(|id| membership.member(id));
            members.map(|s| s.member.clone()).collect()
        })
    }

    async fn send_to(self: Arc<Self>, peer: Member, record: DemandRecord) {
        let sent = timeout(self.call_timeout, self.exchange(&peer, record)).await;
        count_exchange(&sent.unwrap_or(Err(WireError::Timeout)));
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

fn count_exchange(result: &Result<(), WireError>) {
    let label = if result.is_ok() { "ok" } else { "failed" };
    metrics::counter!("apricothall_demand_exchanges_total", "result" => label).increment(1);
}
