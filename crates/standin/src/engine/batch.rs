//! Slots for running requests and the queue of waiting requests.

use std::sync::Arc;

use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Active, Core, Run, State};

/// Highest priority of a request.
pub(super) const TOP_PRIORITY: u8 = 2;

/// Number of changes of the running count that are kept for the delayed report.
const HISTORY_LEN: usize = 1_024;

/// The slot or queue position of one request. Dropping it frees the slot for the next request.
pub(super) struct Reservation {
    core: Arc<Core>,
    ticket: u64,
    rank: u8,
    /// Cancelled when the request is aborted.
    pub(super) stop: CancellationToken,
    start: Option<oneshot::Receiver<()>>,
}

impl Reservation {
    /// Takes a slot or a position in the queue. Returns `None` if the queue is full.
    pub(super) fn acquire(core: &Arc<Core>, request: SmolStr, priority: u8) -> Option<Self> {
        let mut state = core.lock();
        let rank = TOP_PRIORITY.saturating_sub(priority);
        let free = state.running < core.settings.slots && state.waiting.is_empty();
        if !free && state.waiting.len() >= core.settings.queue as usize {
            return None;
        }
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let stop = CancellationToken::new();
        let active = Active {
            request,
            stop: stop.clone(),
            run: None,
        };
        state.active.insert(ticket, active);
        let start = if free {
            state.change_running(1);
            None
        } else {
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert((rank, ticket), sender);
            Some(receiver)
        };
        drop(state);
        Some(Self {
            core: core.clone(),
            ticket,
            rank,
            stop,
            start,
        })
    }

    /// Waits for a slot. Returns false if the request was aborted in the meantime.
    pub(super) async fn wait_for_slot(&mut self) -> bool {
        let Some(start) = &mut self.start else {
            return true;
        };
        let started = start.await.is_ok();
        if started {
            self.start = None;
        }
        started
    }

    /// Records that the request runs.
    pub(super) fn record(&self, run: Run) {
        let mut state = self.core.lock();
        let index = state.runs.len();
        state.runs.push(run);
        if let Some(active) = state.active.get_mut(&self.ticket) {
            active.run = Some(index);
        }
    }

    /// Records that the complete response was sent.
    pub(super) fn finish(&self) {
        let mut state = self.core.lock();
        let run = state.active.get(&self.ticket).and_then(|a| a.run);
        if let Some(run) = run {
            state.runs[run].finished = true;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.core.lock();
        state.active.remove(&self.ticket);
        let waited = state.waiting.remove(&(self.rank, self.ticket)).is_some();
        let granted = match &mut self.start {
            None => true,
            Some(start) => !waited && start.try_recv().is_ok(),
        };
        if granted {
            state.release_slot();
        }
    }
}

impl State {
    /// Changes the count of running requests by `change`.
    fn change_running(&mut self, change: i32) {
        self.running = self.running.saturating_add_signed(change);
        self.history.push_back((Instant::now(), self.running));
        if self.history.len() > HISTORY_LEN {
            self.history.pop_front();
        }
    }

    /// Frees a slot and assigns it to the first request in the queue.
    fn release_slot(&mut self) {
        while let Some((_, sender)) = self.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        self.change_running(-1);
    }
}
