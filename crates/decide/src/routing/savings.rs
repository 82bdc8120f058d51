//! Prefill time that a replica saves because it holds a prefix of the prompt, weighed against the wait
//! there.

use std::time::Duration;

use apricothall_types::{MemberId, Timestamp, TokenCount};
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{Cause, PromptQuery, Query, Replica, Router, Timing};
use crate::rank;

/// What the replica saves that is best for the prompt by time saved less wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saving {
    /// Member ID of the replica's agent. Another replica is chosen if the wait is not worth it.
    pub member: MemberId,
    /// Prompt tokens that it probably holds.
    pub tokens: u64,
    /// Prefill time that they save, in milliseconds.
    pub saved_ms: u64,
    /// Additional wait for a slot there over the best other replica, in milliseconds.
    pub wait_ms: u64,
}

/// A candidate that probably holds a prefix of the prompt.
pub(super) struct Holder<'a> {
    pub(super) replica: &'a Replica,
    tokens: TokenCount,
    saved: Duration,
    additional_wait: Duration,
}

impl Holder<'_> {
    pub(super) fn is_worth_the_wait(&self) -> bool {
        self.saved > self.additional_wait
    }

    pub(super) fn saving(&self) -> Saving {
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Saving {
            member: self.replica.id.clone(),
            tokens: self.tokens.0,
            saved_ms: millis(self.saved),
            wait_ms: millis(self.additional_wait),
        }
    }
}

impl Router {
    /// Returns the candidate with the largest time saved less wait, if any holds a prefix.
    pub(super) fn best_holder<'a>(
        &self,
        nearest: &[&'a Replica],
        prompt: &PromptQuery<'_>,
        timing: &Timing,
        now: Timestamp,
    ) -> Option<Holder<'a>> {
        let waits: Vec<_> = nearest
            .iter()
            .map(|r| self.wait(&r.id, timing, now))
            .collect();
        let holders = nearest.iter().enumerate().filter_map(|(index, replica)| {
            let tokens = self.prompts.cached(prompt, &replica.id, now);
            if tokens.0 == 0 {
                return None;
            }
            let others = waits
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let shortest = others.map(|(_, wait)| *wait).min().unwrap_or_default();
            let gain = timing.prefill_time(tokens).as_secs_f64() - waits[index].as_secs_f64();
            let holder = Holder {
                replica,
                tokens,
                saved: timing.prefill_time(tokens),
                additional_wait: waits[index].saturating_sub(shortest),
            };
            Some((gain, holder))
        });
        let best = holders.max_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, holder)| holder)
    }

    /// Expected wait for a slot at `id`.
    fn wait(&self, id: &MemberId, timing: &Timing, now: Timestamp) -> Duration {
        let turns = self.scores.queued(id, now) * self.scores.load_per_request(id);
        timing.slot_time.mul_f64(turns)
    }

    /// Selects a replica when no held prefix is worth its wait: the first one by rendezvous hashing
    /// within the load bound whose wait is worth what the prompt could save, since other entries send
    /// the prefix there too, else the less loaded of two.
    pub(super) fn without_saving<'a>(
        &self,
        nearest: &[&'a Replica],
        query: Query<'_>,
        timing: &Timing,
        mean: f64,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (&'a Replica, Cause, Option<&'a Replica>) {
        let waits = nearest.iter().map(|r| self.wait(&r.id, timing, now));
        let shortest = waits.min().unwrap_or_default();
        let shareable = query.prompt.map(|p| p.prompt.shareable());
        let most = shortest + timing.prefill_time(shareable.unwrap_or_default());
        let is_worth_the_wait = |id: &MemberId| {
            let wait = self.wait(id, timing, now);
            (wait <= shortest || wait < most) && self.is_within_bound(id, mean, now)
        };
        let first = query.prefix.and_then(|prefix| {
            let order = rank::order(&prefix.0.0, nearest.iter().map(|r| &r.id));
            let mut first = order.into_iter().take(self.config.preferred);
            let id = first.find(|id| is_worth_the_wait(id))?;
            nearest.iter().find(|r| r.id == *id)
        });
        first.map_or_else(
            || self.two_choices(nearest, now, rng),
            |replica| (*replica, Cause::Affinity, None),
        )
    }
}
