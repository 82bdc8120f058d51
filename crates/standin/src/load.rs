//! Open-loop load generator: requests start at seeded times, regardless of how long earlier ones
//! take.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_types::{Digest, Version};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller::{CallOptions, Caller};
use crate::completion::{StreamEnd, StreamedAnswer, Verdict, completion};

/// Significant digits of recorded latencies.
const DIGITS: u8 = 3;

/// Largest recorded latency, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;

/// Number of entries that a request tries if it cannot connect.
const MAX_ATTEMPTS: u32 = 3;

/// Parameters of the load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests per second.
    pub rate: f64,
    /// Models, chosen uniformly.
    pub models: Vec<SmolStr>,
    /// Minimum and maximum number of tokens per response.
    pub tokens: (u32, u32),
    /// Headers of each request.
    pub options: CallOptions,
    /// Seed of start times and prompts.
    pub seed: u64,
}

/// Digests of the correct bytes of each version. Clones share the map.
#[derive(Clone, Default)]
pub struct ReferenceWeights(Arc<Mutex<HashMap<Version, Digest>>>);

impl ReferenceWeights {
    /// Adds a version and the digest of its bytes.
    pub fn add(&self, version: Version, bytes: Digest) {
        lock(&self.0).insert(version, bytes);
    }

    /// All versions.
    #[must_use]
    pub fn all(&self) -> HashMap<Version, Digest> {
        lock(&self.0).clone()
    }
}

/// Results of the requests that ended within one period.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Number of requests that ended.
    pub ended: u64,
    /// Number of requests, by verdict.
    pub verdicts: HashMap<Verdict, u64>,
    /// Times to the first token, in microseconds, measured from the scheduled start of the request.
    pub first: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// Number of refused requests, by the detail that the entry gave.
    pub refusals: BTreeMap<String, u64>,
    /// Descriptions of some of the responses that were neither complete nor refused.
    pub samples: Vec<String>,
}

impl LoadReport {
    fn new() -> Self {
        // Fixed bounds, because a histogram that resizes itself saturates at its current bound.
        let bounds = || Histogram::new_with_bounds(1, MAX_MICROS, DIGITS);
        let histogram = || bounds().expect("the bounds are permitted");
        Self {
            ended: 0,
            verdicts: HashMap::new(),
            first: histogram(),
            gaps: histogram(),
            refusals: BTreeMap::new(),
            samples: Vec::new(),
        }
    }

    /// Number of requests with this verdict.
    #[must_use]
    pub fn count(&self, verdict: Verdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }

    /// Number of complete responses.
    #[must_use]
    pub fn whole(&self) -> u64 {
        self.count(Verdict::Whole)
    }

    /// Number of errors that state an outcome.
    #[must_use]
    pub fn refused(&self) -> u64 {
        let refused = |(verdict, _): &(&Verdict, &u64)| matches!(verdict, Verdict::Refused(_));
        self.verdicts.iter().filter(refused).map(|(_, n)| n).sum()
    }

    fn add(&mut self, answer: &StreamedAnswer, verdict: Verdict, late: Duration) {
        const SAMPLES: usize = 5;
        self.ended += 1;
        *self.verdicts.entry(verdict).or_default() += 1;
        if let Some(first) = answer.first {
            record(&mut self.first, first + late);
        }
        for gap in &answer.gaps {
            record(&mut self.gaps, *gap);
        }
        if let StreamEnd::Problem(problem) = &answer.ended {
            *self.refusals.entry(problem.detail.clone()).or_default() += 1;
        }
        let expected = matches!(verdict, Verdict::Whole | Verdict::Refused(_));
        if !expected && self.samples.len() < SAMPLES {
            let tokens = answer.events.len();
            self.samples.push(format!(
                "{verdict:?} after {tokens} tokens: {:?}",
                answer.ended
            ));
        }
    }
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(u64::try_from(span.as_micros()).unwrap_or(u64::MAX));
}

/// A running load generator.
pub struct Load {
    report: Arc<Mutex<LoadReport>>,
    stop: CancellationToken,
    task: JoinHandle<()>,
    requests: TaskTracker,
}

impl Load {
    /// Starts sending requests from `callers`, round-robin.
    #[must_use]
    pub fn start(plan: LoadPlan, callers: Vec<Caller>, weights: ReferenceWeights) -> Self {
        let report = Arc::new(Mutex::new(LoadReport::new()));
        let stop = CancellationToken::new();
        let requests = TaskTracker::new();
        let sender = Sender {
            plan,
            callers,
            weights,
            report: report.clone(),
            requests: requests.clone(),
        };
        let token = stop.clone();
        let task = tokio::spawn(async move {
            // Requests in progress continue; only the creation of new ones stops here.
            token.run_until_cancelled(sender.run()).await;
        });
        Self {
            report,
            stop,
            task,
            requests,
        }
    }

    /// Returns the report since the start or the previous call and starts a new one.
    #[must_use]
    pub fn take(&self) -> LoadReport {
        std::mem::replace(&mut *lock(&self.report), LoadReport::new())
    }

    /// Number of requests that ended since the start or the last [`Load::take`].
    #[must_use]
    pub fn ended(&self) -> u64 {
        lock(&self.report).ended
    }

    /// Stops sending, waits for all responses and returns the report since the last [`Load::take`].
    pub async fn close(self) -> LoadReport {
        self.stop.cancel();
        let _ = self.task.await;
        self.requests.close();
        self.requests.wait().await;
        lock(&self.report).clone()
    }
}

struct Sender {
    plan: LoadPlan,
    callers: Vec<Caller>,
    weights: ReferenceWeights,
    report: Arc<Mutex<LoadReport>>,
    requests: TaskTracker,
}

impl Sender {
    async fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let mut due = Instant::now();
        for number in 0_u64.. {
            due += exponential(self.plan.rate, &mut rng);
            tokio::time::sleep_until(due).await;
            let (least, most) = self.plan.tokens;
            let tokens = rng.random_range(least..=most);
            let model = &self.plan.models[rng.random_range(0..self.plan.models.len())];
            let prompt = format!("load {} request {number}", self.plan.seed);
            let request = completion(model, &prompt, tokens);
            let callers = self.callers.len() as u64;
            let index = usize::try_from(number % callers).unwrap_or(0);
            let caller = self.callers[index].clone();
            let options = self.plan.options.clone();
            let (weights, report) = (self.weights.clone(), self.report.clone());
            self.requests.spawn(async move {
                let (answer, sent) = send(&caller, request, &options).await;
                let verdict = answer.verdict(&weights.all());
                let late = sent.duration_since(due);
                lock(&report).add(&answer, verdict, late);
            });
        }
    }
}

/// Sends a request, and tries other entries, up to [`MAX_ATTEMPTS`] in total, while no connection
/// can be established.
async fn send(
    caller: &Caller,
    request: crate::engine::answer::Completion,
    options: &CallOptions,
) -> (StreamedAnswer, Instant) {
    let mut attempts = 1;
    loop {
        let sent = Instant::now();
        let answer = caller.complete(request.clone(), options).await;
        let unreachable = matches!(answer.ended, StreamEnd::Unreachable(_));
        if !unreachable || attempts == MAX_ATTEMPTS {
            return (answer, sent);
        }
        attempts += 1;
    }
}

/// Time to the next request of a Poisson process.
fn exponential(rate: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = 1.0 - rng.random::<f64>();
    Duration::from_secs_f64(-uniform.ln() / rate.max(f64::MIN_POSITIVE))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
