//! Entry discovery for callers, readiness check and metrics.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use apricothall_decide::residency::AllowedRegions;
use apricothall_fleet::http_server::{Body, listen, serve, text, with_content_type};
use apricothall_kernel::StartError;
use apricothall_types::Role;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use crate::Context;
use crate::dialect::CallerLocation;
use crate::gossip::{daemon_info, phase};
use crate::peers::{DaemonInfo, Phase};

/// Timeout for reading a request head.
const HEAD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Maximum time for which callers may cache the addresses, in seconds.
const ADDRESS_TTL_SECONDS: u64 = 1;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Minimum number of entries in the caller's zone for which entries of other zones are omitted.
const MIN_SAME_ZONE: usize = 2;

const METRICS_PATH: &str = "/metrics";

/// Serves all ports except the one for callers until the process ends.
///
/// # Errors
/// If an address cannot be bound.
pub async fn start(context: &Context) -> Result<(), StartError> {
    let listen_on = context.settings().listen.clone();
    let ports = [
        listen_on.ready,
        listen_on.directory,
        listen_on.control,
        listen_on.metrics,
    ];
    let addresses: BTreeSet<SocketAddr> = ports.into_iter().flatten().collect();
    for address in addresses {
        let listener = listen(address).await?;
        let serving = context.clone();
        // These ports stay open during a drain, until the process ends.
        let closing = CancellationToken::new();
        context
            .lifecycle
            .spawn(serve(listener, HEAD_TIMEOUT, closing, move |request| {
                let context = serving.clone();
                async move { answer(&context, &request) }
            }));
    }
    Ok(())
}

fn answer(context: &Context, request: &Request<Incoming>) -> Response<Body> {
    let calls = &context.dialect.directory;
    let path = request.uri().path();
    if path == calls.ready {
        return ready(context);
    }
    if path == calls.entries {
        let location = (calls.read_location)(request.uri().query().unwrap_or_default());
        return entries(context, &location);
    }
    if path == METRICS_PATH {
        return text(StatusCode::OK, context.telemetry.render());
    }
    text(StatusCode::NOT_FOUND, "no such path\n")
}

fn ready(context: &Context) -> Response<Body> {
    match phase(context) {
        Phase::Serving => text(StatusCode::OK, "serving\n"),
        Phase::Starting => text(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Phase::Leaving => text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
    }
}

fn entries(context: &Context, location: &CallerLocation) -> Response<Body> {
    let calls = &context.dialect.directory;
    let chosen = choose_entries(
        &known_entries(context),
        location,
        &host_regions(context, location),
    );
    if chosen.is_empty() {
        return text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no entry is known to serve\n",
        );
    }
    let ttl = ADDRESS_TTL_SECONDS.min(context.settings().bounds.keep.as_secs());
    let body = (calls.write_entries)(&chosen, ttl);
    with_content_type(StatusCode::OK, "application/json", body)
}

fn known_entries(context: &Context) -> Vec<DaemonInfo> {
    let now = context.clock.now();
    let mut all = vec![daemon_info(context)];
    context.peers.each(now, |peer| {
        if peer.may_be_named(now) {
            all.push(peer.hello.clone());
        }
    });
    all.retain(|h| h.role == Role::Entry && h.public.is_some());
    all
}

/// Regions in which the requests to the host that the caller wants to reach may be processed.
fn host_regions(context: &Context, location: &CallerLocation) -> AllowedRegions {
    let in_force = context.published.in_force();
    let host = in_force.as_ref().zip(location.host.as_ref());
    host.map_or(AllowedRegions::ANY, |(in_force, host)| {
        in_force.configuration.routes.host_regions(host)
    })
}

/// Selects serving entries, only from the caller's zone if it has enough of them. If no entry is
/// serving, starting entries are returned, as they may become ready first. If requests may only be
/// processed in some regions, entries of the caller's own region come first, then those of these
/// regions.
fn choose_entries(
    all: &[DaemonInfo],
    location: &CallerLocation,
    regions: &AllowedRegions,
) -> Vec<SocketAddr> {
    let in_phase = |phase| {
        all.iter()
            .filter(move |h| h.phase == phase)
            .collect::<Vec<_>>()
    };
    let mut usable = in_phase(Phase::Serving);
    if usable.is_empty() {
        usable = in_phase(Phase::Starting);
    }
    let same_zone = |h: &&&DaemonInfo| location.zone.as_deref() == Some(h.zone.as_str());
    let zone: Vec<_> = usable.iter().filter(same_zone).copied().collect();
    let chosen = if zone.len() >= MIN_SAME_ZONE {
        zone
    } else if regions.is_restricted() {
        within_regions(&usable, location, regions)
    } else {
        usable
    };
    chosen
        .iter()
        .filter_map(|h| h.public)
        .take(MAX_ADDRESSES)
        .collect()
}

/// Entries of the caller's region, or else of the permitted regions, or else all.
fn within_regions<'a>(
    usable: &[&'a DaemonInfo],
    location: &CallerLocation,
    regions: &AllowedRegions,
) -> Vec<&'a DaemonInfo> {
    let is_own = |h: &DaemonInfo| location.region.as_deref() == Some(h.region.as_str());
    let is_permitted = |h: &DaemonInfo| regions.permits(Some(&h.region));
    let own: Vec<_> = usable.iter().copied().filter(|h| is_own(h)).collect();
    if !own.is_empty() {
        return own;
    }
    let permitted: Vec<_> = usable.iter().copied().filter(|h| is_permitted(h)).collect();
    if !permitted.is_empty() {
        return permitted;
    }
    usable.to_vec()
}
