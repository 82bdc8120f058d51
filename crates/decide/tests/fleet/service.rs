//! Simulation of the published value: one service per region, and the members that read the value
//! and exchange it.

use apricothall_decide::configs::RevisionConfig;
use apricothall_decide::membership::{GossipMessage, Head};
use apricothall_decide::revision::{Decision, Poll, Revisions, Source, Stamp};
use apricothall_types::{Digest, Revision, Timestamp};
use smol_str::SmolStr;

use super::{Event, Fleet, REGIONS, ZONES};

const SUBJECT: u8 = 0;
const FETCH_MS: u64 = 50;
/// Number of members that a push is sent to, equal to `PUSH_FANOUT` in the daemons' view.
const PUSH_FANOUT: usize = 3;

/// Content that the validation of every member refuses.
pub const INVALID: u8 = 255;

/// Identity of the value with the given revision and content.
pub fn stamp(revision: u64, content: u8) -> Stamp {
    Stamp {
        revision: Revision(revision),
        digest: Digest::of(&[content]),
    }
}

pub fn revisions(now: Timestamp) -> Revisions {
    Revisions::new("catalogue".into(), RevisionConfig::default(), now)
}

fn validity(stamp: Stamp) -> Result<(), SmolStr> {
    if stamp.digest == Digest::of(&[INVALID]) {
        return Err("no such class".into());
    }
    Ok(())
}

impl Fleet {
    /// Publishes a value in all regions.
    pub fn publish_value(&mut self, stamp: Stamp) {
        self.service = [Some(stamp); REGIONS];
    }

    /// Whether `stamp` is in force at all running members.
    pub fn all_in_force(&self, stamp: Stamp) -> bool {
        let mut running = self.nodes.iter().filter(|n| n.up);
        running.all(|n| n.revisions.in_force() == Some(stamp))
    }

    /// Reads the service once per gap, as if every watch returned at once: the highest read rate.
    pub(super) fn poll(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if now < node.poll {
            return;
        }
        let own = node.view.own();
        let reader = node
            .revisions
            .is_reader((&own.id, &own.zone), node.view.alive());
        let next = node.revisions.next_poll(reader, now, &mut self.rng);
        if now < next {
            // Whether the member is a reader is checked again in the next period.
            return;
        }
        self.reads += 1;
        node.revisions.poll_started(now);
        let value = self.service[(index % ZONES) % REGIONS];
        let Some(value) = value else {
            node.revisions.poll_ended(Poll::Failed);
            return;
        };
        let decision = node
            .revisions
            .offer(Source::Service, value, validity(value));
        let stale = decision == Decision::Older;
        let poll = if stale { Poll::Stale } else { Poll::Answered };
        self.nodes[index].revisions.poll_ended(poll);
        self.record_in_force(index);
    }

    pub(super) fn observe_heads(&mut self, index: usize, message: &GossipMessage) {
        let now = self.now;
        let head = message.heads.iter().find(|h| h.subject == SUBJECT);
        let head = head.map(|h| (h.revision, h.mark));
        let peer = &message.own.id;
        let fetch = self.nodes[index]
            .revisions
            .observe_peer_head(peer, head, now);
        if fetch.is_some() {
            let holder = self.index_by_address[&message.own.address];
            self.schedule(FETCH_MS, Event::Fetch(holder, index));
        }
    }

    pub(super) fn serve_fetch(&mut self, holder: usize, asker: usize) {
        if !self.is_open(holder, asker) {
            return;
        }
        let stamp = self.nodes[holder].revisions.in_force();
        self.schedule(FETCH_MS, Event::Value(asker, holder, stamp));
    }

    pub(super) fn receive_value(&mut self, index: usize, from: usize, stamp: Option<Stamp>) {
        let Some(stamp) = stamp else {
            return;
        };
        let peer = self.nodes[from].view.own().id.clone();
        let node = &mut self.nodes[index];
        node.revisions
            .offer(Source::Peer(peer), stamp, validity(stamp));
        self.record_in_force(index);
    }

    fn record_in_force(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let current = node.revisions.in_force();
        if current < node.highest {
            node.reverts += 1;
        }
        let moved = current > node.highest;
        node.highest = node.highest.max(current);
        let Some(current) = current else {
            return;
        };
        node.view.update_own(|own| own.revision = current.revision);
        node.view.set_heads(vec![Head {
            subject: SUBJECT,
            revision: current.revision,
            mark: current.mark(),
        }]);
        if moved {
            let out = self.nodes[index].view.push(PUSH_FANOUT, &mut self.rng);
            self.send(index, out);
        }
    }
}
