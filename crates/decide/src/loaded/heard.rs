//! What daemons on other VMs know of the weights of an engine.

use super::Weights;

/// What a daemon has heard of the weights of an engine on another VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeardWeights {
    born: u64,
    weights: Weights,
}

impl HeardWeights {
    /// Records what the agent says of an engine that started at `born`, 0 if it does not respond, and
    /// of the version that it serves. What was known stays if the agent does not know, unless it was
    /// of another version; a later life began without weights.
    pub fn record(&mut self, born: u64, weights: Weights, serving: Option<u64>) {
        let is_known_life = born == self.born || self.born == 0;
        let is_known_version = serving.is_none_or(|version| self.weights.permits(version));
        match weights {
            _ if born == 0 && self.born != 0 => {}
            Weights::Unknown if born == self.born && is_known_version => {}
            Weights::Unknown if !is_known_life || !is_known_version => {
                let weights = Weights::Unverified;
                *self = Self { born, weights };
            }
            _ => *self = Self { born, weights },
        }
    }

    /// Whether an engine that started at `born`, 0 if that is unknown, may be used with `version`. Of
    /// another life than the last one heard of nothing is known: it began without weights.
    #[must_use]
    pub const fn permits(&self, born: u64, version: u64) -> bool {
        let is_other_life = born != 0 && self.born != 0 && born != self.born;
        !is_other_life && self.weights.permits(version)
    }

    /// Start of the engine, if its weights may be bad.
    #[must_use]
    pub fn doubted(&self) -> Option<u64> {
        (self.weights == Weights::Unverified).then_some(self.born)
    }
}
