//! Shared parts of forwarding and resuming: server selection and recording of failed attempts.

use std::sync::Arc;
use std::time::Duration;

use apricothall_decide::load::Prompt;
use apricothall_decide::outlier::Attempt;
use apricothall_decide::placement::{Margin, Requirements};
use apricothall_decide::prompt_parts::{PartStanding, Trial, is_designated};
use apricothall_decide::repeat::End;
use apricothall_decide::residency::AllowedRegions;
use apricothall_types::{MemberId, Role, Timestamp};

use crate::Context;
use crate::connections::ConnectionPool;
use crate::exchange::AttemptError;
use crate::fleet::{Placed, Placement, PlacementRequest, ServerRef};
use crate::peers::Phase;
use crate::published::InForce;
use crate::request::Call;

/// Maximum predicted wait for a request that has already exceeded its target latency.
const MAX_LATE_WAIT: Duration = Duration::from_millis(900);

/// `retry-after` of a request with a strong suspect that another entry tries: the time of a short
/// answer.
const TRIAL_ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Sends calls to servers. Cheap to clone.
#[derive(Clone)]
pub struct Forwarder {
    /// Shared state of the process.
    pub context: Context,
    /// Connections to servers.
    pub pool: Arc<ConnectionPool>,
}

impl Forwarder {
    /// Selects a server for `call` that was not `tried` and is predicted to begin within
    /// `objective`. `returning` is whether the caller was refused before.
    #[must_use]
    pub fn place_within(
        &self,
        call: &Call,
        tried: &[MemberId],
        objective: Duration,
        returning: bool,
        now: Timestamp,
    ) -> Placement {
        let model = call.engines.as_ref().map_or("", |e| e.model.name.as_str());
        let versions = self.context.published.versions(model);
        let trial = match self.context.quarantine.part_standing(&call.parts) {
            PartStanding::Trial(trial) => Some(trial),
            PartStanding::Clear | PartStanding::Condemned(_) => None,
        };
        if let Some(trial) = trial.as_ref().filter(|t| t.strong)
            && !self.is_designated(trial, now)
        {
            metrics::counter!("apricothall_parts_deferred_total").increment(1);
            return Placement::OnTrial(TRIAL_ELSEWHERE_RETRY_AFTER);
        }
        let regions = self.allowed_regions(call);
        let evacuated = self.context.published.evacuated_zones();
        let request = PlacementRequest {
            service: &call.service,
            engines: call.engines.as_ref(),
            versions: &versions,
            need: Requirements {
                objective,
                is_retry: returning,
                max_wait: MAX_LATE_WAIT.min(call.deadline.since(now)),
                max_pause: call.route.gap,
                margin: self.margin(call, tried, now),
            },
            prompt: Prompt {
                tokens: call.prompt,
                rank: if call.returning {
                    call.rank.of_returning()
                } else {
                    call.rank
                },
            },
            tokens: call.tokens,
            tried,
            crashes: self.context.quarantine.crashes(&call.fingerprint),
            trial: trial.as_ref(),
            regions: &regions,
            evacuated: &evacuated,
        };
        self.context.fleet.place(&self.context, &request, now)
    }

    /// Regions in which `call` may be processed. If the configuration has changed since the request
    /// was accepted, the restrictions of both apply.
    fn allowed_regions(&self, call: &Call) -> AllowedRegions {
        let in_force = self.context.published.in_force();
        let Some(in_force) = in_force.filter(|f| f.revision != call.configuration) else {
            return call.regions.clone();
        };
        let InForce { configuration, .. } = in_force.as_ref();
        let route = configuration.routes.find(&call.route.host, call.uri.path());
        let account = call.account.as_ref();
        let account = account.and_then(|a| configuration.accounts.named(&a.name));
        let regions = route.map_or(AllowedRegions::ANY, |r| r.regions.clone());
        let regions = account.map_or(regions.clone(), |a| regions.intersection(&a.regions));
        call.regions.intersection(&regions)
    }

    /// Margin of `call` for its first attempt. Once it was admitted, it has the usual one.
    #[must_use]
    pub fn margin(&self, call: &Call, tried: &[MemberId], now: Timestamp) -> Margin {
        if !tried.is_empty() {
            return Margin::Usual;
        }
        self.context.fleet.margin(call, now)
    }

    /// Whether this entry is the one that tries a strong suspect for all entries that it hears.
    fn is_designated(&self, trial: &Trial, now: Timestamp) -> bool {
        let mut entries = Vec::new();
        self.context.peers.each(now, |peer| {
            if peer.hello.role == Role::Entry && peer.hello.phase == Phase::Serving {
                entries.push(peer.hello.id.clone());
            }
        });
        is_designated(&trial.part, &self.context.settings().id, &entries)
    }

    /// Records a failed attempt and returns its consequence for the request.
    #[must_use]
    pub fn record_error(&self, placed: &Placed, error: AttemptError) -> (End, AttemptError) {
        let now = self.context.clock.now();
        let server = ServerRef::from(&placed.server);
        if error.is_server_failure() {
            self.context
                .fleet
                .record(&server, Attempt::Failed, placed.predicted, now);
        }
        if matches!(error, AttemptError::Refused { .. }) {
            self.context
                .fleet
                .pause(server.address, error.is_misdirected(), now);
        }
        metrics::counter!("apricothall_attempt_failures_total", "end" => label(error.consequence()))
            .increment(1);
        (error.consequence(), error)
    }
}

/// Counts an attempt at a server in the metrics.
pub fn count_attempt(is_retry: bool) {
    let kind = if is_retry { "repeat" } else { "first" };
    metrics::counter!("apricothall_attempts_total", "kind" => kind).increment(1);
}

fn label(end: End) -> &'static str {
    match end {
        End::Unsent => "unsent",
        End::Refused => "refused",
        End::Lost => "lost",
        End::Failed => "failed",
    }
}
