//! Requests that arrive, and the engines that entries send them to.

use std::time::Duration;

use apricothall_decide::prompt_parts::{PartStanding, Trial, is_designated, trial_server};
use apricothall_types::{MemberId, PromptPart};
use rand::Rng;

use super::{CONTACT, COUNTED_CRASHES, Mutation, TICK, WALL, World, lethal_part, part};
use crate::engine::Running;

impl World {
    /// Sends the requests that arrive in this step.
    pub(super) fn send_new(&mut self, with_lethal: bool) {
        let expected = self.conditions.requests * TICK.as_secs_f64();
        let mut count = expected.floor();
        count += f64::from(u8::from(self.rng.random_bool(expected.fract())));
        while count >= 1.0 {
            count -= 1.0;
            let (parts, lethal) = self.draw_parts(with_lethal);
            let entry = self.rng.random_range(0..self.entries.len());
            let request = Running {
                entry,
                parts,
                lethal: lethal.is_some(),
                tried: None,
                sent_before: 0,
                wait: Duration::from_millis(self.rng.random_range(20..150)),
                work: Duration::from_millis(self.rng.random_range(400..2_500)),
                begun: None,
            };
            self.send(request, lethal);
        }
    }

    /// Draws the parts of a prompt. Also returns the index of the lethal part among them.
    fn draw_parts(&mut self, with_lethal: bool) -> (Vec<PromptPart>, Option<usize>) {
        let first = self.rng.random_range(0..self.conditions.first_parts);
        let mut parts = vec![part(&format!("f{first:x}"))];
        let mut lethal = None;
        if with_lethal {
            let shares: Vec<_> = self.conditions.lethal_shares.clone();
            let drawn = |share: &f64| self.rng.random_bool(*share);
            lethal = shares.iter().position(drawn);
        }
        parts.extend(lethal.map(lethal_part));
        if self.conditions.mutation == Some(Mutation::WholeRequests) {
            self.numbers += 1;
            parts = vec![part(&format!("{:x}", self.numbers))];
        }
        (parts, lethal)
    }

    /// Sends a request from its entry, as the entry decides. `lethal` is the index of its lethal
    /// part.
    pub(super) fn send(&mut self, mut request: Running, lethal: Option<usize>) {
        let suspects = &self.entries[request.entry].suspects;
        let trial = match suspects.standing(&request.parts, WALL) {
            PartStanding::Condemned(_) => {
                if !request.lethal {
                    self.refused.push(self.now);
                }
                return;
            }
            PartStanding::Trial(trial) if trial.strong => {
                if !self.is_designated(&trial.part, request.entry) {
                    return;
                }
                Some(trial)
            }
            PartStanding::Trial(trial) => Some(trial),
            PartStanding::Clear => None,
        };
        let Some(engine) = self.place(trial.as_ref()) else {
            return;
        };
        request.tried = trial.map(|t| t.part);
        if let Some(index) = lethal {
            let excused = self.entries[request.entry].excused_until;
            let fifth = self.lethal[index].crashes.get(COUNTED_CRASHES - 1);
            let is_late = fifth.is_some_and(|at| self.now > *at + CONTACT);
            self.lethal[index].late += usize::from(is_late && self.now >= excused);
        }
        self.engines[engine].send(request, self.now);
    }

    /// Whether an entry tries a strong suspect for all that it is connected to.
    fn is_designated(&self, part: &PromptPart, entry: usize) -> bool {
        let id = |entry: usize| -> MemberId { format!("entry-{entry}").parse().expect("valid") };
        let is_cut = |entry: &usize| self.now < self.entries[*entry].cut_until;
        if is_cut(&entry) {
            return true;
        }
        let others = (0..self.entries.len()).filter(|e| !is_cut(e));
        let ids: Vec<_> = others.map(id).collect();
        is_designated(part, &id(entry), &ids)
    }

    fn place(&mut self, trial: Option<&Trial>) -> Option<usize> {
        let Some(trial) = trial else {
            let all = self.engines.len();
            let mut drawn = (0..all).map(|_| self.rng.random_range(0..all));
            return drawn.find(|e| self.engines[*e].is_up(self.now));
        };
        let up = (0..self.engines.len()).filter(|e| self.engines[*e].is_up(self.now));
        let ids: Vec<_> = up.map(|e| (e, self.engines[e].id())).collect();
        let sound = ids.iter().filter(|(_, id)| !trial.barred.contains(id));
        let chosen = trial_server(&trial.part, sound.map(|(_, id)| id))?;
        ids.iter().find(|(_, id)| id == chosen).map(|(e, _)| *e)
    }
}
