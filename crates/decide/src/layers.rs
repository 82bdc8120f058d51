//! Ranges of layers of a model.

use std::fmt;
use std::ops::Range;

use serde::{Deserialize, Serialize};

/// Consecutive layers of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub from: u32,
    /// Layer after the last one.
    pub to: u32,
}

impl LayerRange {
    /// All layers of any model.
    pub const ALL: Self = Self {
        from: 0,
        to: u32::MAX,
    };

    /// One layer.
    #[must_use]
    pub const fn single(layer: u32) -> Self {
        Self {
            from: layer,
            to: layer.saturating_add(1),
        }
    }

    /// Number of layers.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Whether it has no layer.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// The layers, in order.
    #[must_use]
    pub const fn layers(self) -> Range<u32> {
        self.from..self.to
    }

    /// Whether it has `layer`.
    #[must_use]
    pub const fn contains(self, layer: u32) -> bool {
        self.from <= layer && layer < self.to
    }

    /// The layers that both ranges have; `None` if there are none.
    #[must_use]
    pub fn intersection(self, other: Self) -> Option<Self> {
        let common = Self {
            from: self.from.max(other.from),
            to: self.to.min(other.to),
        };
        (!common.is_empty()).then_some(common)
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}
