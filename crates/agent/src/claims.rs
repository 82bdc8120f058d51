//! Plug-in that runs the claims protocol and the register of keyed calls of this agent.
//!
//! The lease depends on the time at which a read of the VM list was requested. A list received from
//! another daemon does not carry that time, so the agents of a pool read the list themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::configuration::WatchResult;
use apricothall_clients::vm_list::parse_list;
use apricothall_clients::{HttpClient, PlatformError, VmListClient};
use apricothall_decide::claims::{ClaimReply, ClaimRequest, Denial};
use apricothall_decide::dedupe::Home;
use apricothall_fleet::{CatalogueState, ClaimHandler, MembershipView, StatusBoard};
use apricothall_kernel::{Clock, Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{EntryName, MemberId, Role, Timestamp, VmList};
use apricothall_wire::{Connector, WireError};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use linkme::distributed_slice;

use crate::register::{CallStates, CallStep, KeyedCall};

#[distributed_slice(PLUGINS)]
static CLAIMS: Plugin = Plugin {
    name: "claims",
    stage: Stage::Weights,
    roles: &[Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Reads of the VM list in the duration of one lease.
const LIST_READS_PER_LEASE: u32 = 4;

/// Keyed calls of this agent, and the connections to the other agents of its pools.
pub struct ClaimService {
    /// Register and claims of this agent.
    pub calls: CallStates,
    view: Arc<MembershipView>,
    connector: Arc<Connector>,
    call_timeout: Duration,
}

fn start(context: &Context) -> Result<(), StartError> {
    let settings = &context.settings;
    let home = Home {
        id: settings.daemon.id.clone(),
        incarnation: context.incarnation,
    };
    let (claims, dedupe) = (settings.claims.clone(), settings.dedupe.clone());
    let period = claims.lease.0 / LIST_READS_PER_LEASE;
    let claim_service = Arc::new(ClaimService {
        calls: CallStates::new(home, context.clock, claims, dedupe),
        view: context.component()?,
        connector: context.component()?,
        call_timeout: settings.peers.call.0,
    });
    context.provide(claim_service.clone());
    let handler = claim_service.clone();
    context
        .component::<ClaimHandler>()?
        .set_handler(move |name, request| handler.handle_claim(name, request));
    add_status(&*context.component::<StatusBoard>()?, &claim_service);
    let http = context.component::<HttpClient>()?;
    let platform = &settings.platform;
    let reader = ListReader {
        claim_service,
        catalogue: context.component()?,
        client: VmListClient::new((*http).clone(), platform.vms, platform.answer.0),
        clock: context.clock,
        list: VmList::default(),
    };
    context.lifecycle.spawn(reader.run(period));
    Ok(())
}

fn add_status(board: &StatusBoard, claim_service: &Arc<ClaimService>) {
    let status_source = claim_service.clone();
    board.add_section("register", move || status_source.calls.register_status());
    let status_source = claim_service.clone();
    board.add_section("claims", move || status_source.calls.claims_status());
}

impl ClaimService {
    /// Requests claims from the agents `ids` and returns the next step for the call.
    pub async fn obtain_claims(
        &self,
        call: &KeyedCall,
        request: &ClaimRequest,
        ids: &[MemberId],
    ) -> CallStep {
        let mut pending: FuturesUnordered<_> = ids
            .iter()
            .map(|id| self.send_claim(id, &call.name, request))
            .collect();
        while let Some(answer) = pending.next().await {
            let Ok(reply) = answer else {
                metrics::counter!("apricothall_claims_failed_total").increment(1);
                continue;
            };
            if let Some(step) = self.calls.handle_reply(call, &reply) {
                return step;
            }
        }
        // Another order for the same key may have made progress meanwhile.
        match self.calls.handle_order(call) {
            CallStep::Claim(..) => CallStep::Deny(Denial::Silent),
            step => step,
        }
    }

    async fn send_claim(
        &self,
        id: &MemberId,
        name: &EntryName,
        request: &ClaimRequest,
    ) -> Result<ClaimReply, WireError> {
        metrics::counter!("apricothall_claims_sent_total").increment(1);
        let address = self.address(id).ok_or(WireError::Ended)?;
        let exchanged =
            tokio::time::timeout(self.call_timeout, self.exchange(address, name, request)).await;
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
        request: &ClaimRequest,
    ) -> Result<ClaimReply, WireError> {
        let client = self.connector.peer(address).await?;
        let context = tarpc::context::current();
        let reply = client.claim(context, name.clone(), request.clone()).await?;
        reply.ok_or(WireError::Ended)
    }

    fn address(&self, id: &MemberId) -> Option<SocketAddr> {
        let listed = || {
            let list = self.view.vm_list();
            list.vms.iter().find(|vm| vm.id == *id).map(|vm| vm.address)
        };
        self.view.member(id).map(|m| m.address).or_else(listed)
    }

    fn handle_claim(&self, name: &EntryName, request: &ClaimRequest) -> Option<ClaimReply> {
        let reply = self.calls.handle_claim(name, request)?;
        let verdict = format!("{:?}", reply.verdict).to_lowercase();
        metrics::counter!("apricothall_claims_answered_total", "verdict" => verdict).increment(1);
        Some(reply)
    }
}

/// Reads the VM list periodically for the pools that this agent belongs to.
struct ListReader {
    claim_service: Arc<ClaimService>,
    catalogue: Arc<CatalogueState>,
    client: VmListClient,
    clock: Clock,
    list: VmList,
}

impl ListReader {
    async fn run(mut self, period: Duration) {
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let pools = self.own_pools();
            if pools.is_empty() {
                continue;
            }
            let read_started = self.clock.now();
            match self.read_list().await {
                Ok(()) => self.observe(&pools, read_started),
                Err(error) => tracing::info!(%error, "cannot read the VM list"),
            }
        }
    }

    /// Returns the pools of the current catalogue that this agent belongs to or already holds
    /// claims for.
    fn own_pools(&self) -> Vec<(EntryName, Vec<MemberId>)> {
        let current = self.catalogue.current();
        let entries = current.value.entries.iter().filter(|e| !e.repeatable);
        let own = self.claim_service.view.own_id();
        let held = entries
            .filter(|e| e.pool.contains(own) || self.claim_service.calls.holds_claims(&e.name));
        held.map(|e| (e.name.clone(), e.pool.clone())).collect()
    }

    async fn read_list(&mut self) -> Result<(), PlatformError> {
        let watched = self
            .client
            .watch(self.list.revision, Duration::ZERO)
            .await?;
        if let WatchResult::Changed(value) = watched {
            self.list = parse_list(&value.text)?;
        }
        Ok(())
    }

    fn observe(&self, pools: &[(EntryName, Vec<MemberId>)], read_started: Timestamp) {
        for (name, pool) in pools {
            self.claim_service
                .calls
                .observe(name, pool, &self.list, read_started);
        }
    }
}
