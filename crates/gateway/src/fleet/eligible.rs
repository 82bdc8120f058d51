//! Servers that are able to run a request, and what they would do with it.

use std::time::Duration;

use apricothall_decide::load::{Forecast, Load, ServerRelation};
use apricothall_decide::outlier::Permit;
use apricothall_decide::path_delay::arrival_margin;
use apricothall_decide::placement::{Candidate, Distance};
use apricothall_decide::prompt_parts::{Trial, trial_server};
use apricothall_decide::server_limits::{PassedOver, Reservation, Verdict};
use apricothall_decide::servers::{Server, Servers};
use apricothall_decide::signals::Availability;
use apricothall_types::Timestamp;

use super::{Exclusion, Placed, PlacementRequest, State};
use crate::server_limits::SharedLimits;
use crate::settings::Settings;

/// Minimum time between the predicted start of a request on an old version and the retirement of
/// that version.
const VERSION_MARGIN: Duration = Duration::from_millis(900);

/// Servers that are able to run a request, and why others are not.
pub(super) struct Eligible<'a> {
    pub(super) servers: Vec<EligibleServer<'a>>,
    /// Of the servers whose limit is reached, the one that takes another request first.
    pub(super) passed_over: Option<PassedOver>,
    /// Why servers that accept requests must not run this one, if there are such servers.
    pub(super) excluded: Option<Exclusion>,
    /// Time until the first of the servers without memory for its tokens has some.
    pub(super) room_after: Option<Duration>,
}

/// A server that is able to run a request.
pub(super) struct EligibleServer<'a> {
    pub(super) server: &'a Server,
    version: Option<u64>,
    relation: ServerRelation,
    forecast: Forecast,
}

impl EligibleServer<'_> {
    pub(super) fn candidate(&self, permit: Permit) -> Candidate {
        Candidate {
            distance: self.relation.distance,
            is_primary: self.relation.is_primary,
            permit,
            latency: self.forecast.latency,
            pause: self.forecast.pause,
            has_free_slot: self.forecast.has_free_slot,
            under_half_full: self.forecast.under_half_full,
        }
    }
}

/// Time until a server has memory for the tokens of a request, if it has none now and the service
/// publishes how much there is.
fn missing_room(
    load: &Load,
    request: &PlacementRequest<'_>,
    relation: ServerRelation,
    now: Timestamp,
) -> Option<Duration> {
    let engines = request.engines?;
    let capacity = engines.capacity?;
    let wait = load.room_after(&engines.timing, request.tokens, capacity, relation, now);
    (!wait.is_zero()).then_some(wait)
}

impl State {
    /// Servers that are able to run a request, with the forecast for each.
    pub(super) fn eligible<'a>(
        &self,
        settings: &Settings,
        servers: &'a Servers,
        limits: &SharedLimits,
        request: &PlacementRequest<'_>,
        now: Timestamp,
    ) -> Eligible<'a> {
        let unknown = Load::default();
        let mut eligible = Vec::new();
        let mut passed_over: Option<PassedOver> = None;
        let mut excluded = None;
        let mut room_after: Option<Duration> = None;
        let mut same_zone_index = 0;
        for server in servers.ready(request.service) {
            if request.tried.contains(&server.id) {
                continue;
            }
            if self.signals.availability(&server.id, server.born, now) != Availability::Available {
                continue;
            }
            let Some(version) = self.version(server, request, now) else {
                continue;
            };
            let distance = settings.distance(&server.zone);
            let near = distance == Distance::Zone;
            let verdict = limits.verdict(server, now);
            let relation = self.relation(distance, same_zone_index, &verdict);
            same_zone_index += u32::from(near);
            if let Some(exclusion) = exclusion(settings, server, request) {
                excluded = excluded.max(Some(exclusion));
                continue;
            }
            let load = self.loads.get(&server.address).unwrap_or(&unknown);
            if load.is_backing_off(now) {
                continue;
            }
            let forecast = match request.engines {
                Some(engines) => {
                    load.forecast_engine(&engines.timing, request.prompt, relation, now)
                }
                None => load.forecast_plain(server.slots, now),
            };
            let allowed = settings.bounds.version;
            let margin = VERSION_MARGIN + forecast.latency + arrival_margin(load.path.slowest(now));
            if version.is_some_and(|v| !request.versions.is_usable(v, allowed, margin, now)) {
                continue;
            }
            if let Verdict::PassedOver(passed) = verdict {
                let wait = passed_over.as_ref().map_or(Duration::MAX, |p| p.wait);
                if passed.wait < wait {
                    passed_over = Some(passed);
                }
                continue;
            }
            if let Some(wait) = missing_room(load, request, relation, now) {
                room_after = Some(room_after.map_or(wait, |known| known.min(wait)));
                continue;
            }
            eligible.push(EligibleServer {
                server,
                version,
                relation,
                forecast,
            });
        }
        if let Some(trial) = request.trial {
            self.retain_trial_server(&mut eligible, trial, now);
        }
        if request.crashes > 0 {
            self.anti_affinity
                .retain_least_exposed(&mut eligible, |e| e.server.address);
        }
        Eligible {
            servers: eligible,
            passed_over,
            excluded,
            room_after,
        }
    }

    /// Keeps only the server that tries a suspect part: one that did not crash with it, and that
    /// outlier detection did not eject, if there is any.
    fn retain_trial_server(
        &self,
        eligible: &mut Vec<EligibleServer<'_>>,
        trial: &Trial,
        now: Timestamp,
    ) {
        let is_sound = |e: &EligibleServer<'_>| {
            let open = self.outlier.permit(&e.server.id, now) == Permit::Open;
            open && !trial.barred.contains(&e.server.id)
        };
        if eligible.iter().any(is_sound) {
            eligible.retain(is_sound);
        }
        let ids = eligible.iter().map(|e| &e.server.id);
        if let Some(chosen) = trial_server(&trial.part, ids).cloned() {
            eligible.retain(|e| e.server.id == chosen);
        }
    }

    /// Relation to a server at `distance`, the one with index `at` if it is in this zone. A server
    /// with a limit gets little from the other entries, so this one uses its share as a primary
    /// sender does.
    fn relation(&self, distance: Distance, at: u32, verdict: &Verdict) -> ServerRelation {
        let near = distance == Distance::Zone;
        let is_limited = *verdict != Verdict::Unlimited;
        let sender_count = if is_limited {
            1
        } else {
            self.entries.sender_count(distance)
        };
        ServerRelation {
            distance,
            is_primary: near && (is_limited || self.entries.is_primary_for(at)),
            sender_count,
        }
    }

    /// Time until the first paused server that may run `request` accepts requests again.
    pub(super) fn shortest_pause(
        &self,
        servers: &Servers,
        settings: &Settings,
        request: &PlacementRequest<'_>,
        now: Timestamp,
    ) -> Option<Duration> {
        let availabilities = servers
            .ready(request.service)
            .filter(|s| exclusion(settings, s, request).is_none())
            .map(|s| self.signals.availability(&s.id, s.born, now));
        let waits = availabilities.filter_map(|availability| match availability {
            Availability::PausedFor(wait) => Some(wait),
            Availability::Available | Availability::Leaving => None,
        });
        waits.min()
    }

    /// Records that a request is about to be sent to a server, and adds its prompt to the load
    /// there.
    pub(super) fn start_request(
        &mut self,
        selected: &EligibleServer<'_>,
        request: &PlacementRequest<'_>,
        now: Timestamp,
    ) -> Placed {
        let server = selected.server;
        self.outlier.note_start(&server.id, now);
        if let Some(engines) = request.engines {
            let load = self.loads.entry(server.address).or_default();
            load.add_prompt(&engines.timing, request.prompt, selected.relation, now);
        }
        Placed {
            server: server.clone(),
            version: selected.version,
            predicted: selected.forecast.latency,
            load: selected.forecast.occupied,
            list_age: None,
            reserved: Reservation::default(),
            passed_over: None,
            tried: request.trial.map(|trial| trial.part.clone()),
            reservation: None,
        }
    }

    /// Version that a request would be bound to at `server`: `Some(None)` for a service without
    /// engines, `None` if the server cannot run the request.
    #[expect(
        clippy::option_option,
        reason = "the outer option tells whether the server can run the request"
    )]
    fn version(
        &self,
        server: &Server,
        request: &PlacementRequest<'_>,
        now: Timestamp,
    ) -> Option<Option<u64>> {
        let Some(engines) = request.engines else {
            return Some(None);
        };
        let model = &engines.model.name;
        let status = self.statuses.get(&server.address).filter(|s| now < s.until);
        let status = status.map(|s| &s.status);
        // The entry of an engine that stopped or restarted remains in the store for a while.
        if status.is_some_and(|s| s.born != server.born.0 && server.born.0 != 0) {
            return None;
        }
        let version = match status {
            Some(status) => {
                let (name, version) = status.serving.as_ref()?;
                (name == model).then_some(*version)?
            }
            None => server.loaded.iter().find(|l| l.model == *model)?.version,
        };
        // The list and expired statuses do not tell from which pieces a version was loaded.
        let heard = self.weights.get(&server.address);
        if heard.is_some_and(|w| !w.permits(server.born.0, version)) {
            return None;
        }
        Some(Some(version))
    }
}

/// Why `server` must not run a request, if that is so.
fn exclusion(
    settings: &Settings,
    server: &Server,
    request: &PlacementRequest<'_>,
) -> Option<Exclusion> {
    let region = settings.regions.get(&server.zone);
    if !request.regions.permits(region) {
        return Some(Exclusion::Region);
    }
    let is_evacuated = request.evacuated.contains(&server.zone);
    is_evacuated.then_some(Exclusion::Evacuated)
}
