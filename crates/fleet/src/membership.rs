//! Plug-in that runs the gossip protocol and maintains the membership view.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::membership::{GossipMessage, Membership, Outgoing};
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Member, MemberState, Revision, Role, Sequence};
use apricothall_wire::{Connector, WireError};
use futures::future::BoxFuture;
use linkme::distributed_slice;
use serde_json::json;
use tokio::sync::broadcast;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::{MembershipView, StatusBoard};

#[distributed_slice(PLUGINS)]
static MEMBERSHIP: Plugin = Plugin {
    name: "membership",
    stage: Stage::Membership,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Capacity of the channel of received messages.
const RECEIVED_BUFFER: usize = 256;

/// Channel of received gossip messages, for the plug-ins that follow revisions.
pub struct ReceivedGossip {
    sender: broadcast::Sender<Arc<GossipMessage>>,
}

impl ReceivedGossip {
    /// Subscribes to messages received from now on.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<GossipMessage>> {
        self.sender.subscribe()
    }

    /// Sends a message to the subscribers.
    pub fn publish(&self, message: GossipMessage) {
        // An error means that there are no subscribers.
        let _ = self.sender.send(Arc::new(message));
    }
}

/// Minimum time between two rounds of immediate updates.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(500);

struct Gossip {
    view: Arc<MembershipView>,
    received: Arc<ReceivedGossip>,
    connector: Arc<Connector>,
    call_timeout: Duration,
}

fn start(context: &Context) -> Result<(), StartError> {
    let config = context.settings.membership.clone();
    let period = config.period.0;
    let own = own_record(context);
    let membership = Membership::new(own, config, context.clock.now());
    let view = Arc::new(MembershipView::new(
        membership,
        context.clock,
        context.lifecycle.clone(),
    ));
    context.provide(view.clone());
    let sender = broadcast::Sender::new(RECEIVED_BUFFER);
    let received = Arc::new(ReceivedGossip { sender });
    context.provide(received.clone());
    let source = view.clone();
    context
        .component::<StatusBoard>()?
        .add_section("members", move || json!(source.members()));
    let connector = context.component::<Connector>()?;
    let call_timeout = context.settings.peers.call.0;
    let gossip = Arc::new(Gossip {
        view,
        received,
        connector,
        call_timeout,
    });
    context.lifecycle.spawn(run(gossip.clone(), period));
    context.lifecycle.spawn(push_updates(gossip.clone()));
    let lifecycle = context.lifecycle.clone();
    context.lifecycle.spawn(async move {
        lifecycle.drain_started().await;
        gossip.send_all(gossip.view.leave());
    });
    Ok(())
}

/// Returns the initial member record of this daemon.
fn own_record(context: &Context) -> Member {
    let settings = &context.settings;
    Member {
        id: settings.daemon.id.clone(),
        incarnation: context.incarnation,
        sequence: Sequence(0),
        address: settings.peers.public(),
        // An entry sets its public address once it listens there.
        public: None,
        role: context.role,
        region: settings.daemon.region.clone(),
        zone: settings.daemon.zone.clone(),
        state: MemberState::Alive,
        revision: Revision(0),
        holdings: Vec::new(),
    }
}

/// Sends the messages of each gossip round.
async fn run(gossip: Arc<Gossip>, period: Duration) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gossip.send_all(gossip.view.tick());
    }
}

/// Sends updates without waiting for the next gossip round, at most one per
/// [`MIN_PUSH_INTERVAL`].
async fn push_updates(gossip: Arc<Gossip>) {
    loop {
        gossip.view.update_pending().await;
        gossip.send_all(gossip.view.push());
        sleep(MIN_PUSH_INTERVAL).await;
    }
}

impl Gossip {
    /// Sends each message in a task of its own. A failed probe sends further messages to helpers.
    fn send_all(self: &Arc<Self>, messages: Vec<Outgoing>) {
        for message in messages {
            tokio::spawn(self.clone().send(message));
        }
    }

    fn send(self: Arc<Self>, outgoing: Outgoing) -> BoxFuture<'static, ()> {
        Box::pin(async move { self.deliver(outgoing).await })
    }

    async fn deliver(self: Arc<Self>, outgoing: Outgoing) {
        let Outgoing {
            target,
            address,
            message,
        } = outgoing;
        let size = apricothall_decide::membership::size_bound(&message);
        metrics::counter!("apricothall_gossip_sent_bytes_total").increment(size as u64);
        let exchanged = timeout(self.call_timeout, self.exchange(address, message)).await;
        match exchanged.unwrap_or(Err(WireError::Timeout)) {
            Ok(reply) => {
                let from = target.unwrap_or_else(|| reply.own.id.clone());
                self.view.receive_reply(&from, &reply);
                self.received.publish(reply);
            }
            Err(error) => {
                tracing::debug!(%address, %error, "gossip failed");
                metrics::counter!("apricothall_gossip_failed_total").increment(1);
                self.connector.drop_session(address).await;
                if let Some(target) = target {
                    self.send_all(self.view.probe_failed(&target));
                }
            }
        }
    }

    async fn exchange(
        &self,
        address: std::net::SocketAddr,
        message: GossipMessage,
    ) -> Result<GossipMessage, WireError> {
        let client = self.connector.peer(address).await?;
        Ok(client.exchange(tarpc::context::current(), message).await?)
    }
}
