//! The view of other daemons, shared by the plug-ins.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use apricothall_decide::drain::DrainTrigger;
use apricothall_decide::membership::{Extra, GossipMessage, Head, Membership, Outgoing};
use apricothall_kernel::{Clock, Lifecycle};
use apricothall_types::{Member, MemberId, MemberState, VmList};
use tokio::sync::{Notify, watch};

type ExtraHandler = Box<dyn Fn(&MemberId, &[u8]) + Send + Sync>;

/// Members asked at once when this daemon starts to leave.
const LEAVE_FANOUT: usize = 8;

/// Members told at once of a revision in force or a change of the own record.
const PUSH_FANOUT: usize = 3;

/// All members known to this daemon, itself included.
pub struct View {
    own: MemberId,
    clock: Clock,
    lifecycle: Lifecycle,
    membership: Mutex<Membership>,
    heads: Mutex<BTreeMap<u8, Head>>,
    extras: Mutex<BTreeMap<u8, Vec<u8>>>,
    handlers: RwLock<BTreeMap<u8, ExtraHandler>>,
    list: watch::Sender<Arc<VmList>>,
    changes: watch::Sender<u64>,
    news: Notify,
}

impl View {
    /// A view by `membership`; `lifecycle` leaves once the platform or a successor says so.
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
            list: watch::Sender::default(),
            changes: watch::Sender::new(0),
            news: Notify::new(),
        }
    }

    /// Id of this daemon.
    #[must_use]
    pub fn own_id(&self) -> &MemberId {
        &self.own
    }

    /// This daemon's own record.
    #[must_use]
    pub fn own(&self) -> Member {
        self.lock().own().clone()
    }

    /// All members as seen from here, this daemon included.
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

    /// The member called `id` as seen from here.
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

    /// Members that take new work, this daemon included.
    #[must_use]
    pub fn alive(&self) -> Vec<Member> {
        self.members()
            .into_iter()
            .filter(Member::is_alive)
            .collect()
    }

    /// Reads the view without copying it.
    pub fn with<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.lock())
    }

    /// The newest VM list in force.
    #[must_use]
    pub fn list(&self) -> Arc<VmList> {
        self.list.borrow().clone()
    }

    /// Signals each change of the view.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Changes this daemon's own record, which then spreads.
    pub fn update_own(&self, change: impl FnOnce(&mut Member)) {
        let changed = self.apply(|membership| {
            let before = membership.own().sequence;
            membership.update_own(change);
            membership.own().sequence != before
        });
        if changed {
            self.news.notify_one();
        }
    }

    /// Spreads this daemon's own record again, with its present revision.
    pub fn bump_own_sequence(&self) {
        self.apply(Membership::bump_own_sequence);
    }

    /// Sets the revision in force that all messages carry for `head.subject`.
    pub fn set_head(&self, head: Head) {
        let mut heads = self.heads.lock().unwrap_or_else(PoisonError::into_inner);
        heads.insert(head.subject, head);
        let all = heads.values().copied().collect();
        self.lock().set_heads(all);
        self.news.notify_one();
    }

    /// Waits for news of this daemon that others should not wait for.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Sets the section of another module that all messages carry.
    pub fn set_extra(&self, kind: u8, data: Vec<u8>) {
        let mut extras = self.extras.lock().unwrap_or_else(PoisonError::into_inner);
        extras.insert(kind, data);
        let all = extras.iter().map(|(kind, data)| Extra {
            kind: *kind,
            data: data.clone(),
        });
        self.lock().set_extras(all.collect());
    }

    /// Calls `handler` with the sender and content of each section of `kind` that arrives.
    pub fn on_extra(&self, kind: u8, handler: impl Fn(&MemberId, &[u8]) + Send + Sync + 'static) {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers.insert(kind, Box::new(handler));
    }

    /// Takes in a VM list.
    pub fn observe_list(&self, list: VmList) {
        let now = self.clock.now();
        self.apply_by(DrainTrigger::VmList, |membership| {
            membership.observe_list(&list, now);
        });
        self.list.send_replace(Arc::new(list));
    }

    /// Messages that are due.
    #[must_use]
    pub fn tick(&self) -> Vec<Outgoing> {
        let now = self.clock.now();
        self.apply(|membership| membership.tick(now, &mut rand::rng()))
    }

    /// Messages that tell a few others at once of this daemon's news.
    #[must_use]
    pub fn push(&self) -> Vec<Outgoing> {
        self.lock().push(PUSH_FANOUT, &mut rand::rng())
    }

    /// Messages that tell others at once that this daemon leaves.
    #[must_use]
    pub fn leave(&self) -> Vec<Outgoing> {
        self.update_own(|own| own.state = MemberState::Leaving);
        self.apply(|membership| membership.announce(LEAVE_FANOUT, &mut rand::rng()))
    }

    /// Answers a message.
    #[must_use]
    pub fn receive(&self, message: &GossipMessage) -> GossipMessage {
        let now = self.clock.now();
        let reply = self.apply(|m| m.receive(message, now, &mut rand::rng()));
        self.handle_extras(message);
        reply
    }

    /// Takes in a reply.
    pub fn receive_reply(&self, from: &MemberId, reply: &GossipMessage) {
        let now = self.clock.now();
        self.apply(|membership| membership.receive_reply(from, reply, now));
        self.handle_extras(reply);
    }

    /// Notes that `target` did not answer; returns messages to helpers.
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

    /// Runs `change`, which peers have caused, and signals what it changed.
    fn apply<T>(&self, change: impl FnOnce(&mut Membership) -> T) -> T {
        self.apply_by(DrainTrigger::Peer, change)
    }

    /// As [`Self::apply`]; `sign` is noted when the change says that this daemon leaves.
    fn apply_by<T>(&self, sign: DrainTrigger, change: impl FnOnce(&mut Membership) -> T) -> T {
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
            self.lifecycle.start_drain(sign);
        }
        if after != before {
            self.changes.send_replace(after);
        }
        result
    }
}
