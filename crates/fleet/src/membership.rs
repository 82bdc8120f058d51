//! Plug-in that keeps the view of other daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use apricothall_kernel::configs::CallersConfig;
use apricothall_kernel::{Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_platform::{HttpClient, VmListClient};
use apricothall_types::{Member, MemberId, MemberState, Revision, Role, Sequence, VmList};
use apricothall_wire::{Connector, WireError};
use linkme::distributed_slice;
use serde_json::json;
use tokio::sync::watch;

use crate::StatusBoard;

#[distributed_slice(PLUGINS)]
static MEMBERSHIP: Plugin = Plugin {
    name: "membership",
    stage: Stage::Membership,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Time between two rounds of exchanges.
const ROUND: Duration = Duration::from_millis(250);

/// Pause after a failed read of the VM list.
const LIST_PAUSE: Duration = Duration::from_millis(500);

/// The members known to this daemon, itself included.
pub struct View {
    own: MemberId,
    members: RwLock<BTreeMap<MemberId, Member>>,
    list: watch::Sender<VmList>,
    changes: watch::Sender<u64>,
}

impl View {
    fn new(own: Member) -> Self {
        let id = own.id.clone();
        Self {
            own: id.clone(),
            members: RwLock::new(BTreeMap::from([(id, own)])),
            list: watch::Sender::new(VmList::default()),
            changes: watch::Sender::new(0),
        }
    }

    /// All members.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    /// The member called `id`.
    #[must_use]
    pub fn member(&self, id: &MemberId) -> Option<Member> {
        self.members
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(id)
            .cloned()
    }

    /// Members that take new work.
    #[must_use]
    pub fn alive(&self) -> Vec<Member> {
        self.members()
            .into_iter()
            .filter(Member::is_alive)
            .collect()
    }

    /// The newest VM list seen.
    #[must_use]
    pub fn list(&self) -> VmList {
        self.list.borrow().clone()
    }

    /// Signals each change of the view.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Changes this daemon's own record, which then spreads.
    pub fn update_own(&self, change: impl FnOnce(&mut Member)) {
        let mut members = self.members.write().unwrap_or_else(PoisonError::into_inner);
        let Some(own) = members.get_mut(&self.own) else {
            return;
        };
        let before = own.clone();
        change(own);
        if *own != before {
            own.sequence = before.sequence.next();
            drop(members);
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Takes over records that are newer than those known.
    pub fn merge(&self, records: Vec<Member>) {
        let mut changed = false;
        let mut members = self.members.write().unwrap_or_else(PoisonError::into_inner);
        for record in records {
            let newer = members
                .get(&record.id)
                .is_none_or(|known| record.supersedes(known));
            if newer && record.id != self.own {
                members.insert(record.id.clone(), record);
                changed = true;
            }
        }
        drop(members);
        if changed {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    fn mark_gone(&self, address: SocketAddr) {
        let mut members = self.members.write().unwrap_or_else(PoisonError::into_inner);
        let found = members.values_mut().find(|m| m.address == address);
        if let Some(member) = found.filter(|m| m.state != MemberState::Gone) {
            member.state = MemberState::Gone;
            drop(members);
            self.changes.send_modify(|n| *n += 1);
        }
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let view = Arc::new(View::new(own_record(context)));
    context.provide(view.clone());
    let board = context.part::<StatusBoard>()?;
    let shown = view.clone();
    board.section("members", move || json!(shown.members()));
    let connector = context.part::<Connector>()?;
    context.lifecycle.spawn(gossip(view.clone(), connector));
    let http = context.part::<HttpClient>()?;
    let platform = &context.settings.platform;
    let client = VmListClient::new((*http).clone(), platform.vms, platform.answer.0);
    context
        .lifecycle
        .spawn(watch_list(view.clone(), client, platform.watch.0));
    let lifecycle = context.lifecycle.clone();
    context.lifecycle.spawn(async move {
        lifecycle.left().await;
        view.update_own(|own| own.state = MemberState::Leaving);
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
        public: settings.callers.as_ref().map(CallersConfig::public),
        role: context.role,
        region: settings.daemon.region.clone(),
        zone: settings.daemon.zone.clone(),
        state: MemberState::Alive,
        revision: Revision(0),
        holdings: Vec::new(),
    }
}

async fn watch_list(view: Arc<View>, client: VmListClient, wait: Duration) {
    loop {
        let after = view.list.borrow().revision;
        match client.watch(after, wait).await {
            Ok(Some(list)) if list.revision > after => {
                view.list.send_replace(list);
            }
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(%error, "cannot read the VM list");
                tokio::time::sleep(LIST_PAUSE).await;
            }
        }
    }
}

async fn gossip(view: Arc<View>, connector: Arc<Connector>) {
    loop {
        let own = view.member(&view.own).map(|own| own.id);
        for vm in view.list().vms {
            if Some(&vm.id) == own.as_ref() {
                continue;
            }
            if let Ok(records) = exchange(&view, &connector, vm.address).await {
                view.merge(records);
            } else {
                connector.drop_peer(vm.address).await;
                view.mark_gone(vm.address);
            }
        }
        tokio::time::sleep(ROUND).await;
    }
}

async fn exchange(
    view: &View,
    connector: &Connector,
    address: SocketAddr,
) -> Result<Vec<Member>, WireError> {
    let client = connector.peer(address).await?;
    Ok(client
        .exchange(tarpc::context::current(), view.members())
        .await?)
}
