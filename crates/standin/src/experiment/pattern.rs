//! Variation of load and engines during a run, as functions of the time since its start in ms.

/// Factor of the load while it is raised.
const RAISED_LOAD: f64 = 2.0;

/// Factor of the load in `Priorities`, for which the load before is two thirds of the capacity.
const SHORTAGE_LOAD: f64 = 2.25;

/// Factor of the duration of an engine's steps while it is slow.
const SLOWDOWN: f64 = 3.0;

/// Variation of load and engines during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Constant load, no failures.
    Calm,
    /// Twice the load for three seconds.
    Burst,
    /// Twice the load from the eighth second on.
    Overload,
    /// Like `Overload`, with a fifth of the engines down.
    Shortage,
    /// A third of the engines is three times slower for ten seconds.
    Slow,
    /// A third of the engines crashes and is down for six seconds.
    Lost,
    /// Half of the engines is available only from the eighth second on.
    Arriving,
    /// A load of 1.5 times the capacity from the fourth second on.
    Priorities,
}

impl Pattern {
    /// Factor of the number of requests per second at `now`.
    pub(super) fn load_factor(self, now: u64) -> f64 {
        let raised = match self {
            Self::Burst => (10_000..13_000).contains(&now),
            Self::Overload | Self::Shortage => now >= 8_000,
            Self::Priorities => now >= 4_000,
            Self::Calm | Self::Slow | Self::Lost | Self::Arriving => false,
        };
        match self {
            _ if !raised => 1.0,
            Self::Priorities => SHORTAGE_LOAD,
            _ => RAISED_LOAD,
        }
    }

    /// Whether engine `index` is down at `now`.
    pub(super) fn is_down(self, index: usize, now: u64) -> bool {
        match self {
            Self::Lost => index.is_multiple_of(3) && (10_000..16_000).contains(&now),
            Self::Arriving => index.is_multiple_of(2) && now < 8_000,
            Self::Shortage => index.is_multiple_of(5) && now >= 8_000,
            Self::Calm | Self::Burst | Self::Overload | Self::Slow | Self::Priorities => false,
        }
    }

    /// Factor of the duration of the steps of engine `index` at `now`.
    pub(super) fn slowdown(self, index: usize, now: u64) -> f64 {
        let affected = index.is_multiple_of(3) && (10_000..20_000).contains(&now);
        if self == Self::Slow && affected {
            SLOWDOWN
        } else {
            1.0
        }
    }
}
