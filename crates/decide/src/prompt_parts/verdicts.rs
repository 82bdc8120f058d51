//! Verdicts on parts of prompts, from the crashes that they were present at.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use apricothall_types::{PromptPart, WallTime};

use super::AnsweredSuspects;
use crate::quarantine::{Crash, Records};

/// Crashes that make a part a suspect, and that condemn it.
#[derive(Clone, Copy, Debug)]
struct CrashLimits {
    suspect: usize,
    condemn: usize,
}

/// Limits for a part that no request was answered with.
const UNPROVEN: CrashLimits = CrashLimits {
    suspect: 1,
    condemn: 3,
};

/// Limits for a part that requests were answered with: it may be present at crashes as it is common.
const ANSWERED: CrashLimits = CrashLimits {
    suspect: 4,
    condemn: 6,
};

/// Minimum number of crashes that no other condemned part was present at.
const MIN_UNEXPLAINED: usize = 2;

/// How to treat a request, given the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// No part is suspected.
    Clear,
    /// The part may crash servers, so the request is sent to the server that tries it.
    Suspect {
        /// The part.
        part: PromptPart,
        /// Whether it has as many crashes as condemn it.
        strong: bool,
    },
    /// The part crashes servers, so the request is refused permanently.
    Condemned(PromptPart),
}

/// Parts that are condemned only together, as they were present at the same crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Group {
    parts: BTreeSet<PromptPart>,
    until: WallTime,
}

/// Condemned parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    groups: Vec<Group>,
}

impl Verdicts {
    /// Verdicts that follow from `records`. Of the parts that no request was answered with, then of
    /// the others, those at most crashes come first. Each further one is condemned only for crashes
    /// that those before do not explain.
    #[must_use]
    pub fn of(records: &Records<PromptPart>, answered: &AnsweredSuspects) -> Self {
        let mut candidates = Vec::new();
        for (part, record) in records.iter().filter(|(_, record)| record.alone) {
            let was_answered = answered.contains(part);
            let crashes: BTreeSet<_> = record.open().collect();
            if crashes.len() >= limits(was_answered).condemn {
                let rank = (was_answered, Reverse(crashes.len()), part);
                candidates.push((rank, crashes, record.until));
            }
        }
        candidates.sort_by_key(|(rank, ..)| *rank);
        let mut explained: BTreeSet<&Crash> = BTreeSet::new();
        let mut groups = Vec::new();
        for (_, crashes, until) in candidates {
            if crashes.difference(&explained).count() < MIN_UNEXPLAINED {
                continue;
            }
            let parts = suspects_at_same(records, answered, &crashes);
            explained.extend(crashes);
            groups.push(Group { parts, until });
        }
        Self { groups }
    }

    /// How to treat a request with `parts`. Parts of an expired verdict are suspects.
    #[must_use]
    pub fn assess(
        &self,
        records: &Records<PromptPart>,
        answered: &AnsweredSuspects,
        parts: &[PromptPart],
        wall: WallTime,
    ) -> Assessment {
        if records.is_empty() {
            return Assessment::Clear;
        }
        let in_force = self.groups.iter().filter(|group| wall <= group.until);
        let mut applying = in_force.filter(|g| g.parts.iter().all(|p| parts.contains(p)));
        if let Some(part) = applying.find_map(|group| group.parts.first()) {
            return Assessment::Condemned(part.clone());
        }
        let suspects = parts.iter().enumerate().filter_map(|(position, part)| {
            let crashes = records.get(part)?.open().count();
            let answered = answered.contains(part);
            let rank = (!answered, crashes, position);
            let strong = crashes >= limits(answered).condemn;
            (crashes >= limits(answered).suspect).then_some((rank, part, strong))
        });
        let strongest = suspects.max();
        strongest.map_or(Assessment::Clear, |(_, part, strong)| {
            let part = part.clone();
            Assessment::Suspect { part, strong }
        })
    }

    /// Condemned parts that are not condemned by `others`.
    #[must_use]
    pub fn without(&self, others: &Self) -> Vec<PromptPart> {
        let theirs: BTreeSet<_> = others.condemned().collect();
        let own = self.condemned().filter(|part| !theirs.contains(part));
        own.cloned().collect()
    }

    fn condemned(&self) -> impl Iterator<Item = &PromptPart> {
        self.groups.iter().flat_map(|group| &group.parts)
    }
}

/// Suspects that were present at exactly these crashes.
fn suspects_at_same(
    records: &Records<PromptPart>,
    answered: &AnsweredSuspects,
    crashes: &BTreeSet<&Crash>,
) -> BTreeSet<PromptPart> {
    let same = records.iter().filter(|(part, record)| {
        crashes.len() >= limits(answered.contains(part)).suspect
            && record.open().count() == crashes.len()
            && record.open().all(|crash| crashes.contains(crash))
    });
    same.map(|(part, _)| part.clone()).collect()
}

const fn limits(answered: bool) -> CrashLimits {
    if answered { ANSWERED } else { UNPROVEN }
}
