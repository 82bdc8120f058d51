//! Taking in records, verdicts and vouches.

use apricothall_types::{Member, MemberState, Timestamp};

use super::message::{GossipMessage, Opinion, Verdict, Vouch};
use super::peer::{Health, Peer};
use super::{Membership, buckets};

impl Membership {
    pub(super) fn absorb(&mut self, message: &GossipMessage, now: Timestamp) {
        if message.sign.is_some_and(|revision| revision >= self.list) {
            self.start_leaving();
        }
        self.absorb_record(&message.own, now);
        self.clear_doubt(&message.own.id);
        for record in &message.records {
            self.absorb_record(record, now);
        }
        for verdict in &message.verdicts {
            self.absorb_verdict(verdict, now);
        }
        for vouch in &message.vouches {
            self.absorb_vouch(vouch);
        }
    }

    pub(super) fn start_leaving(&mut self) {
        if self.own.is_alive() {
            self.update_own(|own| own.state = MemberState::Leaving);
        }
    }

    fn absorb_record(&mut self, record: &Member, now: Timestamp) {
        if record.id == self.own.id {
            self.absorb_own(record.incarnation, record.sequence, false);
            return;
        }
        let Some(peer) = self.peers.get_mut(&record.id) else {
            self.insert(record, now);
            return;
        };
        if record.supersedes(&peer.member) {
            *peer = Peer::new(record.clone(), now);
            self.changed(&record.id);
            return;
        }
        let same = (record.incarnation, record.sequence)
            == (peer.member.incarnation, peer.member.sequence);
        if same {
            peer.member.revision = peer.member.revision.max(record.revision);
        }
    }

    fn insert(&mut self, record: &Member, now: Timestamp) {
        // A record of a stopped member is of no use to whoever never knew it.
        if record.state == MemberState::Gone || self.peers.len() >= self.config.limit {
            return;
        }
        let id = record.id.clone();
        self.peers.insert(id, Peer::new(record.clone(), now));
        self.changed(&record.id);
    }

    fn clear_doubt(&mut self, id: &apricothall_types::MemberId) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if matches!(peer.health, Health::Doubted(_)) {
            peer.health = Health::Fine;
        }
    }

    fn absorb_vouch(&mut self, vouch: &Vouch) {
        let known = self.peers.get(&vouch.id);
        if known.is_some_and(|p| p.member.incarnation <= vouch.incarnation) {
            self.clear_doubt(&vouch.id);
        }
    }

    /// Others hold a record of this member, or an opinion on it (`judged`).
    fn absorb_own(
        &mut self,
        incarnation: apricothall_types::Incarnation,
        sequence: apricothall_types::Sequence,
        judged: bool,
    ) {
        if incarnation > self.own.incarnation {
            self.superseded = Some(self.superseded.unwrap_or_default().max(incarnation));
            return;
        }
        if incarnation < self.own.incarnation {
            return;
        }
        let refute = judged && sequence >= self.own.sequence;
        if refute || sequence > self.own.sequence {
            self.own.sequence = sequence.next();
            self.generation += 1;
        }
    }

    fn absorb_verdict(&mut self, verdict: &Verdict, now: Timestamp) {
        if verdict.id == self.own.id {
            self.absorb_own(verdict.incarnation, verdict.sequence, true);
            return;
        }
        let Some(peer) = self.peers.get_mut(&verdict.id) else {
            return;
        };
        let theirs = (verdict.incarnation, verdict.sequence);
        let ours = (peer.member.incarnation, peer.member.sequence);
        if theirs < ours || peer.opinion() >= Some(verdict.opinion) && theirs == ours {
            return;
        }
        match verdict.opinion {
            // A suspicion of a record not seen yet says nothing about the one held.
            Opinion::Suspect if theirs > ours => return,
            Opinion::Suspect => peer.health = Health::Suspect(now),
            Opinion::Gone => {
                peer.member.incarnation = verdict.incarnation;
                peer.member.sequence = verdict.sequence;
                peer.sum = buckets::sum(&peer.member);
                peer.health = Health::Gone(now);
            }
        }
        self.changed(&verdict.id);
    }
}
