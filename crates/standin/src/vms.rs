//! Test double of the platform's VM list, which can lag behind the fleet.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use apricothall_types::{MemberId, Revision, Vm, VmList, VmState};
use http::{Method, StatusCode};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::server::{Call, Gate, Mode, Reply, Server, json, reply};

struct State {
    list: VmList,
    lag: Duration,
    held: bool,
}

/// Handle of a running VM list service.
pub struct VmService {
    state: Mutex<State>,
    visible: Arc<watch::Sender<VmList>>,
    gate: Gate,
    server: Server,
}

impl VmService {
    /// Starts a service with an empty list and no lag.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let visible = Arc::new(watch::Sender::new(VmList::default()));
        let gate = Gate::default();
        let inner = visible.clone();
        let handler = move |call: Call| {
            let visible = inner.subscribe();
            async move { answer(visible, &call).await }
        };
        let server = Server::start(address, gate.clone(), handler).await?;
        let state = Mutex::new(State {
            list: VmList::default(),
            lag: Duration::ZERO,
            held: false,
        });
        Ok(Self {
            state,
            visible,
            gate,
            server,
        })
    }

    /// Address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds or updates VMs. `since` is set here: kept for a VM that is already listed, new for
    /// others.
    pub fn list(&self, vms: impl IntoIterator<Item = Vm>) -> Revision {
        self.change(|list| {
            for mut vm in vms {
                let existing = list.vms.iter().position(|v| v.id == vm.id);
                let Some(position) = existing else {
                    vm.since = list.revision;
                    list.vms.push(vm);
                    continue;
                };
                vm.since = list.vms[position].since;
                list.vms[position] = vm;
            }
        })
    }

    /// Removes a VM from the list, whether or not it is running.
    pub fn remove_vm(&self, id: &MemberId) -> Revision {
        self.change(|list| list.vms.retain(|vm| vm.id != *id))
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, id: &MemberId) -> Revision {
        self.change(|list| {
            let found = list.vms.iter_mut().filter(|vm| vm.id == *id);
            found.for_each(|vm| vm.state = VmState::Leaving);
        })
    }

    /// Sets the time until readers see subsequent changes.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Hides all changes from readers while `held`; releasing shows the newest list.
    pub fn set_held(&self, held: bool) {
        let mut state = self.lock();
        state.held = held;
        if !held {
            self.visible.send_replace(state.list.clone());
        }
    }

    /// Sets how connections are handled.
    pub fn set_mode(&self, mode: Mode) {
        self.gate.set_mode(mode);
    }

    /// Makes the service unreachable from exactly these source addresses.
    pub fn block(&self, sources: impl IntoIterator<Item = IpAddr>) {
        self.gate.block(sources);
    }

    /// Returns the list that readers see.
    #[must_use]
    pub fn visible(&self) -> VmList {
        self.visible.borrow().clone()
    }

    /// Stops the service and closes all connections.
    pub async fn close(self) {
        self.server.close().await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, edit: impl FnOnce(&mut VmList)) -> Revision {
        let mut state = self.lock();
        state.list.revision = state.list.revision.next();
        edit(&mut state.list);
        let list = state.list.clone();
        let revision = list.revision;
        if state.held {
            return revision;
        }
        if state.lag.is_zero() {
            publish(&self.visible, list);
            return revision;
        }
        let (lag, visible) = (state.lag, self.visible.clone());
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            publish(&visible, list);
        });
        revision
    }
}

/// Publishes `list` to readers unless they already see a newer one.
fn publish(visible: &watch::Sender<VmList>, list: VmList) {
    visible.send_if_modified(|old| {
        let newer = list.revision > old.revision;
        if newer {
            *old = list;
        }
        newer
    });
}

async fn answer(mut visible: watch::Receiver<VmList>, call: &Call) -> Reply {
    if call.path() != "/v1/vms" {
        return reply(StatusCode::NOT_FOUND, "");
    }
    if call.request.method() != Method::GET {
        return reply(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    let after = call.number("after").map(Revision);
    let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0));
    let newer = visible.wait_for(|list| after.is_none_or(|after| list.revision > after));
    match tokio::time::timeout_at(Instant::now() + wait, newer).await {
        Ok(Ok(list)) => json(StatusCode::OK, &*list),
        _ => reply(StatusCode::NOT_MODIFIED, ""),
    }
}
