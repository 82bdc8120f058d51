//! Published timing of an engine.

use apricothall_decide::timing::Timing;

/// Timing of the engines in tests.
pub const TIMING: Timing = Timing {
    slots: 16,
    step: 6.73,
    per_request: 0.0219,
    per_context: 0.0068,
    reading: 30_600.0,
    per_pairs: 0.647,
    stride: 6,
    prompt: 964.0,
    answer: 119.0,
};
