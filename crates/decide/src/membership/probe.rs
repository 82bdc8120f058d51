//! Periodic work: choosing probe targets, and the timeouts from a failed probe to suspicion and
//! from suspicion to gone.

use apricothall_types::{MemberId, Timestamp};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use super::message::{Contact, IndirectAck, Outgoing};
use super::peer::Health;
use super::{IndirectProbe, Membership};

/// Maximum number of pending indirect probes on behalf of other members.
const MAX_INDIRECT_PROBES: usize = 4;
/// Maximum number of failed probes handled in one period. Without it a lossy network would make the
/// indirect probes fail in turn and cause further ones.
const MAX_FAILED_PROBES: usize = 1;

impl Membership {
    /// Does the work of one period and returns the messages to send. Call it once every
    /// [`MembershipConfig::period`](crate::configs::MembershipConfig::period).
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Outgoing> {
        self.observe_clock(now);
        self.ticks += 1;
        self.failed_probes = 0;
        self.run_timers(now);
        self.remove_expired(now);
        let mut targets = self.indirect_probe_targets();
        targets.extend(self.next_target(rng));
        targets.extend(self.zone_target(rng));
        targets.extend(self.revisit_target(rng));
        targets.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        targets.dedup_by(|a, b| a.id == b.id);
        let mut out: Vec<_> = targets.into_iter().map(|c| self.request(c, rng)).collect();
        out.extend(self.seed_request(rng));
        out.extend(self.indirect_ack_requests(rng));
        out
    }

    /// Handles a failed exchange with `target`. Returns requests to helpers for indirect probes.
    pub fn probe_failed(
        &mut self,
        target: &MemberId,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Outgoing> {
        self.observe_clock(now);
        if self.is_on_hold(now) || self.failed_probes >= MAX_FAILED_PROBES {
            return Vec::new();
        }
        let Some(peer) = self.peers.get_mut(target) else {
            return Vec::new();
        };
        if peer.health != Health::Healthy {
            return Vec::new();
        }
        peer.health = Health::ProbeFailed(now);
        self.failed_probes += 1;
        let address = peer.member.address;
        let id = target.clone();
        let ask = Contact { id, address };
        let helpers: Vec<_> = self.live_contacts(|id| id != target);
        let chosen: Vec<_> = helpers
            .choose_multiple(rng, self.config.helpers)
            .cloned()
            .collect();
        let mut out = Vec::new();
        for helper in chosen {
            let mut request = self.request(helper, rng);
            request.message.window = None;
            request.message.ask = Some(ask.clone());
            out.push(request);
        }
        out
    }

    /// Returns requests to `count` members, entries first, that carry the daemon's own record.
    ///
    /// Used for changes that should not wait for the next period, such as leaving.
    pub fn announce(&mut self, count: usize, rng: &mut impl Rng) -> Vec<Outgoing> {
        let mut contacts = self.live_contacts(|_| true);
        contacts.shuffle(rng);
        contacts.sort_by_key(|c| self.peers.get(&c.id).map(|p| p.member.role));
        contacts.truncate(count);
        let mut out: Vec<_> = contacts.into_iter().map(|c| self.request(c, rng)).collect();
        for request in &mut out {
            request.message.window = None;
        }
        out
    }

    /// Returns messages to `count` random members that carry the daemon's own record and revisions,
    /// without updates of other members.
    ///
    /// Used when a revision came into force or the daemon's own record changed.
    pub fn push(&self, count: usize, rng: &mut impl Rng) -> Vec<Outgoing> {
        let contacts = self.live_contacts(|_| true);
        let chosen = contacts.choose_multiple(rng, count).cloned();
        chosen
            .map(|contact| Outgoing {
                message: self.base_message(Some(&contact.id)),
                target: Some(contact.id),
                address: contact.address,
            })
            .collect()
    }

    pub(super) fn accept_indirect_probe(&mut self, target: Contact, origin: Contact) {
        if target.id != self.own.id && self.indirect_probes.len() < MAX_INDIRECT_PROBES {
            self.indirect_probes.push(IndirectProbe {
                target,
                origin,
                sent: false,
                acknowledged: None,
            });
        }
    }

    pub(super) fn complete_indirect_probes(&mut self, id: &MemberId) {
        let Some(peer) = self.peers.get(id) else {
            return;
        };
        let incarnation = peer.member.incarnation;
        for probe in self
            .indirect_probes
            .iter_mut()
            .filter(|probe| probe.target.id == *id)
        {
            probe.acknowledged = Some(incarnation);
        }
    }

    fn indirect_probe_targets(&mut self) -> Vec<Contact> {
        // A probe that was sent a period ago and is not answered has failed.
        self.indirect_probes
            .retain(|probe| !probe.sent || probe.acknowledged.is_some());
        let unsent = self.indirect_probes.iter_mut().filter(|probe| !probe.sent);
        unsent
            .map(|probe| {
                probe.sent = true;
                probe.target.clone()
            })
            .collect()
    }

    fn indirect_ack_requests(&mut self, rng: &mut impl Rng) -> Vec<Outgoing> {
        let (acknowledged, pending) = std::mem::take(&mut self.indirect_probes)
            .into_iter()
            .partition(|probe: &IndirectProbe| probe.acknowledged.is_some());
        self.indirect_probes = pending;
        let mut out = Vec::new();
        for probe in acknowledged {
            let mut request = self.request(probe.origin, rng);
            request.message.window = None;
            request.message.vouches.push(IndirectAck {
                id: probe.target.id,
                incarnation: probe.acknowledged.unwrap_or_default(),
            });
            out.push(request);
        }
        out
    }

    fn request(&mut self, contact: Contact, rng: &mut impl Rng) -> Outgoing {
        let mut message = self.base_message(Some(&contact.id));
        message.window = Some(self.window());
        self.fill_to_budget(&mut message, None, rng);
        Outgoing {
            target: Some(contact.id),
            address: contact.address,
            message,
        }
    }

    fn seed_request(&mut self, rng: &mut impl Rng) -> Option<Outgoing> {
        if self.peers.values().any(|p| !p.is_gone()) {
            return None;
        }
        let address = *self.seeds.choose(rng)?;
        let mut message = self.base_message(None);
        message.window = Some(self.window());
        Some(Outgoing {
            target: None,
            address,
            message,
        })
    }

    fn next_target(&mut self, rng: &mut impl Rng) -> Option<Contact> {
        if self.probe_order.is_empty() {
            let listed = self.candidates.keys();
            let unknown = listed.filter(|id| !self.peers.contains_key(*id));
            let live = self.peers.iter().filter(|(_, p)| !p.is_gone());
            self.probe_order = live.map(|(id, _)| id).chain(unknown).cloned().collect();
            self.probe_order.shuffle(rng);
        }
        while let Some(id) = self.probe_order.pop() {
            let gone = self.peers.get(&id).is_some_and(super::peer::Peer::is_gone);
            if let Some(contact) = self.contact(&id).filter(|_| !gone) {
                return Some(contact);
            }
        }
        None
    }

    fn zone_target(&self, rng: &mut impl Rng) -> Option<Contact> {
        let zone = &self.own.zone;
        let live = self.peers.values().filter(|p| !p.is_gone());
        let near = live.filter(|p| p.member.zone == *zone);
        let peer = near.choose(rng)?;
        self.contact(&peer.member.id)
    }

    fn revisit_target(&self, rng: &mut impl Rng) -> Option<Contact> {
        if !self
            .ticks
            .is_multiple_of(u64::from(self.config.revisit.max(1)))
        {
            return None;
        }
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(id, peer)| peer.is_gone() && self.candidates.contains_key(*id))
            .collect();
        let (id, _) = gone.choose(rng)?;
        self.contact(id)
    }

    fn run_timers(&mut self, now: Timestamp) {
        if self.is_on_hold(now) {
            return;
        }
        let doubt = self.config.doubt.0;
        let suspicion = self.suspicion();
        let mut changed = Vec::new();
        for (id, peer) in &mut self.peers {
            let next = match peer.health {
                Health::ProbeFailed(since) if now.since(since) >= doubt => Health::Suspect(now),
                Health::Suspect(since) if now.since(since) >= suspicion => Health::Gone(now),
                _ => continue,
            };
            peer.health = next;
            changed.push(id.clone());
        }
        for id in changed {
            self.record_change(&id, false);
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let lag = self.config.lag.0;
        let before = self.peers.len();
        let (candidates, queue) = (&self.candidates, &mut self.queue);
        self.peers.retain(|id, peer| {
            let keep = match peer.health {
                Health::Gone(since) => candidates.contains_key(id) || now.since(since) < lag,
                _ => true,
            };
            if !keep {
                queue.remove(id);
            }
            keep
        });
        if self.peers.len() != before {
            self.generation += 1;
        }
    }
}
