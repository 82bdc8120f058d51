//! Reader of the platform's store. It lists the items, then watches for changes, and lists again
//! after each failure.
//!
//! A few entries of each zone read the store; the other daemons follow them (see
//! [`crate::peer_sync`]).

use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::{Answer, HttpClient, get};
use apricothall_decide::readers::{ReaderRole, retry_pause};
use apricothall_decide::servers::Server;
use apricothall_types::{Revision, Role, Timestamp};
use http::StatusCode;
use rand::Rng;
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::Context;
use crate::dialect::{Change, Changes, Fact, Item, Page, Subject};
use crate::quarantine::crash_of;
use crate::store_reads::StoreRead;
use crate::traffic::Kind;

/// Maximum wait of a watch request.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Additional time after which a watch request is considered lost.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

/// Duration of a read after which the store is reported to other daemons as unreachable.
const SLOW_READ_THRESHOLD: Duration = Duration::from_millis(400);

/// Timeout of a list request.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause between two watch requests, to coalesce rapid changes.
const COALESCE_DELAY: Duration = Duration::from_millis(300);

/// Interval of checks whether the configuration must be confirmed.
const CONFIRM_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Age at which the configuration is confirmed, in percent of the maximum age for accepting keys.
const fn confirm_age_percent(role: ReaderRole) -> u32 {
    match role {
        ReaderRole::Primary => 20,
        ReaderRole::Secondary => 30,
        ReaderRole::Follower => 45,
    }
}

/// Assumed maximum age of the configuration if keys are accepted at any age.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(5);

/// Interval of checks whether this daemon has become a reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the start for an agent to discover entries before it reads the store itself.
const AGENT_START_DELAY: Duration = Duration::from_millis(800);

/// Maximum size of a response from the store, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Reason why a subject is no longer followed.
#[derive(Debug, Error)]
enum ReadError {
    #[error("no longer a reader of the store")]
    NotReader,
    #[error(transparent)]
    Call(#[from] PlatformError),
    #[error("cannot parse the response of the store: {0}")]
    Malformed(SmolStr),
    #[error("revision is no longer available: history compacted")]
    Compacted,
}

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

fn store_client(context: &Context) -> HttpClient {
    let client = HttpClient::new(Some(context.settings().ip), CONNECT_TIMEOUT);
    client.counting(context.store_reads.received.clone())
}

fn watch(context: &Context, subject: Subject) {
    let watching = context.clone();
    let client = store_client(context);
    context.lifecycle.spawn(async move {
        if watching.settings().role == Role::Agent {
            tokio::time::sleep(AGENT_START_DELAY).await;
        }
        loop {
            await_reader_role(&watching, subject).await;
            let error = follow(&watching, &client, subject).await;
            record_failure(&watching, subject, &error);
            back_off(&watching).await;
        }
    });
}

/// Waits until this daemon is a reader of the store.
async fn await_reader_role(context: &Context, subject: Subject) {
    if context.reads_store(context.clock.now()) {
        return;
    }
    context.published.reset_store_reachability();
    while !context.reads_store(context.clock.now()) {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
    tracing::info!(?subject, "reads the store from now on");
}

/// Lists the items and follows changes until a call fails.
async fn follow(context: &Context, client: &HttpClient, subject: Subject) -> ReadError {
    let mut revision = match list(context, client, subject).await {
        Ok(revision) => revision,
        Err(error) => return error,
    };
    loop {
        let asked = context.clock.now();
        let changes = match fetch_changes(context, client, subject, revision).await {
            Ok(changes) => changes,
            Err(error) => return error,
        };
        record_answer(context);
        let now = context.clock.now();
        let calls = &context.dialect.store;
        context
            .published
            .take_changes(calls, subject, &changes, asked, now);
        if subject == Subject::Servers {
            clear_live_servers(context, &changes, now);
        }
        if !changes.changes.is_empty() {
            tokio::time::sleep(COALESCE_DELAY).await;
        }
        revision = revision.max(changes.revision);
        if !context.reads_store(now) {
            return ReadError::NotReader;
        }
    }
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

async fn fetch_changes(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    after: Revision,
) -> Result<Changes, ReadError> {
    let settings = context.settings();
    let path = (context.dialect.store.watch)(subject, after, WATCH_TIMEOUT);
    let now = context.clock.now();
    let read = context
        .store_reads
        .begin("watch", subject, WATCH_TIMEOUT, now);
    let call = client.call(
        get(settings.store, &path)?,
        WATCH_TIMEOUT + WATCH_MARGIN,
        ANSWER_BYTES,
    );
    let answer = finish(context, read, call.await)?;
    if answer.status == StatusCode::GONE {
        return Err(ReadError::Compacted);
    }
    let answer = answer.error_for_status()?;
    (context.dialect.store.read_changes)(&answer.body)
        .map_err(|e| ReadError::Malformed(e.to_smolstr()))
}

/// Lists all items of a subject and applies them.
async fn list(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
) -> Result<Revision, ReadError> {
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
        items.extend(page.items);
        if !page.more {
            record_answer(context);
            apply_list(context, subject, &items, revision, sent);
            return Ok(revision);
        }
    }
}

async fn fetch_page(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    after: Option<&str>,
) -> Result<Page, ReadError> {
    let path = (context.dialect.store.list)(subject, after);
    let now = context.clock.now();
    let read = context
        .store_reads
        .begin("list", subject, Duration::ZERO, now);
    let request = get(context.settings().store, &path)?;
    let answer = client.call(request, LIST_TIMEOUT, ANSWER_BYTES).await;
    let answer = finish(context, read, answer)?;
    let answer = answer.error_for_status()?;
    (context.dialect.store.read_list)(&answer.body)
        .map_err(|e| ReadError::Malformed(e.to_smolstr()))
}

fn apply_list(
    context: &Context,
    subject: Subject,
    items: &[Item],
    revision: Revision,
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
    context.published.take_operators(calls, items, sent, now);
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

/// Reads the store whenever no reader has confirmed the configuration recently. The first reader of
/// a zone also does so to check that the store still answers.
async fn confirm(context: &Context) {
    let client = store_client(context);
    loop {
        let step = CONFIRM_CHECK_INTERVAL.mul_f64(0.5 + rand::rng().random::<f64>());
        tokio::time::sleep(step).await;
        if !is_due(context, context.clock.now()) {
            continue;
        }
        let reading = list(context, &client, Subject::Operators);
        if let Err(error) = report_slow_store(context, reading).await {
            record_failure(context, Subject::Operators, &error);
            back_off(context).await;
        }
    }
}

fn is_due(context: &Context, now: Timestamp) -> bool {
    let role = context.reader_role(now);
    let allowed = context.settings().bounds.revoke.unwrap_or(DEFAULT_MAX_AGE);
    let due = allowed * confirm_age_percent(role) / 100;
    let fresh = context.published.age(now).is_some_and(|age| age < due);
    !fresh || context.published.store_reachability().is_due(role, now)
}

/// Awaits a read. If it is slow, the store is reported as unreachable before the read has failed,
/// so that another daemon takes over in time.
async fn report_slow_store<T>(
    context: &Context,
    reading: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let mut reading = std::pin::pin!(reading);
    if let Ok(read) = tokio::time::timeout(SLOW_READ_THRESHOLD, reading.as_mut()).await {
        return read;
    }
    if context.reads_store(context.clock.now()) && context.published.store_failed() {
        let reads = &context.store_reads;
        tracing::warn!(
            in_flight = reads.in_flight(),
            received = reads.received.total(),
            "store silent"
        );
    }
    reading.await
}

/// Waits before the next call to the store after a failed one.
async fn back_off(context: &Context) {
    let now = context.clock.now();
    let before = context
        .peers
        .preceding_without_store(&context.settings(), now);
    let pause = retry_pause(before, rand::rng().random());
    tokio::time::sleep(pause).await;
}

fn record_failure(context: &Context, subject: Subject, error: &ReadError) {
    if matches!(error, ReadError::NotReader) {
        tracing::info!(?subject, "no longer a reader of the store");
        return;
    }
    metrics::counter!("apricothall_store_failures_total").increment(1);
    if !context.reads_store(context.clock.now()) {
        // Other daemons read the store, so it is not reported as unreachable.
        tracing::info!(?subject, %error, "read of the store failed; other daemons read it");
        return;
    }
    if matches!(error, ReadError::Compacted) {
        tracing::info!(
            ?subject,
            "the store has compacted its history; listing again"
        );
        return;
    }
    if context.published.store_failed() {
        tracing::warn!(?subject, %error, "store lost");
    }
}

fn record_answer(context: &Context) {
    let now = context.clock.now();
    if context.published.store_answered(now) {
        tracing::info!("store regained");
    }
}

/// Ends the record of a call.
fn finish(
    context: &Context,
    read: StoreRead,
    answer: Result<Answer, PlatformError>,
) -> Result<Answer, PlatformError> {
    let bytes = answer.as_ref().ok().map(|a| a.body.len());
    context.traffic.record(Kind::Store, bytes.unwrap_or(0));
    read.end(context, bytes);
    answer
}
