//! Applying received records, verdicts and indirect acknowledgements to the view.

use apricothall_types::{Incarnation, Member, MemberId, MemberState, Sequence, Timestamp};

use super::message::{Change, GossipMessage, IndirectAck, Opinion, Verdict};
use super::peer::{Health, Peer};
use super::{Membership, buckets};

impl Membership {
    pub(super) fn apply_message(&mut self, message: &GossipMessage, now: Timestamp) {
        if message
            .sign
            .is_some_and(|revision| revision >= self.list_revision)
        {
            self.start_leaving();
        }
        // The other members already have the records that are sent to a joining member.
        let already_known = self.is_behind();
        self.apply_record(&message.own, false, now);
        self.clear_probe_failure(&message.own.id);
        for record in &message.records {
            self.observe_duplicate(&record.id, (record.incarnation, record.sequence));
            self.apply_record(record, already_known, now);
        }
        for change in &message.changes {
            self.apply_change(change, now);
        }
        for verdict in &message.verdicts {
            self.apply_verdict(verdict, now);
        }
        for ack in &message.vouches {
            self.apply_indirect_ack(ack);
        }
    }

    pub(super) fn start_leaving(&mut self) {
        if self.own.is_alive() {
            self.update_own(|own| own.state = MemberState::Leaving);
        }
    }

    /// Applies `record`. With `already_known`, the other members already have it, so a member that
    /// is new in this view is not propagated.
    fn apply_record(&mut self, record: &Member, already_known: bool, now: Timestamp) {
        if record.id == self.own.id {
            self.observe_own_record(record.incarnation, record.sequence, false);
            return;
        }
        let Some(peer) = self.peers.get_mut(&record.id) else {
            self.insert(record, already_known, now);
            return;
        };
        if record.supersedes(&peer.member) {
            let whole = record.incarnation > peer.member.incarnation;
            *peer = Peer::new(record.clone(), now);
            self.record_change(&record.id, whole);
            return;
        }
        let same = (record.incarnation, record.sequence)
            == (peer.member.incarnation, peer.member.sequence);
        if same {
            peer.member.revision = peer.member.revision.max(record.revision);
        }
    }

    /// Applies changed fields to a known record. A change of an unknown member is ignored; the
    /// digest repairs that later.
    fn apply_change(&mut self, change: &Change, now: Timestamp) {
        if change.id == self.own.id {
            self.observe_own_record(change.incarnation, change.sequence, false);
            return;
        }
        self.observe_duplicate(&change.id, (change.incarnation, change.sequence));
        let known = self.peers.get(&change.id);
        if let Some(record) = known.and_then(|peer| change.apply(&peer.member)) {
            self.apply_record(&record, false, now);
        }
    }

    /// Counts a received duplicate of an update as one transmission: others have it too, so it
    /// needs fewer retransmissions.
    fn observe_duplicate(&mut self, id: &MemberId, version: (Incarnation, Sequence)) {
        let peer = self.peers.get(id);
        let same = peer.is_some_and(|p| (p.member.incarnation, p.member.sequence) == version);
        if same {
            let limit = self.retransmit_limit();
            self.queue.record_send(id, limit);
        }
    }

    fn insert(&mut self, record: &Member, already_known: bool, now: Timestamp) {
        // A stopped member that is not in the view need not be added.
        if record.state == MemberState::Gone || self.peers.len() >= self.config.limit {
            return;
        }
        let id = record.id.clone();
        self.peers.insert(id, Peer::new(record.clone(), now));
        if already_known {
            self.generation += 1;
            return;
        }
        self.record_change(&record.id, true);
    }

    fn clear_probe_failure(&mut self, id: &MemberId) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if matches!(peer.health, Health::ProbeFailed(_)) {
            peer.health = Health::Healthy;
        }
    }

    fn apply_indirect_ack(&mut self, ack: &IndirectAck) {
        let known = self.peers.get(&ack.id);
        if known.is_some_and(|p| p.member.incarnation <= ack.incarnation) {
            self.clear_probe_failure(&ack.id);
        }
    }

    /// Handles a record of this daemon as held by others, or a verdict on it (`judged`). A verdict
    /// is refuted by raising the sequence number.
    fn observe_own_record(&mut self, incarnation: Incarnation, sequence: Sequence, judged: bool) {
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

    fn apply_verdict(&mut self, verdict: &Verdict, now: Timestamp) {
        if verdict.id == self.own.id {
            self.observe_own_record(verdict.incarnation, verdict.sequence, true);
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
            // The suspected record is newer than the one held here and has not arrived yet.
            Opinion::Suspect if theirs > ours => return,
            Opinion::Suspect => peer.health = Health::Suspect(now),
            Opinion::Gone => {
                peer.member.incarnation = verdict.incarnation;
                peer.member.sequence = verdict.sequence;
                peer.sum = buckets::sum(&peer.member);
                peer.health = Health::Gone(now);
            }
        }
        self.record_change(&verdict.id, false);
    }
}
