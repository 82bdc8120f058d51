//! Membership view of this daemon, shared by the plug-ins.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use apricothall_decide::drain::DrainTrigger;
use apricothall_decide::membership::{Extra, GossipMessage, Head, Membership, Outgoing};
use apricothall_kernel::{Clock, Lifecycle};
use apricothall_types::{Member, MemberId, MemberState, VmList};
use tokio::sync::{Notify, watch};

type ExtraHandler = Box<dyn Fn(&MemberId, &[u8]) + Send + Sync>;

/// Number of members notified at once when this daemon starts to leave.
const LEAVE_FANOUT: usize = 8;

/// Number of members notified at once of a new revision in force or a change of the own record.
const PUSH_FANOUT: usize = 3;

/// Members of the fleet as recorded by this daemon, including itself.
pub struct MembershipView {
    own: MemberId,
    clock: Clock,
    lifecycle: Lifecycle,
    membership: Mutex<Membership>,
    heads: Mutex<BTreeMap<u8, Head>>,
    extras: Mutex<BTreeMap<u8, Vec<u8>>>,
    handlers: RwLock<BTreeMap<u8, ExtraHandler>>,
    vm_list: watch::Sender<Arc<VmList>>,
    changes: watch::Sender<u64>,
    pending_update: Notify,
}

impl MembershipView {
    /// Creates a view of `membership`.
    ///
    /// `lifecycle` starts to leave when the VM list or gossip marks this daemon as leaving, or when a
    /// later daemon runs under its id.
    #[must_use]
    pub fn new(membership: Membership, clock: Clock, lifecycle: Lifecycle) -> Self {
        Self {
            own: membership.own().id.clone(),
            clock,
            lifecycle,
            membership: Mutex::new(membership),
            heads: Mutex::default(),
            extras: Mutex::default(),
            handlers: RwLock::default(),
            vm_list: watch::Sender::default(),
            changes: watch::Sender::new(0),
            pending_update: Notify::new(),
        }
    }

    /// Returns the id of this daemon.
    #[must_use]
    pub fn own_id(&self) -> &MemberId {
        &self.own
    }

    /// Returns the member record of this daemon.
    #[must_use]
    pub fn own(&self) -> Member {
        self.lock().own().clone()
    }

    /// Returns all members, including this daemon, in the state recorded by this daemon.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let membership = self.lock();
        let others = membership.members().map(|seen| {
            let state = seen.state;
            Member {
                state,
                ..seen.member.clone()
            }
        });
        std::iter::once(membership.own().clone())
            .chain(others)
            .collect()
    }

    /// Returns the member `id` in the state recorded by this daemon.
    #[must_use]
    pub fn member(&self, id: &MemberId) -> Option<Member> {
        let membership = self.lock();
        if *id == self.own {
            return Some(membership.own().clone());
        }
        let seen = membership.member(id)?;
        Some(Member {
            state: seen.state,
            ..seen.member.clone()
        })
    }

    /// Returns the members that are alive, including this daemon.
    #[must_use]
    pub fn alive(&self) -> Vec<Member> {
        self.members()
            .into_iter()
            .filter(Member::is_alive)
            .collect()
    }

    /// Calls `read` with the membership, under the lock, without copying it.
    pub fn with<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.lock())
    }

    /// Returns the VM list in force.
    #[must_use]
    pub fn vm_list(&self) -> Arc<VmList> {
        self.vm_list.borrow().clone()
    }

    /// Subscribes to changes of the view.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Changes the member record of this daemon, which is then sent to other members.
    pub fn update_own(&self, change: impl FnOnce(&mut Member)) {
        let changed = self.apply(|membership| {
            let before = membership.own().sequence;
            membership.update_own(change);
            membership.own().sequence != before
        });
        if changed {
            self.pending_update.notify_one();
        }
    }

    /// Increments the sequence number of the own record, so that it is sent to other members again.
    pub fn bump_own_sequence(&self) {
        self.apply(Membership::bump_own_sequence);
    }

    /// Sets the revision in force of `head.subject` that all messages carry.
    pub fn set_head(&self, head: Head) {
        let mut heads = self.heads.lock().unwrap_or_else(PoisonError::into_inner);
        heads.insert(head.subject, head);
        let all = heads.values().copied().collect();
        self.lock().set_heads(all);
        self.pending_update.notify_one();
    }

    /// Waits for a change of this daemon that should be sent before the next gossip round.
    pub async fn update_pending(&self) {
        self.pending_update.notified().await;
    }

    /// Sets the extra section of `kind` that all messages carry.
    pub fn set_extra(&self, kind: u8, data: Vec<u8>) {
        let mut extras = self.extras.lock().unwrap_or_else(PoisonError::into_inner);
        extras.insert(kind, data);
        let all = extras.iter().map(|(kind, data)| Extra {
            kind: *kind,
            data: data.clone(),
        });
        self.lock().set_extras(all.collect());
    }

    /// Registers a handler, which is called with the sender and content of each received section of
    /// `kind`.
    pub fn on_extra(&self, kind: u8, handler: impl Fn(&MemberId, &[u8]) + Send + Sync + 'static) {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers.insert(kind, Box::new(handler));
    }

    /// Applies a VM list that came into force.
    pub fn observe_list(&self, list: VmList) {
        let now = self.clock.now();
        self.apply_with_trigger(DrainTrigger::VmList, |membership| {
            membership.observe_list(&list, now);
        });
        self.vm_list.send_replace(Arc::new(list));
    }

    /// Returns the messages of the next gossip round.
    #[must_use]
    pub fn tick(&self) -> Vec<Outgoing> {
        let now = self.clock.now();
        self.apply(|membership| membership.tick(now, &mut rand::rng()))
    }

    /// Returns messages that announce a change of this daemon to a few members.
    #[must_use]
    pub fn push(&self) -> Vec<Outgoing> {
        self.lock().push(PUSH_FANOUT, &mut rand::rng())
    }

    /// Marks this daemon as leaving and returns messages that announce it.
    #[must_use]
    pub fn leave(&self) -> Vec<Outgoing> {
        self.update_own(|own| own.state = MemberState::Leaving);
        self.apply(|membership| membership.announce(LEAVE_FANOUT, &mut rand::rng()))
    }

    /// Applies a received message and returns the reply.
    #[must_use]
    pub fn receive(&self, message: &GossipMessage) -> GossipMessage {
        let now = self.clock.now();
        let reply = self.apply(|m| m.receive(message, now, &mut rand::rng()));
        self.handle_extras(message);
        reply
    }

    /// Applies a received reply.
    pub fn receive_reply(&self, from: &MemberId, reply: &GossipMessage) {
        let now = self.clock.now();
        self.apply(|membership| membership.receive_reply(from, reply, now));
        self.handle_extras(reply);
    }

    /// Records a failed probe of `target` and returns the messages for indirect probes by helpers.
    #[must_use]
    pub fn probe_failed(&self, target: &MemberId) -> Vec<Outgoing> {
        let now = self.clock.now();
        self.apply(|membership| membership.probe_failed(target, now, &mut rand::rng()))
    }

    fn handle_extras(&self, message: &GossipMessage) {
        let handlers = self.handlers.read().unwrap_or_else(PoisonError::into_inner);
        for extra in &message.extras {
            if let Some(handler) = handlers.get(&extra.kind) {
                handler(&message.own.id, &extra.data);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change caused by peers, and notifies subscribers if the view changed.
    fn apply<T>(&self, change: impl FnOnce(&mut Membership) -> T) -> T {
        self.apply_with_trigger(DrainTrigger::Peer, change)
    }

    /// Like [`Self::apply`]. `trigger` is recorded as the cause if the change makes this daemon
    /// leave.
    fn apply_with_trigger<T>(
        &self,
        trigger: DrainTrigger,
        change: impl FnOnce(&mut Membership) -> T,
    ) -> T {
        let mut membership = self.lock();
        let before = membership.generation();
        let result = change(&mut membership);
        let after = membership.generation();
        let superseded = membership.superseded().is_some();
        let leaving = membership.own().state == MemberState::Leaving;
        drop(membership);
        if superseded && !self.lifecycle.is_leaving() {
            tracing::error!("a later daemon runs under this id");
        }
        if superseded || leaving {
            self.lifecycle.start_drain(trigger);
        }
        if after != before {
            self.changes.send_replace(after);
        }
        result
    }
}
