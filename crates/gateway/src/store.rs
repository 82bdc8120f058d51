//! Reader of the platform's store. It lists the items, then watches for changes, and lists again
//! after each failure.
//!
//! A few entries of each zone read the store; the other daemons follow them (see
//! [`crate::peer_sync`]).

use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::HttpClient;
use apricothall_decide::readers::{awaits_peers, is_confirmation_due, retry_pause, watch_wait};
use apricothall_decide::servers::Server;
use apricothall_decide::store_reachability::ReadFailure;
use apricothall_types::{ConfigurationRevision, Role, StoreRevision, Timestamp};
use rand::Rng;

use crate::Context;
use crate::dialect::{Change, Changes, Fact, Item, Subject};
use crate::peers::Peer;
use crate::quarantine::crash_of;
use crate::store_calls::{ReadError, SHORTEST_WAIT, fetch_changes, fetch_page, store_client};

/// Time without a received byte after which the store is reported to other daemons as unreachable.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(400);

/// Pause between two watch requests, to coalesce rapid changes.
const COALESCE_DELAY: Duration = Duration::from_millis(300);

/// Interval of checks whether the configuration must be confirmed.
const CONFIRM_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Assumed maximum age of the configuration if keys are accepted at any age.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(5);

/// Interval of checks whether this daemon has become a reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of checks whether peers have provided a configuration.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the start for an agent to discover entries before it reads the store itself.
const AGENT_START_DELAY: Duration = Duration::from_millis(800);

/// Starts the tasks that read the store for this role, until the process ends.
pub fn start(context: &Context) {
    let settings = context.settings();
    watch(context, Subject::Operators);
    if settings.role == Role::Entry {
        watch(context, Subject::Servers);
        let confirming = context.clone();
        context
            .lifecycle
            .spawn(async move { confirm(&confirming).await });
    }
}

fn watch(context: &Context, subject: Subject) {
    let watching = context.clone();
    let client = store_client(context);
    context.lifecycle.spawn(async move {
        if watching.settings().role == Role::Agent {
            tokio::time::sleep(AGENT_START_DELAY).await;
        }
        let mut has_history = true;
        loop {
            if subject == Subject::Operators {
                await_peers(&watching).await;
            }
            await_reader_role(&watching, subject).await;
            let start = start_revision(&watching, subject).filter(|_| has_history);
            let error = follow(&watching, &client, subject, start).await;
            has_history = !error.needs_list();
            record_failure(&watching, subject, &error);
            back_off(&watching).await;
        }
    });
}

/// Waits until this daemon is a reader of the store.
async fn await_reader_role(context: &Context, subject: Subject) {
    if context.reads_store(subject, context.clock.now()) {
        return;
    }
    context.published.reset_store_reachability(subject);
    while !context.reads_store(subject, context.clock.now()) {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
    tracing::info!(?subject, "reads the store from now on");
}

/// Waits until peers have provided a configuration, unless none of them has one. A process that has
/// just started thus does not read the whole configuration from the store.
async fn await_peers(context: &Context) {
    let started = context.clock.now();
    loop {
        let now = context.clock.now();
        let mut peers_have_one = false;
        context.peers.each(now, |peer| {
            peers_have_one |= peer.revision > ConfigurationRevision::default();
        });
        let has_one = context.published.in_force().is_some();
        if !awaits_peers(has_one, peers_have_one, now.since(started)) {
            return;
        }
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
    }
}

/// Revision from which a subject may be followed without a list. The servers are always listed: a
/// list also corrects what peers reported.
fn start_revision(context: &Context, subject: Subject) -> Option<StoreRevision> {
    match subject {
        Subject::Operators => context.published.followed_revision(),
        Subject::Servers => None,
    }
}

/// Follows changes from revision `start` on, or lists the items first, until a call fails.
async fn follow(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    start: Option<StoreRevision>,
) -> ReadError {
    let mut revision = match begin(context, client, subject, start).await {
        Ok(revision) => revision,
        Err(error) => return error,
    };
    let mut held = holds_against_copy(context, subject);
    loop {
        if std::mem::replace(&mut held, holds_against_copy(context, subject)) && !held {
            // What was held against the copy is given up, so the list holds from now on.
            revision = match list(context, client, subject).await {
                Ok(revision) => revision,
                Err(error) => return error,
            };
        }
        let role = context.reader_role(subject, context.clock.now());
        let wait = watch_wait(role, subject);
        let changes = match take_changes(context, client, subject, revision, wait).await {
            Ok(changes) => changes,
            Err(error) => return error,
        };
        let now = context.clock.now();
        if subject == Subject::Servers {
            clear_live_servers(context, &changes, now);
        }
        if !changes.changes.is_empty() {
            tokio::time::sleep(COALESCE_DELAY).await;
        }
        revision = revision.max(changes.revision);
        if !context.reads_store(subject, now) {
            return ReadError::NotReader;
        }
    }
}

/// Whether the list of servers does not hold yet, as the store came back from an older copy.
fn holds_against_copy(context: &Context, subject: Subject) -> bool {
    let now = context.clock.now();
    subject == Subject::Servers && context.published.servers(|s| s.holds_against_copy(now))
}

/// Reads the changes after revision `start`, or all items. Returns the revision to follow from.
async fn begin(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    start: Option<StoreRevision>,
) -> Result<StoreRevision, ReadError> {
    if subject == Subject::Servers {
        return list(context, client, subject).await;
    }
    match start {
        Some(start) => catch_up(context, client, start).await,
        None => report_silence(context, Duration::ZERO, list(context, client, subject)).await,
    }
}

/// Applies the changes to the items of operators after `revision`. Returns the revision up to which
/// all have been applied.
async fn catch_up(
    context: &Context,
    client: &HttpClient,
    revision: StoreRevision,
) -> Result<StoreRevision, ReadError> {
    let subject = Subject::Operators;
    let changes = take_changes(context, client, subject, revision, SHORTEST_WAIT).await?;
    Ok(changes.revision)
}

/// Requests the changes after `revision` and applies them.
async fn take_changes(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    revision: StoreRevision,
    wait: Duration,
) -> Result<Changes, ReadError> {
    let asked = context.clock.now();
    let fetching = fetch_changes(context, client, subject, revision, wait);
    let changes = match subject {
        Subject::Operators => report_silence(context, wait, fetching).await?,
        Subject::Servers => fetching.await?,
    };
    record_answer(context, subject);
    let now = context.clock.now();
    let calls = &context.dialect.store;
    context
        .published
        .take_changes(calls, subject, &changes, asked, now);
    Ok(changes)
}

/// Clears the requests recorded for an inferred crash of a server that has since written its entry.
/// Writes are ignored after an outage, as the store may then report old ones.
fn clear_live_servers(context: &Context, changes: &Changes, now: Timestamp) {
    let current = context.published.servers(|s| !s.is_restoring(now));
    if !current || !context.quarantine.has_inferred_crashes() {
        return;
    }
    for change in &changes.changes {
        if let Change::Written(item) = change
            && let Ok(Fact::Server(server)) = (context.dialect.store.read_item)(item)
        {
            context.quarantine.heard(&crash_of(&server), now);
        }
    }
}

/// Lists all items of a subject and applies them.
async fn list(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
) -> Result<StoreRevision, ReadError> {
    let sent = context.clock.now();
    let mut items = Vec::new();
    let mut first = None;
    loop {
        let after = items.last().map(|i: &Item| i.key.clone());
        let page = fetch_page(context, client, subject, after.as_deref()).await?;
        if page.more && page.items.is_empty() {
            let reason = "a page of the list has no key to go on after";
            return Err(ReadError::Malformed(reason.into()));
        }
        // Pages do not form a snapshot, so the watch starts at the revision of the first page.
        let revision = *first.get_or_insert(page.revision);
        if page.revision.era != revision.era {
            return Err(ReadError::NewEra);
        }
        items.extend(page.items);
        if !page.more {
            record_answer(context, subject);
            apply_list(context, subject, &items, revision, sent);
            return Ok(revision);
        }
    }
}

fn apply_list(
    context: &Context,
    subject: Subject,
    items: &[Item],
    revision: StoreRevision,
    sent: Timestamp,
) {
    let now = context.clock.now();
    let calls = &context.dialect.store;
    if subject == Subject::Servers {
        let servers = items.iter().filter_map(|item| parse_server(context, item));
        context
            .published
            .replace_servers(servers.collect(), revision, now);
        return;
    }
    context
        .published
        .take_operators(calls, items, revision, sent, now);
}

fn parse_server(context: &Context, item: &Item) -> Option<Server> {
    match (context.dialect.store.read_item)(item) {
        Ok(Fact::Server(server)) => Some(server),
        Ok(_) => None,
        Err(error) => {
            tracing::warn!(key = %item.key, %error, "cannot parse server's entry");
            None
        }
    }
}

/// Confirms the configuration if the daemons that follow it have not done so recently.
async fn confirm(context: &Context) {
    let client = store_client(context);
    loop {
        let step = CONFIRM_CHECK_INTERVAL.mul_f64(0.5 + rand::rng().random::<f64>());
        tokio::time::sleep(step).await;
        if !is_due(context, context.clock.now()) {
            continue;
        }
        if let Err(error) = confirm_configuration(context, &client).await {
            record_failure(context, Subject::Operators, &error);
            back_off(context).await;
        }
    }
}

/// Confirms that the configuration in force is the latest, or applies a later one.
async fn confirm_configuration(
    context: &Context,
    client: &HttpClient,
) -> Result<StoreRevision, ReadError> {
    if let Some(revision) = context.published.followed_revision() {
        let checked = catch_up(context, client, revision).await;
        if !checked.as_ref().is_err_and(ReadError::needs_list) {
            return checked;
        }
    }
    list(context, client, Subject::Operators).await
}

fn is_due(context: &Context, now: Timestamp) -> bool {
    let subject = Subject::Operators;
    let published = &context.published;
    if published.in_force().is_none() || context.reads_store(subject, now) {
        return false;
    }
    if published.is_unreadable() {
        // The readers wait for the next one.
        return false;
    }
    let role = context.reader_role(subject, now);
    let settings = context.settings();
    let healthy = |peer: &Peer| peer.is_healthy(subject, now);
    let before = context.peers.preceding_entries(&settings, now, healthy);
    let limit = settings.bounds.revoke.unwrap_or(DEFAULT_MAX_AGE);
    is_confirmation_due(role, before, published.age(now), limit)
}

/// Awaits a read whose answer may be held back for `wait`. If nothing at all is received from the
/// store for too long after that, it is reported as unreachable before the read has failed, so that
/// another daemon takes over in time.
async fn report_silence<T>(
    context: &Context,
    wait: Duration,
    reading: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let mut reading = std::pin::pin!(reading);
    let reads = &context.store_reads;
    let mut patience = wait + SILENCE_THRESHOLD;
    loop {
        let before = reads.received.total();
        if let Ok(read) = tokio::time::timeout(patience, reading.as_mut()).await {
            return read;
        }
        if reads.received.total() == before {
            break;
        }
        patience = SILENCE_THRESHOLD;
    }
    let subject = Subject::Operators;
    let failure = ReadFailure::Unreachable;
    let reads_store = context.reads_store(subject, context.clock.now());
    if reads_store && context.published.store_failed(subject, failure) {
        let (in_flight, received) = (reads.in_flight(), reads.received.total());
        tracing::warn!(in_flight, received, "store silent");
    }
    reading.await
}

/// Waits before the next call to the store after a failed one.
async fn back_off(context: &Context) {
    let now = context.clock.now();
    let settings = context.settings();
    let before = context
        .peers
        .preceding_entries(&settings, now, |peer| peer.lost.any());
    let pause = retry_pause(before, rand::rng().random());
    tokio::time::sleep(pause).await;
}

fn record_failure(context: &Context, subject: Subject, error: &ReadError) {
    if matches!(error, ReadError::NotReader) {
        tracing::info!(?subject, "no longer a reader of the store");
        return;
    }
    metrics::counter!("apricothall_store_failures_total").increment(1);
    if !context.reads_store(subject, context.clock.now()) {
        // Other daemons read the store, so it is not reported as unreachable.
        tracing::info!(?subject, %error, "read of the store failed; other daemons read it");
        return;
    }
    if error.needs_list() {
        tracing::info!(
            ?subject,
            %error,
            "the changes after the revision cannot be had; listing again"
        );
        return;
    }
    if context.published.store_failed(subject, read_failure(error)) {
        tracing::warn!(?subject, %error, "store lost");
    }
}

fn read_failure(error: &ReadError) -> ReadFailure {
    match error {
        ReadError::Call(PlatformError::Slow) => ReadFailure::Slow,
        ReadError::Call(_)
        | ReadError::NotReader
        | ReadError::Malformed(_)
        | ReadError::Compacted
        | ReadError::TooManyChanges
        | ReadError::NewEra
        | ReadError::EndedEra(_) => ReadFailure::Unreachable,
    }
}

fn record_answer(context: &Context, subject: Subject) {
    let now = context.clock.now();
    if context.published.store_answered(subject, now) {
        tracing::info!(?subject, "store regained");
    }
}
