//! Decides whether the weights that an engine has loaded are known to be correct.
//!
//! An engine loads what is staged when it accepts an order. It may do so long after the order was
//! sent, even after its sender closed the connection, so no check before the order is enough.
//! Therefore an engine counts as serving only once it is known that the pieces were correct when
//! the order was accepted. Otherwise the version is loaded anew.

mod heard;
mod proof;

use apricothall_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::layers::LayerRange;

pub use heard::HeardWeights;
pub use proof::{Acceptance, PieceHistory, Proof};

/// What is known of the weights that an engine has loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Weights {
    /// They were loaded before this agent process first reached the engine.
    #[default]
    Unknown,
    /// Nothing is loaded, a piece may have been bad for too long when it was loaded, or an order may
    /// yet be accepted.
    Unverified,
    /// This version was loaded from correct pieces, and no order may yet be accepted.
    Verified(u64),
}

impl Weights {
    /// Whether an engine that reports `version` may be used with it.
    #[must_use]
    pub const fn permits(self, version: u64) -> bool {
        match self {
            Self::Unknown => true,
            Self::Unverified => false,
            Self::Verified(verified) => verified == version,
        }
    }
}

/// What an engine reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Start of the engine, in ms since the Unix epoch.
    pub born: u64,
    /// Number of orders accepted since then.
    pub orders: u64,
    /// Loaded version.
    pub version: Option<u64>,
    /// Layers that it holds, if it tells.
    pub layers: Option<LayerRange>,
    /// Whether it is executing an order.
    pub busy: bool,
}

/// What an engine does on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// It loads the layers of a version that it does not hold.
    Load,
    /// It gives up all but these layers.
    Keep(LayerRange),
}

/// What became of an order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted it in this period.
    Accepted(Acceptance),
    /// The engine refused it, or it was already in effect.
    Refused,
    /// There is no answer; the engine may accept it at any time after it was sent.
    Unanswered {
        /// When it was sent.
        sent: Timestamp,
    },
}

/// The engine as last observed.
#[derive(Clone, Copy, Debug)]
struct Last {
    seen: Observation,
    /// When the report was requested.
    asked: Timestamp,
}

/// A version that is loaded anew.
#[derive(Clone, Copy, Debug)]
struct Reload {
    version: u64,
    /// All layers of the model.
    whole: LayerRange,
}

/// Follows the orders of one engine, and what is known of its weights.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    last: Option<Last>,
    weights: Weights,
    /// When the first order was sent that may yet be accepted.
    outstanding: Option<Timestamp>,
    /// Accepted order that a report has yet to confirm.
    answered: Option<(Operation, Acceptance)>,
    /// Acceptance for which the pieces have to be read back.
    unproven: Option<Acceptance>,
    /// Layers of the loaded version that may have been taken from bad pieces.
    stale: Option<LayerRange>,
    /// The version that is loaded anew.
    reload: Option<Reload>,
    /// Layers that the engine kept when it gave up the others, until these are loaded again.
    kept: Option<LayerRange>,
    /// Whether this process saw the engine start, so that no earlier one sent it orders.
    saw_start: bool,
    /// Version that was loaded anew as its first load was correct only very likely.
    repeated: Option<u64>,
}

impl LoadTracker {
    /// What is known of the loaded weights.
    #[must_use]
    pub const fn weights(&self) -> Weights {
        self.weights
    }

    /// Start of the engine, if it was observed.
    #[must_use]
    pub fn born(&self) -> Option<u64> {
        self.last.map(|last| last.seen.born)
    }

    /// Whether the staged pieces have to be read back, to know whether what was loaded from them is
    /// correct.
    #[must_use]
    pub const fn awaits_read_back(&self) -> bool {
        self.unproven.is_some()
    }

    /// Whether an accepted order has yet to show in a report.
    #[must_use]
    pub const fn awaits_report(&self) -> bool {
        self.answered.is_some()
    }

    /// Records what became of an order.
    pub fn record_order(&mut self, operation: Operation, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted(accepted) => {
                self.weights = Weights::Unverified;
                self.answered = Some((operation, accepted));
            }
            OrderOutcome::Unanswered { sent } => {
                self.weights = Weights::Unverified;
                self.outstanding.get_or_insert(sent);
            }
            OrderOutcome::Refused => {}
        }
    }

    /// Records a report that was requested at `asked` and received at `now`. `pieces` tells what was
    /// staged before.
    pub fn observe(
        &mut self,
        seen: Observation,
        pieces: &PieceHistory,
        asked: Timestamp,
        now: Timestamp,
    ) {
        let Some(before) = self.last.replace(Last { seen, asked }) else {
            self.start(seen);
            return;
        };
        let is_new_life = seen.born != before.seen.born;
        if is_new_life {
            *self = Self {
                last: self.last,
                outstanding: self.outstanding,
                saw_start: true,
                weights: at_start(seen),
                ..Self::default()
            };
        }
        let known = if is_new_life { 0 } else { before.seen.orders };
        if seen.orders <= known {
            return;
        }
        self.weights = Weights::Unverified;
        self.unproven = None;
        let (after, by) = (self.earliest_acceptance(before.asked, pieces), now);
        // Staged pieces may be lost when the engine starts again.
        let pieces = &PieceHistory {
            checked: pieces.checked.filter(|_| !is_new_life),
            ..*pieces
        };
        match self.answered.take().filter(|_| seen.orders == known + 1) {
            Some((Operation::Keep(part), _)) => {
                self.stale = self.stale.and_then(|stale| stale.intersection(part));
                self.kept = Some(part);
            }
            Some((Operation::Load, accepted)) => self.judge(accepted, pieces),
            None if gave_up_layers(before.seen, seen) => self.distrust_part(seen),
            None => self.judge(Acceptance { after, by }, pieces),
        }
    }

    /// Returns when the engine may first have accepted an order after it was asked for a report at
    /// `asked`. It may be one of an earlier process that staged the same pieces, unless this one saw
    /// the engine start. An order for another version shows in the report.
    fn earliest_acceptance(&mut self, asked: Timestamp, pieces: &PieceHistory) -> Timestamp {
        let is_own = self.saw_start || !pieces.pending.same;
        let sent = self.outstanding.take().filter(|_| is_own);
        asked.max(sent.unwrap_or_default())
    }

    /// Records that the engine holds a part of the layers by an order that this process does not know.
    /// They may be bad, and are not loaded again with the others.
    fn distrust_part(&mut self, seen: Observation) {
        self.kept = seen.layers;
        self.stale = Some(LayerRange::ALL);
    }

    /// Records the first report. What an earlier process ordered and wrote is not known.
    fn start(&mut self, seen: Observation) {
        self.weights = at_start(seen);
        if seen.orders == 0 {
            return;
        }
        self.weights = Weights::Unknown;
        let holds_some = seen.layers.is_some_and(|held| !held.is_empty());
        if seen.version.is_none() && holds_some {
            self.distrust_part(seen);
        }
    }

    /// Records that other daemons last heard of the engine that started at `born` that its weights
    /// may be bad. An earlier process of this agent told them.
    pub fn record_doubt(&mut self, born: u64) {
        if self.weights == Weights::Unknown && self.born() == Some(born) {
            self.weights = Weights::Unverified;
            self.stale = Some(LayerRange::ALL);
        }
    }

    fn judge(&mut self, accepted: Acceptance, pieces: &PieceHistory) {
        match pieces.proof(accepted) {
            Proof::Correct => self.conclude(true, pieces.version),
            Proof::Likely if self.repeats(pieces.version) => self.conclude(false, pieces.version),
            Proof::Likely | Proof::ReadBack => self.unproven = Some(accepted),
            Proof::Impossible => self.conclude(false, pieces.version),
        }
    }

    /// Whether `version` is loaded once more, as far as the engine permits it: late writes take effect
    /// only once, so the next load is not likely to meet two of them again.
    fn repeats(&mut self, version: u64) -> bool {
        let held = self.last.and_then(|last| last.seen.layers);
        let is_possible = held.is_some_and(|held| held.len() > 1);
        is_possible && self.repeated.replace(version) != Some(version)
    }

    /// Records whether all pieces of the loaded version were correct when they were read back.
    pub fn record_read_back(&mut self, are_correct: bool, pieces: &PieceHistory) {
        let Some(accepted) = self.unproven.take() else {
            return;
        };
        let is_correct = are_correct && pieces.written <= accepted.after;
        self.conclude(is_correct, pieces.version);
    }

    /// Concludes whether the layers that an order loaded are correct. Those that the engine had kept
    /// were not loaded.
    fn conclude(&mut self, is_correct: bool, version: u64) {
        let is_reload = self.reload.is_some_and(|r| r.version == version) || self.kept.is_some();
        // Without an answer it is not known which layers were kept.
        let kept = self.kept.take().unwrap_or(LayerRange::ALL);
        self.stale = match self.stale {
            _ if !is_correct => Some(LayerRange::ALL),
            Some(stale) if is_reload => stale.intersection(kept),
            _ => None,
        };
        if self.stale.is_none() {
            self.reload = None;
            self.weights = Weights::Verified(version);
        }
    }

    /// Whether the loaded version may be bad.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.stale.is_some()
    }

    /// Returns the next order of an engine that must load its version anew, if it is not busy.
    ///
    /// An engine does not load what it holds. It gives up layers and loads them again, in two rounds,
    /// as it has to keep one.
    pub fn reload_step(&mut self) -> Option<Operation> {
        let stale = self.stale?;
        let seen = self.last?.seen;
        let held = seen.layers.filter(|_| !seen.busy)?;
        let version = seen.version?;
        let whole = match self.reload {
            Some(reload) if reload.version == version && reload.whole.len() > held.len() => {
                reload.whole
            }
            _ => held,
        };
        self.reload = Some(Reload { version, whole });
        if held != whole {
            return Some(Operation::Load);
        }
        let mut layers = whole.layers();
        let sound = layers.clone().find(|layer| !stale.contains(*layer));
        let keep = sound.or_else(|| layers.next())?;
        (whole.len() > 1).then_some(Operation::Keep(LayerRange::single(keep)))
    }
}

/// Whether the engine holds some of the layers that it held before. While it loads it tells all of them.
fn gave_up_layers(before: Observation, seen: Observation) -> bool {
    let count = |seen: Observation| seen.layers.map_or(0, LayerRange::len);
    (1..count(before)).contains(&count(seen))
}

/// What is known of the weights of an engine that has accepted no order: it may have been started
/// with a version.
const fn at_start(seen: Observation) -> Weights {
    match seen.version {
        Some(version) if seen.orders == 0 => Weights::Verified(version),
        _ => Weights::Unverified,
    }
}
