//! Bounded memory of parts of prompts in completed requests.

use std::collections::HashSet;

use apricothall_types::PromptPart;

/// Number of parts after which the older half of the memory is dropped.
const GENERATION_SIZE: usize = 4_096;

/// Parts of recently completed requests. Holds at least the latest 4,096, and twice as many at most.
#[derive(Clone, Debug, Default)]
pub struct AnsweredParts {
    current: HashSet<PromptPart>,
    previous: HashSet<PromptPart>,
}

impl AnsweredParts {
    /// Records that a request with `part` has completed.
    pub fn record(&mut self, part: &PromptPart) {
        if self.current.contains(part) {
            return;
        }
        if self.current.len() == GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part.clone());
    }

    /// Whether a request with `part` has completed recently.
    #[must_use]
    pub fn contains(&self, part: &PromptPart) -> bool {
        self.current.contains(part) || self.previous.contains(part)
    }

    /// Number of parts held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no part is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
