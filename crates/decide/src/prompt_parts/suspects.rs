//! Crash records of parts of prompts at one daemon, with the verdicts that follow.

use std::time::Duration;

use apricothall_types::{MemberId, PromptPart, Timestamp, WallTime};

use super::{AnsweredParts, AnsweredSuspects, Assessment, PartReport, Verdicts, is_beginning};
use crate::configs::QuarantineConfig;
use crate::quarantine::{Crash, Record, Records, SharedRecords};

/// Delay before a crash is sent to other daemons for a part that requests were answered with, as
/// most of these are cleared by the next answer.
const ANSWERED_DELAY: Duration = Duration::from_millis(300);

/// A suspect part that a request is sent with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The part.
    pub part: PromptPart,
    /// Servers that crashed while they ran requests with it.
    pub barred: Vec<MemberId>,
    /// Whether one entry tries the part for all, as it has as many crashes as condemn it.
    pub strong: bool,
}

/// How to treat a request, given the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartStanding {
    /// It is sent to any server.
    Clear,
    /// It is sent to the server that tries one of its parts.
    Trial(Trial),
    /// It is refused permanently, because of this part.
    Condemned(PromptPart),
}

/// Parts whose verdict has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerdictChange {
    /// Parts that are condemned now.
    pub condemned: Vec<PromptPart>,
    /// Parts that are no longer condemned.
    pub released: Vec<PromptPart>,
}

/// Crash records of parts of prompts, and the verdicts on them.
#[derive(Clone, Debug)]
pub struct SuspectParts {
    shared: SharedRecords<PromptPart>,
    /// Parts of requests that completed here.
    answered: AnsweredParts,
    /// Parts with a record that requests were answered with, here or elsewhere.
    answered_suspects: AnsweredSuspects,
    verdicts: Verdicts,
}

impl SuspectParts {
    /// Creates an empty set.
    #[must_use]
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            shared: SharedRecords::new(Records::with_explanations(config)),
            answered: AnsweredParts::default(),
            answered_suspects: AnsweredSuspects::default(),
            verdicts: Verdicts::default(),
        }
    }

    /// How to treat a request with `parts`.
    #[must_use]
    pub fn standing(&self, parts: &[PromptPart], wall: WallTime) -> PartStanding {
        let records = self.shared.records();
        let answered = &self.answered_suspects;
        match self.verdicts.assess(records, answered, parts, wall) {
            Assessment::Clear => PartStanding::Clear,
            Assessment::Condemned(part) => PartStanding::Condemned(part),
            Assessment::Suspect { part, strong } => PartStanding::Trial(Trial {
                barred: self.crashed_servers(&part),
                part,
                strong,
            }),
        }
    }

    /// Servers that crashed while they ran requests with `part`, which it was not cleared of.
    #[must_use]
    pub fn crashed_servers(&self, part: &PromptPart) -> Vec<MemberId> {
        let record = self.shared.records().get(part);
        let crashes = record.into_iter().flat_map(Record::open);
        crashes.map(|crash| crash.id.clone()).collect()
    }

    /// Records that the connection with a request was lost, whose server had been writing on it for
    /// `written`. `tried` is the part for whose trial the server was selected. Returns what changed
    /// in the verdicts.
    pub fn lost(
        &mut self,
        parts: &[PromptPart],
        tried: Option<&PromptPart>,
        crash: &Crash,
        written: Option<Duration>,
        now: Timestamp,
        wall: WallTime,
    ) -> VerdictChange {
        if !is_beginning(written) {
            return VerdictChange::default();
        }
        for part in parts {
            let alone = tried == Some(part);
            self.shared.lost(part.clone(), crash, alone, now, wall);
            let wait = if self.answered.contains(part) {
                self.answered_suspects.insert(part.clone());
                ANSWERED_DELAY
            } else {
                Duration::ZERO
            };
            self.shared.schedule(part.clone(), wait, now);
        }
        self.update_verdicts()
    }

    /// Records that a request with `parts` completed. Returns the parts that are thereby cleared of
    /// crashes, and what changed in the verdicts.
    pub fn completed(
        &mut self,
        parts: &[PromptPart],
        now: Timestamp,
        wall: WallTime,
    ) -> (Vec<PromptPart>, VerdictChange) {
        let mut cleared = Vec::new();
        for part in parts {
            self.answered.record(part);
            let Some(record) = self.shared.records().get(part) else {
                continue;
            };
            let is_open = record.open().next().is_some();
            if self.answered_suspects.insert(part.clone()) || is_open {
                self.shared.completed(part.clone(), now, wall);
                cleared.push(part.clone());
            }
        }
        if cleared.is_empty() {
            return Default::default();
        }
        (cleared, self.update_verdicts())
    }

    /// Whether there are crashes that may still be disproved.
    #[must_use]
    pub fn has_inferred_crashes(&self) -> bool {
        self.shared.has_inferred_crashes()
    }

    /// Records that the server run identified by `crash` has ended: the records of its requests are
    /// due.
    pub fn ended(&mut self, crash: &Crash, now: Timestamp) {
        self.shared.ended(crash, now);
    }

    /// Records that the server run identified by `crash` was still in progress at `seen`. Returns
    /// the number of parts that are thereby cleared, and what changed in the verdicts.
    pub fn disprove(
        &mut self,
        crash: &Crash,
        seen: Timestamp,
        now: Timestamp,
    ) -> (usize, VerdictChange) {
        match self.shared.disprove(crash, seen, now) {
            0 => Default::default(),
            cleared => (cleared, self.update_verdicts()),
        }
    }

    /// Merges records of another daemon, and tells the others which of these parts requests were
    /// answered with here. Returns whether any record changed the local ones, and what changed in
    /// the verdicts.
    pub fn merge(
        &mut self,
        received: &[PartReport],
        now: Timestamp,
        wall: WallTime,
    ) -> (bool, VerdictChange) {
        if received.is_empty() {
            return Default::default();
        }
        let records = received.iter().map(|r| (r.part.clone(), r.record.clone()));
        let records: Vec<_> = records.collect();
        let mut changed = self.shared.merge(&records, now, wall);
        for report in received {
            changed |= self.merge_answered(report, now);
        }
        // Most messages repeat what is known.
        if changed {
            (true, self.update_verdicts())
        } else {
            Default::default()
        }
    }

    /// Records whether a request with a reported part was answered, there or here. Returns whether
    /// that was not known.
    fn merge_answered(&mut self, report: &PartReport, now: Timestamp) -> bool {
        let part = &report.part;
        if self.answered_suspects.contains(part) {
            return false;
        }
        let answered_here = self.answered.contains(part);
        if answered_here && !report.answered {
            self.shared.schedule(part.clone(), Duration::ZERO, now);
        }
        if answered_here || report.answered {
            self.answered_suspects.insert(part.clone());
        }
        answered_here || report.answered
    }

    /// Whether there are records to send.
    #[must_use]
    pub fn has_updates(&self, now: Timestamp) -> bool {
        self.shared.has_updates(now)
    }

    /// Moves the next due records to those that are sent. Returns whether there were any.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        self.shared.take_due(now)
    }

    /// Records to include in a message.
    #[must_use]
    pub fn updates(&self, now: Timestamp) -> Vec<PartReport> {
        self.reports(self.shared.updates(now))
    }

    /// Digest of the records that all daemons should share; zero if there are none.
    pub fn summary(&mut self) -> u64 {
        self.shared.summary()
    }

    /// The records that all daemons should share.
    #[must_use]
    pub fn replicated(&self) -> Vec<PartReport> {
        self.reports(self.shared.replicated())
    }

    fn reports(&self, records: Vec<(PromptPart, Record)>) -> Vec<PartReport> {
        let records = records.into_iter();
        let reports = records.map(|(part, record)| PartReport {
            answered: self.answered_suspects.contains(&part),
            part,
            record,
        });
        reports.collect()
    }

    /// Decides anew after records have changed.
    fn update_verdicts(&mut self) -> VerdictChange {
        let records = self.shared.records();
        // Records that expired are left behind here for a while.
        if self.answered_suspects.len() > records.len() {
            self.answered_suspects
                .retain(|part| records.get(part).is_some());
        }
        let verdicts = Verdicts::of(records, &self.answered_suspects);
        let change = VerdictChange {
            condemned: verdicts.without(&self.verdicts),
            released: self.verdicts.without(&verdicts),
        };
        self.verdicts = verdicts;
        change
    }
}
