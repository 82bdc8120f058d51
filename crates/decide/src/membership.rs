//! SWIM-style gossip membership: each daemon's view of all others.
//!
//! Members probe each other in random order. When a direct probe fails, helpers probe indirectly;
//! if they get no answer either, the target becomes suspect, and it is declared gone unless it
//! refutes with a higher sequence number in time. Updates are piggybacked on probe messages, each
//! a bounded number of times, and a bucketed digest of the view repairs what was missed. Traffic
//! depends on the period and the message size, not on the number of members.

mod apply;
mod buckets;
mod build;
mod message;
mod peer;
mod probe;
mod queue;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use apricothall_types::{
    EntryName, Incarnation, Member, MemberId, MemberState, Revision, Role, Timestamp, Version,
    VmList, VmState,
};
use rand::Rng;

pub use message::size_bound;
pub use message::{
    Change, Contact, Extra, GossipMessage, Head, IndirectAck, Opinion, Outgoing, Verdict, Window,
};
pub use peer::MemberView;

use crate::configs::MembershipConfig;
use peer::{Health, Peer};
use queue::Queue;

/// An indirect probe of `target`, sent on behalf of `origin`.
#[derive(Clone, Debug)]
struct IndirectProbe {
    target: Contact,
    origin: Contact,
    sent: bool,
    acknowledged: Option<Incarnation>,
}

/// One daemon's view of all other members.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    config: MembershipConfig,
    peers: BTreeMap<MemberId, Peer>,
    candidates: BTreeMap<MemberId, SocketAddr>,
    listed_leaving: BTreeSet<MemberId>,
    list_revision: Revision,
    seeds: Vec<SocketAddr>,
    heads: Vec<Head>,
    extras: Vec<Extra>,
    queue: Queue,
    probe_order: Vec<MemberId>,
    indirect_probes: Vec<IndirectProbe>,
    cursor: u16,
    ticks: u64,
    failed_probes: usize,
    clock: Timestamp,
    hold_until: Timestamp,
    superseded: Option<Incarnation>,
    generation: u64,
}

impl Membership {
    /// Creates a view that contains only the daemon itself.
    #[must_use]
    pub fn new(own: Member, config: MembershipConfig, now: Timestamp) -> Self {
        Self {
            own,
            config,
            peers: BTreeMap::new(),
            candidates: BTreeMap::new(),
            listed_leaving: BTreeSet::new(),
            list_revision: Revision::default(),
            seeds: Vec::new(),
            heads: Vec::new(),
            extras: Vec::new(),
            queue: Queue::default(),
            probe_order: Vec::new(),
            indirect_probes: Vec::new(),
            cursor: 0,
            ticks: 0,
            failed_probes: 0,
            clock: now,
            hold_until: now,
            superseded: None,
            generation: 0,
        }
    }

    /// Sets the addresses to contact while no live member is known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets the revisions in force at this daemon, which every message carries.
    pub fn set_heads(&mut self, heads: Vec<Head>) {
        self.heads = heads;
    }

    /// Sets the sections of other modules. Every message carries those that fit into
    /// [`MembershipConfig::extras`].
    pub fn set_extras(&mut self, extras: Vec<Extra>) {
        self.extras = extras;
    }

    /// Applies a revision of the VM list; a revision older than the last one is ignored.
    ///
    /// The list names candidates to contact and members that are leaving. A member that is no
    /// longer listed stays in the view for as long as it answers probes.
    pub fn observe_list(&mut self, list: &VmList, now: Timestamp) {
        self.observe_clock(now);
        if list.revision < self.list_revision {
            return;
        }
        self.list_revision = list.revision;
        let others = list.vms.iter().filter(|vm| vm.id != self.own.id);
        let limit = self.config.limit;
        self.candidates = others
            .take(limit)
            .map(|vm| (vm.id.clone(), vm.address))
            .collect();
        let leaving = list.vms.iter().filter(|vm| vm.state == VmState::Leaving);
        self.listed_leaving = leaving.take(limit).map(|vm| vm.id.clone()).collect();
        if self.listed_leaving.contains(&self.own.id) {
            self.start_leaving();
        }
        self.generation += 1;
    }

    /// Handles a request and returns the reply.
    pub fn receive(
        &mut self,
        message: &GossipMessage,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> GossipMessage {
        self.observe_clock(now);
        self.apply_message(message, now);
        if let Some(target) = &message.ask {
            let id = message.own.id.clone();
            let address = message.own.address;
            self.accept_indirect_probe(target.clone(), Contact { id, address });
        }
        let mut reply = self.base_message(Some(&message.own.id));
        if message.is_announcement() {
            return reply;
        }
        self.fill_to_budget(&mut reply, message.window.as_ref(), rng);
        reply
    }

    /// Handles the reply to a request that was sent to `from`.
    pub fn receive_reply(&mut self, from: &MemberId, message: &GossipMessage, now: Timestamp) {
        self.observe_clock(now);
        self.apply_message(message, now);
        // The address of a gone daemon may have been reused by another one.
        if message.own.id == *from {
            self.complete_indirect_probes(from);
        }
    }

    /// Updates the daemon's own record and raises its sequence number if anything but the revision
    /// changed.
    ///
    /// Only the public address, state, revision and holdings can change within an incarnation;
    /// [`Change`] does not carry the other fields.
    ///
    /// A new revision reaches every member at about the same time, several times a minute, so it
    /// is not propagated as an update of the record. [`Head`] carries it instead.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.own.clone();
        let mut next = before.clone();
        change(&mut next);
        self.own.public = next.public;
        self.own.state = next.state;
        self.own.revision = next.revision;
        self.own.holdings = next.holdings;
        let mut same = before.clone();
        same.revision = self.own.revision;
        if same != self.own {
            self.own.sequence = before.sequence.next();
            self.generation += 1;
        }
    }

    /// Raises the sequence number of the daemon's own record, so that the record is propagated
    /// again with its current revision.
    pub fn bump_own_sequence(&mut self) {
        self.own.sequence = self.own.sequence.next();
        self.generation += 1;
    }

    /// The daemon's own record.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Incarnation of a newer daemon with the same id, if one is known. This daemon must then stop.
    #[must_use]
    pub fn superseded(&self) -> Option<Incarnation> {
        self.superseded
    }

    /// Counter that grows with every change of the view, except changes of a member's revision.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of updates that are still to be propagated.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.queue.len()
    }

    /// Revision of the last VM list applied.
    #[must_use]
    pub fn list_revision(&self) -> Revision {
        self.list_revision
    }

    /// All other members, including gone ones until they are removed from the view.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.peers.values().map(|peer| self.view_of(peer))
    }

    /// The view of member `id`; `None` if it is unknown or the daemon itself.
    #[must_use]
    pub fn member(&self, id: &MemberId) -> Option<MemberView<'_>> {
        self.peers.get(id).map(|peer| self.view_of(peer))
    }

    /// Other members that accept new work.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let alive = self.members().filter(|s| s.state == MemberState::Alive);
        alive.map(|s| s.member)
    }

    /// Expected number of other members: the alive or the listed ones, whichever are more.
    /// `usize::MAX` while no VM list is known, since the number cannot be determined then.
    #[must_use]
    pub fn expected(&self) -> usize {
        if self.list_revision == Revision(0) {
            return usize::MAX;
        }
        self.alive().count().max(self.candidates.len())
    }

    /// Agents that accept new work and serve `version` of `name`.
    pub fn agents_serving(
        &self,
        name: &EntryName,
        version: &Version,
    ) -> impl Iterator<Item = &Member> {
        let agents = self.alive().filter(|m| m.role == Role::Agent);
        agents.filter(move |m| m.serves(name, version))
    }

    /// Other entries that accept new work.
    pub fn entries(&self) -> impl Iterator<Item = &Member> {
        self.alive().filter(|m| m.role == Role::Entry)
    }

    /// Time a suspect has to refute at the current size of the view.
    #[must_use]
    pub fn suspicion(&self) -> Duration {
        self.config.suspicion.0 + self.config.period.0 * log2(self.peers.len() + 1)
    }

    fn view_of<'a>(&self, peer: &'a Peer) -> MemberView<'a> {
        let member = &peer.member;
        let state = match member.state {
            _ if peer.is_gone() => MemberState::Gone,
            MemberState::Alive if self.listed_leaving.contains(&member.id) => MemberState::Leaving,
            state => state,
        };
        let suspect = matches!(peer.health, Health::Suspect(_));
        MemberView {
            member,
            state,
            suspect,
        }
    }

    fn record_change(&mut self, id: &MemberId, whole: bool) {
        self.queue.push(id.clone(), whole);
        self.generation += 1;
        if let Some(peer) = self.peers.get_mut(id) {
            peer.changed = self.generation;
            peer.whole = whole;
        }
    }

    fn contact(&self, id: &MemberId) -> Option<Contact> {
        let record = self.peers.get(id).map(|p| p.member.address);
        let address = record.or_else(|| self.candidates.get(id).copied())?;
        let id = id.clone();
        Some(Contact { id, address })
    }

    fn live_contacts(&self, wanted: impl Fn(&MemberId) -> bool) -> Vec<Contact> {
        let live = self.peers.iter().filter(|(_, p)| !p.is_gone());
        let chosen = live.filter(|(id, _)| wanted(id));
        chosen.filter_map(|(id, _)| self.contact(id)).collect()
    }

    fn is_on_hold(&self, now: Timestamp) -> bool {
        now < self.hold_until
    }

    /// Restarts all timers after a pause of this process. Its view is out of date then, so no
    /// member is suspected or declared gone until [`MembershipConfig::hold`] has passed.
    fn observe_clock(&mut self, now: Timestamp) {
        let paused = now.since(self.clock) > self.config.pause.0;
        self.clock = self.clock.max(now);
        if !paused {
            return;
        }
        self.hold_until = now + self.config.hold.0;
        for peer in self.peers.values_mut() {
            peer.health = match peer.health {
                Health::ProbeFailed(_) => Health::Healthy,
                Health::Suspect(_) => Health::Suspect(self.hold_until),
                other => other,
            };
        }
    }
}

/// Binary logarithm of `count`, rounded up.
fn log2(count: usize) -> u32 {
    count.max(1).next_power_of_two().ilog2()
}
