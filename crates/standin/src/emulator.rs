//! A simulated model engine with published timing, driven by a virtual clock.

use std::collections::VecDeque;

use apricothall_decide::timing::Timing;

/// Engine timing used by the load experiments.
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

/// A request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Id of the request.
    pub id: usize,
    /// Number of prompt tokens.
    pub prompt: f64,
    /// Number of tokens to generate.
    pub answer: f64,
    /// Order of admission: of the queued requests, those with the smallest number start first.
    pub urgency: usize,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EmulatorEvent {
    /// The first token event was sent.
    FirstToken,
    /// The last token event was sent.
    Completed {
        /// Longest pause between two events, in ms.
        pause: f64,
    },
}

struct Running {
    job: Job,
    remaining: f64,
    last_event: Option<f64>,
    pause: f64,
}

/// A simulated engine. It works in passes: each pass prefills the prompts of newly admitted
/// requests, then generates [`Timing::stride`] tokens for each running request.
pub struct Emulator {
    timing: Timing,
    /// Factor by which the engine is slower than the published timing.
    pub slowdown: f64,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    pass_end: Option<f64>,
}

impl Emulator {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            slowdown: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            pass_end: None,
        }
    }

    /// Number of running and waiting requests.
    #[must_use]
    pub fn total(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, job: Job) {
        let behind = self.waiting.iter().rposition(|j| j.urgency <= job.urgency);
        self.waiting.insert(behind.map_or(0, |at| at + 1), job);
    }

    /// Simulates a crash: drops all requests and returns their ids.
    pub fn crash(&mut self) -> Vec<usize> {
        self.pass_end = None;
        let running = self.running.drain(..).map(|r| r.job.id);
        running
            .chain(self.waiting.drain(..).map(|j| j.id))
            .collect()
    }

    /// Advances the clock to `now`, in ms, and reports the progress of each request.
    pub fn step(&mut self, now: f64, mut on_event: impl FnMut(usize, EmulatorEvent)) {
        if let Some(pass_end) = self.pass_end.filter(|pass_end| *pass_end <= now) {
            self.end_pass(pass_end, &mut on_event);
            self.pass_end = None;
        }
        if self.pass_end.is_none() {
            self.begin_pass(now);
        }
    }

    fn end_pass(&mut self, at: f64, on_event: &mut impl FnMut(usize, EmulatorEvent)) {
        let tokens = f64::from(self.timing.stride);
        self.running.retain_mut(|running| {
            match running.last_event {
                None => on_event(running.job.id, EmulatorEvent::FirstToken),
                Some(last_event) => running.pause = running.pause.max(at - last_event),
            }
            running.last_event = Some(at);
            running.remaining -= tokens;
            if running.remaining <= 0.0 {
                let pause = running.pause;
                on_event(running.job.id, EmulatorEvent::Completed { pause });
            }
            running.remaining > 0.0
        });
    }

    fn begin_pass(&mut self, now: f64) {
        let slots = usize::try_from(self.timing.slots).unwrap_or(usize::MAX);
        let mut reading = 0.0;
        while self.running.len() < slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            reading += self.timing.prefill_ms(job.prompt);
            self.running.push(Running {
                job,
                remaining: job.answer,
                last_event: None,
                pause: 0.0,
            });
        }
        if self.running.is_empty() {
            return;
        }
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let ms = (reading + self.timing.decode_ms(batch)) * self.slowdown;
        self.pass_end = Some(now + ms);
    }
}
