//! The home's register of calls.
//!
//! A key is unseen at first. It then becomes a tombstone, or running and after that done or lost; a
//! running call that was never sent becomes a tombstone. A key does not become unseen again while
//! an order for it can still be accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use apricothall_types::{Digest, Outcome, RequestId, Timestamp, WallTime};
use serde::{Deserialize, Serialize};

use super::{CallKey, ClockReading, Home};
use crate::configs::DedupeConfig;

/// Shortest retry delay given to a caller.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// An order to run a call at its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The only daemon that may run the call.
    pub home: Home,
    /// Identifies the call.
    pub key: CallKey,
    /// Digest of the call's content.
    pub fingerprint: Digest,
    /// Request id of the attempt.
    pub request: RequestId,
    /// Latest start of the call, on the home's clock.
    pub deadline: Timestamp,
    /// Last time at which the key is accepted. It must be the same in every attempt.
    pub expires: WallTime,
}

/// Why a call is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The key has a tombstone: this home never runs it.
    Tombstone,
    /// The deadline has passed; a tombstone was recorded.
    DeadlinePassed,
    /// The register is full; a tombstone was recorded. The caller may retry with a new key after
    /// the given time.
    Full(Duration),
    /// There is no room for a tombstone either. The caller may retry with the same key after the
    /// given time.
    Saturated(Duration),
    /// The key was used with another fingerprint.
    Reused,
    /// The call was started and its server was lost.
    Lost,
    /// The key's expiry has passed, is beyond the horizon, or differs from the recorded one.
    Expired,
    /// The order is for another daemon or another incarnation of this one.
    OtherHome,
}

impl Refusal {
    /// Outcome that the caller may rely on.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Tombstone | Self::DeadlinePassed | Self::Full(_) | Self::Reused => {
                Outcome::NotRun
            }
            Self::Saturated(_) | Self::Lost | Self::Expired | Self::OtherHome => Outcome::Unknown,
        }
    }
}

/// Decision on an order or a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterDecision {
    /// The start is recorded; send the call to the server now.
    Run,
    /// The call is running under this request; wait for its answer.
    Attach(RequestId),
    /// The stored answer.
    Replay(Arc<[u8]>),
    /// The call ran, but its answer is no longer stored.
    Ran,
    /// The call is not started.
    Refuse(Refusal),
}

#[derive(Clone, Debug)]
enum State {
    Tombstone(Refusal),
    Running(RequestId),
    Done(Option<Arc<[u8]>>),
    Lost,
}

#[derive(Clone, Debug)]
struct Call {
    fingerprint: Digest,
    expires: WallTime,
    /// Whether it counts against the limit for tombstones instead of the one for calls.
    holds_tombstone: bool,
    state: State,
}

/// Calls known to one home. Held in memory only, so lost on restart.
#[derive(Clone, Debug)]
pub struct Register {
    home: Home,
    config: DedupeConfig,
    calls: BTreeMap<CallKey, Call>,
    expiries: BTreeSet<(WallTime, CallKey)>,
    answers: BTreeSet<(WallTime, CallKey)>,
    answer_bytes: u64,
    tombstones: usize,
    /// Largest wall time read so far. It never decreases, so a removed key stays refused even if
    /// the wall clock is set back.
    latest_wall: WallTime,
}

impl Register {
    /// Creates an empty register.
    #[must_use]
    pub fn new(home: Home, config: DedupeConfig) -> Self {
        Self {
            home,
            config,
            calls: BTreeMap::new(),
            expiries: BTreeSet::new(),
            answers: BTreeSet::new(),
            answer_bytes: 0,
            tombstones: 0,
            latest_wall: WallTime(0),
        }
    }

    /// The home that this register belongs to.
    #[must_use]
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// Number of calls and tombstones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether there are neither calls nor tombstones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Total size of stored answers.
    #[must_use]
    pub const fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// Last time at which a known key is accepted.
    #[must_use]
    pub fn expires(&self, key: CallKey) -> Option<WallTime> {
        self.calls.get(&key).map(|call| call.expires)
    }

    /// Decides on an order and records the start if the call is to be run.
    pub fn admit(&mut self, order: &Order, clock: ClockReading) -> RegisterDecision {
        if let Some(known) = self.lookup(order, clock) {
            return known;
        }
        if clock.now >= order.deadline {
            return self.insert_tombstone(order, Refusal::DeadlinePassed);
        }
        if self.calls.len() - self.tombstones >= self.config.max_calls {
            return self.insert_tombstone(order, Refusal::Full(self.retry_after()));
        }
        self.insert(order, State::Running(order.request));
        RegisterDecision::Run
    }

    /// Returns the state of a call, and records a tombstone if it is unseen.
    pub fn query(&mut self, order: &Order, clock: ClockReading) -> RegisterDecision {
        if let Some(known) = self.lookup(order, clock) {
            return known;
        }
        self.insert_tombstone(order, Refusal::Tombstone)
    }

    /// Stores the answer of a call that was started.
    pub fn finished(&mut self, key: CallKey, answer: Arc<[u8]>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if !matches!(call.state, State::Running(_)) {
            return;
        }
        self.answer_bytes += answer.len() as u64;
        self.answers.insert((call.expires, key));
        call.state = State::Done(Some(answer));
        self.trim_answers();
    }

    /// Records that the server was lost after the start, so the outcome stays unknown.
    pub fn lost(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if matches!(call.state, State::Running(_)) {
            call.state = State::Lost;
        }
    }

    /// Records that no byte of a started call could be sent to its server, so it never runs.
    pub fn unsent(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if matches!(call.state, State::Running(_)) {
            // Still counted as a call, so the number of tombstones does not change.
            call.state = State::Tombstone(Refusal::Tombstone);
        }
    }

    fn lookup(&mut self, order: &Order, clock: ClockReading) -> Option<RegisterDecision> {
        self.expire(clock.wall);
        if order.home != self.home {
            return Some(RegisterDecision::Refuse(Refusal::OtherHome));
        }
        // Must precede the lookup, so that a removed key is never accepted as unseen.
        if order.expires < self.latest_wall || order.expires > self.max_expiry() {
            return Some(RegisterDecision::Refuse(Refusal::Expired));
        }
        let call = self.calls.get(&order.key)?;
        if call.fingerprint != order.fingerprint {
            return Some(RegisterDecision::Refuse(Refusal::Reused));
        }
        if call.expires != order.expires {
            return Some(RegisterDecision::Refuse(Refusal::Expired));
        }
        Some(match &call.state {
            State::Tombstone(why) => RegisterDecision::Refuse(*why),
            State::Running(request) => RegisterDecision::Attach(*request),
            State::Done(Some(answer)) => RegisterDecision::Replay(answer.clone()),
            State::Done(None) => RegisterDecision::Ran,
            State::Lost => RegisterDecision::Refuse(Refusal::Lost),
        })
    }

    fn insert_tombstone(&mut self, order: &Order, why: Refusal) -> RegisterDecision {
        if self.tombstones >= self.config.max_tombstones {
            return RegisterDecision::Refuse(Refusal::Saturated(self.retry_after()));
        }
        self.tombstones += 1;
        self.insert(order, State::Tombstone(why));
        RegisterDecision::Refuse(why)
    }

    fn insert(&mut self, order: &Order, state: State) {
        let call = Call {
            holds_tombstone: matches!(state, State::Tombstone(_)),
            fingerprint: order.fingerprint,
            expires: order.expires,
            state,
        };
        self.expiries.insert((order.expires, order.key));
        self.calls.insert(order.key, call);
    }

    fn max_expiry(&self) -> WallTime {
        let millis = u64::try_from(self.config.horizon.0.as_millis()).unwrap_or(u64::MAX);
        WallTime(self.latest_wall.0.saturating_add(millis))
    }

    fn retry_after(&self) -> Duration {
        let first = self.expiries.first().map_or(0, |(at, _)| at.0);
        Duration::from_millis(first.saturating_sub(self.latest_wall.0)).max(MIN_RETRY)
    }

    fn expire(&mut self, wall: WallTime) {
        self.latest_wall = self.latest_wall.max(wall);
        while let Some((at, key)) = self.expiries.first().copied() {
            if at >= self.latest_wall {
                return;
            }
            self.expiries.remove(&(at, key));
            self.drop_answer(at, key);
            if let Some(call) = self.calls.remove(&key) {
                self.tombstones -= usize::from(call.holds_tombstone);
            }
        }
    }

    fn trim_answers(&mut self) {
        while self.answer_bytes > self.config.answer_memory.0 {
            let Some((at, key)) = self.answers.first().copied() else {
                return;
            };
            self.drop_answer(at, key);
        }
    }

    fn drop_answer(&mut self, at: WallTime, key: CallKey) {
        if !self.answers.remove(&(at, key)) {
            return;
        }
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if let State::Done(answer) = &mut call.state {
            self.answer_bytes -= answer.take().map_or(0, |a| a.len() as u64);
        }
    }
}
