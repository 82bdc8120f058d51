//! Messages between entries and reads of records.

use apricothall_decide::prompt_parts::PartReport;
use apricothall_decide::update_queue::fanout;
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::{WALL, World};

/// Rounds between two regular messages between entries of a zone.
const REGULAR_ROUNDS: u64 = 4;

/// Rounds between two reads of a peer's records.
const READ_ROUNDS: u64 = 6;

/// Number of peers that a reader has heard of lately.
const READ_SAMPLE: usize = 64;

/// Number of entries per zone that read from other zones.
const READERS: usize = 2;

impl World {
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let cut = |entry: usize| self.now < self.entries[entry].cut_until;
        !cut(from) && !cut(to) && !self.rng.random_bool(self.conditions.loss)
    }

    fn zone(&self, entry: usize) -> usize {
        entry % self.conditions.zones
    }

    /// Sends the updates of all entries, and reads records of peers.
    pub(super) fn gossip(&mut self, round: u64) {
        for from in 0..self.entries.len() {
            let suspects = &mut self.entries[from].suspects;
            let due = suspects.take_due(self.now);
            if !suspects.has_updates(self.now) {
                continue;
            }
            let reports = suspects.updates(self.now);
            for to in self.recipients(from, due, round) {
                self.deliver(from, to, &reports);
            }
        }
        for reader in 0..self.entries.len() {
            if (round + reader as u64).is_multiple_of(READ_ROUNDS) {
                self.read(reader);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, reports: &[PartReport]) {
        if self.is_delivered(from, to) {
            let _ = self.entries[to].suspects.merge(reports, self.now, WALL);
        }
    }

    /// Entries that receive a message with updates from `from` in this round.
    fn recipients(&mut self, from: usize, due: bool, round: u64) -> Vec<usize> {
        let others = (0..self.entries.len()).filter(|to| *to != from);
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|to| self.zone(*to) == self.zone(from));
        let fanout = fanout(due);
        let mut chosen: Vec<_> = near
            .choose_multiple(&mut self.rng, fanout.near)
            .copied()
            .collect();
        chosen.extend(far.choose_multiple(&mut self.rng, fanout.far));
        let regular = |to: &&usize| (round + **to as u64).is_multiple_of(REGULAR_ROUNDS);
        chosen.extend(near.iter().filter(regular));
        chosen
    }

    /// Reads the records of a peer that holds different ones, preferably of the same zone.
    fn read(&mut self, reader: usize) {
        let own = self.entries[reader].suspects.summary();
        let mut others = Vec::new();
        for other in (0..self.entries.len()).choose_multiple(&mut self.rng, READ_SAMPLE) {
            let theirs = self.entries[other].suspects.summary();
            if theirs != 0 && theirs != own {
                others.push(other);
            }
        }
        let zone = self.zone(reader);
        let near = others.iter().filter(|other| self.zone(**other) == zone);
        let near: Vec<_> = near.copied().collect();
        let mut source = near.choose(&mut self.rng).copied();
        if source.is_none() && reader / self.conditions.zones < READERS {
            source = others.into_iter().choose(&mut self.rng);
        }
        if let Some(source) = source {
            let reports = self.entries[source].suspects.replicated();
            self.deliver(source, reader, &reports);
        }
    }
}
