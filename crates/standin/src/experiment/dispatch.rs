//! Selection of an engine for a request, by the decisions of an entry.

use std::cmp::Reverse;
use std::time::Duration;

use apricothall_decide::contention::RequestOutcome;
use apricothall_decide::load::{Prompt, ServerRelation};
use apricothall_decide::outlier::Permit;
use apricothall_decide::placement::{Candidate, Choice, Distance, Requirements, choose};
use apricothall_types::Timestamp;

use super::{MAX_PAUSE, Simulation};

/// Longest predicted wait at which a retried request is still admitted.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(900);

/// Shortest and longest time that a refused client waits before it retries, in ms.
const RETRY_DELAY_MS: (u64, u64) = (1_200, 2_000);

/// Offset of the admission order for retried requests.
const RETRY_URGENCY_OFFSET: usize = 4;

impl Simulation<'_> {
    /// Sends the request to an engine, schedules its retry or refuses it.
    pub(super) fn place(&mut self, id: usize, is_retry: bool, now: u64) {
        let request = &mut self.requests[id];
        request.is_retry = is_retry;
        if is_retry {
            request.job.urgency += RETRY_URGENCY_OFFSET;
        }
        let at = Timestamp::from_millis(now);
        let available: Vec<_> = (0..self.engines.len())
            .filter(|index| !self.experiment.pattern.is_down(*index, now))
            .collect();
        let candidates: Vec<_> = available
            .iter()
            .map(|index| self.candidate(id, *index, at))
            .collect();
        let (kind, entry) = (self.requests[id].kind, self.requests[id].entry);
        let rank = self.ranks[kind];
        let need = Requirements {
            objective: self.experiment.kinds[kind].objective,
            is_retry,
            max_wait: MAX_RETRY_WAIT,
            max_pause: Some(MAX_PAUSE),
            margin: self.contention[entry].margin(rank, None, at),
        };

        let choice = choose(&self.experiment.placement, &candidates, need, &mut self.rng);
        if !matches!(choice, Choice::Send(_)) {
            let outcome = RequestOutcome {
                is_returning: is_retry,
                is_served: false,
            };
            self.contention[entry].record(rank, None, outcome, at);
        }
        match choice {
            Choice::Send(chosen) => {
                self.send(id, available[chosen], candidates[chosen].latency, at);
            }
            Choice::Refuse(after) if !is_retry => {
                let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
                let delay = after.clamp(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
                self.retries.push(Reverse((now + delay, id)));
            }
            Choice::Refuse(_) | Choice::NoServer => {
                self.outcomes[self.requests[id].kind].refused += 1;
            }
        }
    }

    /// What the entry of the request predicts of engine `index`.
    fn candidate(&self, id: usize, index: usize, at: Timestamp) -> Candidate {
        let entry = self.requests[id].entry;
        let relation = self.relation(entry, index);
        let load = &self.entries[entry][index];
        let timing = &self.experiment.timing;
        let forecast = load.forecast_engine(timing, self.prompt(id), relation, at);
        Candidate {
            distance: Distance::Zone,
            is_primary: relation.is_primary,
            permit: Permit::Open,
            latency: forecast.latency,
            pause: forecast.pause,
            has_free_slot: forecast.has_free_slot,
            under_half_full: forecast.under_half_full,
        }
    }

    fn send(&mut self, id: usize, index: usize, predicted: Duration, at: Timestamp) {
        let prompt = self.prompt(id);
        let entry = self.requests[id].entry;
        let relation = self.relation(entry, index);
        let load = &mut self.entries[entry][index];
        load.request_started(at);
        load.add_prompt(&self.experiment.timing, prompt, relation, at);
        let request = &mut self.requests[id];
        request.engine = index;
        request.sent = at;
        request.predicted = predicted;
        self.engines[index].push(request.job);
    }

    fn relation(&self, entry: usize, index: usize) -> ServerRelation {
        ServerRelation {
            distance: Distance::Zone,
            is_primary: index % self.entries.len() == entry,
            sender_count: self.experiment.entries,
        }
    }

    fn prompt(&self, id: usize) -> Prompt {
        let request = &self.requests[id];
        let rank = self.ranks[request.kind];
        Prompt {
            tokens: request.job.prompt,
            rank: if request.is_retry {
                rank.of_returning()
            } else {
                rank
            },
        }
    }
}
