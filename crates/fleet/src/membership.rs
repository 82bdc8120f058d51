//! Plug-in that keeps the view of other daemons by gossip.

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

use crate::{StatusBoard, View};

#[distributed_slice(PLUGINS)]
static MEMBERSHIP: Plugin = Plugin {
    name: "membership",
    stage: Stage::Membership,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Messages heard that wait for the plug-ins that follow revisions.
const HEARD_BUFFER: usize = 256;

/// Messages of other members, for the plug-ins that follow revisions.
pub struct Heard {
    sender: broadcast::Sender<Arc<GossipMessage>>,
}

impl Heard {
    /// Messages from now on.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<GossipMessage>> {
        self.sender.subscribe()
    }

    /// Passes a message on.
    pub fn publish(&self, message: GossipMessage) {
        // An error means that nobody listens yet.
        let _ = self.sender.send(Arc::new(message));
    }
}

/// Least time between two rounds of news.
const PUSH_GAP: Duration = Duration::from_millis(500);

struct Gossip {
    view: Arc<View>,
    heard: Arc<Heard>,
    connector: Arc<Connector>,
    limit: Duration,
}

fn start(context: &Context) -> Result<(), StartError> {
    let config = context.settings.membership.clone();
    let period = config.period.0;
    let own = own_record(context);
    let membership = Membership::new(own, config, context.clock.now());
    let view = Arc::new(View::new(
        membership,
        context.clock,
        context.lifecycle.clone(),
    ));
    context.provide(view.clone());
    let sender = broadcast::Sender::new(HEARD_BUFFER);
    let heard = Arc::new(Heard { sender });
    context.provide(heard.clone());
    let shown = view.clone();
    context
        .component::<StatusBoard>()?
        .section("members", move || json!(shown.members()));
    let connector = context.component::<Connector>()?;
    let limit = context.settings.peers.call.0;
    let gossip = Arc::new(Gossip {
        view,
        heard,
        connector,
        limit,
    });
    context.lifecycle.spawn(run(gossip.clone(), period));
    context.lifecycle.spawn(push_news(gossip.clone()));
    let lifecycle = context.lifecycle.clone();
    context.lifecycle.spawn(async move {
        lifecycle.drain_started().await;
        gossip.send_all(gossip.view.leave());
    });
    Ok(())
}

fn own_record(context: &Context) -> Member {
    let settings = &context.settings;
    Member {
        id: settings.daemon.id.clone(),
        incarnation: context.incarnation,
        sequence: Sequence(0),
        address: settings.peers.public(),
        // An entry adds its address once it listens there.
        public: None,
        role: context.role,
        region: settings.daemon.region.clone(),
        zone: settings.daemon.zone.clone(),
        state: MemberState::Alive,
        revision: Revision(0),
        holdings: Vec::new(),
    }
}

async fn run(gossip: Arc<Gossip>, period: Duration) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gossip.send_all(gossip.view.tick());
    }
}

/// Passes news on at once, with a bound on how often.
async fn push_news(gossip: Arc<Gossip>) {
    loop {
        gossip.view.news().await;
        gossip.send_all(gossip.view.push());
        sleep(PUSH_GAP).await;
    }
}

impl Gossip {
    /// Sends each message in a task of its own, and those that follow from failures.
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
        let exchanged = timeout(self.limit, self.exchange(address, message)).await;
        match exchanged.unwrap_or(Err(WireError::Timeout)) {
            Ok(reply) => {
                let from = target.unwrap_or_else(|| reply.own.id.clone());
                self.view.receive_reply(&from, &reply);
                self.heard.publish(reply);
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
