//! Plug-in that holds the claims and the register of this agent.
//!
//! The lease needs the time at which a read of the VM list was asked for, which a list heard from
//! another daemon does not tell. So agents of a pool read the list themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::configuration::WatchResult;
use apricothall_clients::vm_list::parse_list;
use apricothall_clients::{HttpClient, PlatformError, VmListClient};
use apricothall_decide::claims::{ClaimReply, ClaimRequest, Denial};
use apricothall_decide::dedupe::Home;
use apricothall_fleet::{CatalogueState, ClaimDesk, StatusBoard, View};
use apricothall_kernel::{Clock, Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{EntryName, MemberId, Role, Timestamp, VmList};
use apricothall_wire::{Connector, WireError};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use linkme::distributed_slice;

use crate::register::{Calls, Keyed, Step};

#[distributed_slice(PLUGINS)]
static CLAIMS: Plugin = Plugin {
    name: "claims",
    stage: Stage::Weights,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Reads of the VM list for each lease.
const READS_PER_LEASE: u32 = 4;

/// The calls of this agent and the way to the other agents of its pools.
pub struct Claimant {
    /// Register and claims.
    pub calls: Calls,
    view: Arc<View>,
    connector: Arc<Connector>,
    limit: Duration,
}

fn start(context: &Context) -> Result<(), StartError> {
    let settings = &context.settings;
    let home = Home {
        id: settings.daemon.id.clone(),
        incarnation: context.incarnation,
    };
    let (claims, dedupe) = (settings.claims.clone(), settings.dedupe.clone());
    let period = claims.lease.0 / READS_PER_LEASE;
    let claimant = Arc::new(Claimant {
        calls: Calls::new(home, context.clock, claims, dedupe),
        view: context.component()?,
        connector: context.component()?,
        limit: settings.peers.call.0,
    });
    context.provide(claimant.clone());
    let desk = claimant.clone();
    context
        .component::<ClaimDesk>()?
        .open(move |name, ask| desk.answer(name, ask));
    add_status(&*context.component::<StatusBoard>()?, &claimant);
    let http = context.component::<HttpClient>()?;
    let platform = &settings.platform;
    let reader = Reader {
        claimant,
        catalogue: context.component()?,
        client: VmListClient::new((*http).clone(), platform.vms, platform.answer.0),
        clock: context.clock,
        list: VmList::default(),
    };
    context.lifecycle.spawn(reader.run(period));
    Ok(())
}

fn add_status(board: &StatusBoard, claimant: &Arc<Claimant>) {
    let shown = claimant.clone();
    board.section("register", move || shown.calls.register_status());
    let shown = claimant.clone();
    board.section("claims", move || shown.calls.claims_status());
}

impl Claimant {
    /// Obtains claims and returns what follows for the call.
    pub async fn claim(&self, call: &Keyed, ask: &ClaimRequest, ids: &[MemberId]) -> Step {
        let mut asked: FuturesUnordered<_> =
            ids.iter().map(|id| self.ask(id, &call.name, ask)).collect();
        while let Some(answer) = asked.next().await {
            let Ok(reply) = answer else {
                metrics::counter!("apricothall_claims_failed_total").increment(1);
                continue;
            };
            if let Some(step) = self.calls.reply(call, &reply) {
                return step;
            }
        }
        // Another order for the key may have come further meanwhile.
        match self.calls.order(call) {
            Step::Claim(..) => Step::Deny(Denial::Silent),
            step => step,
        }
    }

    async fn ask(
        &self,
        id: &MemberId,
        name: &EntryName,
        ask: &ClaimRequest,
    ) -> Result<ClaimReply, WireError> {
        metrics::counter!("apricothall_claims_sent_total").increment(1);
        let address = self.address(id).ok_or(WireError::Ended)?;
        let exchanged = tokio::time::timeout(self.limit, self.exchange(address, name, ask)).await;
        let exchanged = exchanged.unwrap_or(Err(WireError::Timeout));
        if exchanged.is_err() {
            self.connector.drop_session(address).await;
        }
        exchanged
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        name: &EntryName,
        ask: &ClaimRequest,
    ) -> Result<ClaimReply, WireError> {
        let client = self.connector.peer(address).await?;
        let context = tarpc::context::current();
        let reply = client.claim(context, name.clone(), ask.clone()).await?;
        reply.ok_or(WireError::Ended)
    }

    fn address(&self, id: &MemberId) -> Option<SocketAddr> {
        let listed = || {
            let list = self.view.list();
            list.vms.iter().find(|vm| vm.id == *id).map(|vm| vm.address)
        };
        self.view.member(id).map(|m| m.address).or_else(listed)
    }

    fn answer(&self, name: &EntryName, ask: &ClaimRequest) -> Option<ClaimReply> {
        let reply = self.calls.answer(name, ask)?;
        let verdict = format!("{:?}", reply.verdict).to_lowercase();
        metrics::counter!("apricothall_claims_answered_total", "verdict" => verdict).increment(1);
        Some(reply)
    }
}

/// Reads the VM list for the pools that this agent is in.
struct Reader {
    claimant: Arc<Claimant>,
    catalogue: Arc<CatalogueState>,
    client: VmListClient,
    clock: Clock,
    list: VmList,
}

impl Reader {
    async fn run(mut self, period: Duration) {
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let pools = self.pools();
            if pools.is_empty() {
                continue;
            }
            let asked = self.clock.now();
            match self.read().await {
                Ok(()) => self.observe(&pools, asked),
                Err(error) => tracing::info!(%error, "cannot read the VM list"),
            }
        }
    }

    /// Pools of the catalogue in force that this agent is in, or was in when it last read.
    fn pools(&self) -> Vec<(EntryName, Vec<MemberId>)> {
        let current = self.catalogue.current();
        let entries = current.value.entries.iter().filter(|e| !e.repeatable);
        let own = self.claimant.view.own_id();
        let held = entries.filter(|e| e.pool.contains(own) || self.claimant.calls.knows(&e.name));
        held.map(|e| (e.name.clone(), e.pool.clone())).collect()
    }

    async fn read(&mut self) -> Result<(), PlatformError> {
        let watched = self
            .client
            .watch(self.list.revision, Duration::ZERO)
            .await?;
        if let WatchResult::Changed(value) = watched {
            self.list = parse_list(&value.text)?;
        }
        Ok(())
    }

    fn observe(&self, pools: &[(EntryName, Vec<MemberId>)], asked: Timestamp) {
        for (name, pool) in pools {
            self.claimant.calls.observe(name, pool, &self.list, asked);
        }
    }
}
