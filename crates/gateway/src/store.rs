//! Reads the platform's store: lists, then waits for changes, and lists anew after each fault.
//!
//! A few entries of each zone do so; others learn from them (see [`crate::relay`]).

use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::{HttpClient, get};
use apricothall_decide::readers::{ReaderRole, retry_pause};
use apricothall_decide::servers::Server;
use apricothall_types::{Revision, Role, Timestamp};
use http::StatusCode;
use rand::Rng;
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::Context;
use crate::dialect::{Change, Changes, Fact, Item, Page, Subject};
use crate::quarantine::end_of;

/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(4);

/// Time beyond its wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Wait for an answer after which others are told that the store does not answer.
const SILENCE: Duration = Duration::from_millis(400);

/// Longest wait for a list.
const LIST_WAIT: Duration = Duration::from_millis(1_200);

/// Pause between two watches, which gathers changes that come in quick succession.
const GATHER: Duration = Duration::from_millis(300);

/// Time between two looks at whether the configuration needs a new confirmation.
const CONFIRM_STEP: Duration = Duration::from_millis(150);

/// Age of the last confirmation at which the configuration is confirmed, as a part of the longest
/// age that keys allow, in percent.
const fn confirm_part(turn: ReaderRole) -> u32 {
    match turn {
        ReaderRole::Primary => 20,
        ReaderRole::Secondary => 30,
        ReaderRole::Follower => 45,
    }
}

/// Age of the configuration that counts when keys allow any.
const ANY_AGE: Duration = Duration::from_secs(5);

/// Time between two looks at whether this daemon has become a reader.
const TURN_STEP: Duration = Duration::from_millis(100);

/// Time after the start in which an agent may hear of entries before it reads itself.
const AGENT_WAIT: Duration = Duration::from_millis(800);

/// Largest answer of the store, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// Longest wait for a connection to the store.
const CONNECT_WAIT: Duration = Duration::from_millis(800);

/// Why the changes of a subject are no longer followed.
#[derive(Debug, Error)]
enum ReadError {
    #[error("others read for this daemon")]
    OtherReaders,
    #[error(transparent)]
    Call(#[from] PlatformError),
    #[error("answer not understood: {0}")]
    Form(SmolStr),
    #[error("history is no longer kept")]
    Compacted,
}

/// Reads what this role needs until the process ends.
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
    let client = HttpClient::new(Some(context.settings().ip), CONNECT_WAIT);
    context.lifecycle.spawn(async move {
        if watching.settings().role == Role::Agent {
            tokio::time::sleep(AGENT_WAIT).await;
        }
        loop {
            await_turn(&watching, subject).await;
            let error = follow(&watching, &client, subject).await;
            note_end(&watching, subject, &error);
            rest(&watching).await;
        }
    });
}

/// Waits until this daemon is one that reads the store.
async fn await_turn(context: &Context, subject: Subject) {
    if context.reads_store(context.clock.now()) {
        return;
    }
    context.published.leave_reading();
    while !context.reads_store(context.clock.now()) {
        tokio::time::sleep(TURN_STEP).await;
    }
    tracing::info!(?subject, "reads the store from now on");
}

/// Lists and follows changes until a call fails.
async fn follow(context: &Context, client: &HttpClient, subject: Subject) -> ReadError {
    let mut revision = match list(context, client, subject).await {
        Ok(revision) => revision,
        Err(error) => return error,
    };
    loop {
        let changes = match changes(context, client, subject, revision).await {
            Ok(changes) => changes,
            Err(error) => return error,
        };
        note_answer(context);
        let now = context.clock.now();
        let calls = &context.dialect.store;
        context
            .published
            .take_changes(calls, subject, &changes, now);
        if subject == Subject::Servers {
            note_lives(context, &changes, now);
        }
        if !changes.changes.is_empty() {
            tokio::time::sleep(GATHER).await;
        }
        revision = revision.max(changes.revision);
        if !context.reads_store(now) {
            return ReadError::OtherReaders;
        }
    }
}

/// Clears requests that were thought to have ended servers which have written their entries since.
/// After an outage the store tells of writes from long before.
fn note_lives(context: &Context, changes: &Changes, now: Timestamp) {
    let current = context.published.servers(|s| !s.is_restoring(now));
    if !current || !context.quarantine.has_doubts() {
        return;
    }
    for change in &changes.changes {
        if let Change::Written(item) = change
            && let Ok(Fact::Server(server)) = (context.dialect.store.read_item)(item)
        {
            context.quarantine.heard(&end_of(&server), now);
        }
    }
}

async fn changes(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    after: Revision,
) -> Result<Changes, ReadError> {
    let settings = context.settings();
    let path = (context.dialect.store.watch)(subject, after, WATCH);
    count("watch");
    let call = client.call(
        get(settings.store, &path)?,
        WATCH + WATCH_SLACK,
        ANSWER_BYTES,
    );
    let answer = call.await?;
    if answer.status == StatusCode::GONE {
        return Err(ReadError::Compacted);
    }
    let answer = answer.error_for_status()?;
    (context.dialect.store.read_changes)(&answer.body).map_err(|e| ReadError::Form(e.to_smolstr()))
}

/// Reads a whole subject and takes it over.
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
        let page = page(context, client, subject, after.as_deref()).await?;
        // Pages are no snapshot: changes since the first one are read again by the watch.
        let revision = *first.get_or_insert(page.revision);
        items.extend(page.items);
        if !page.more {
            note_answer(context);
            take_list(context, subject, &items, revision, sent);
            return Ok(revision);
        }
    }
}

async fn page(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    after: Option<&str>,
) -> Result<Page, ReadError> {
    let path = (context.dialect.store.list)(subject, after);
    count("list");
    let request = get(context.settings().store, &path)?;
    let answer = client.call(request, LIST_WAIT, ANSWER_BYTES).await?;
    let answer = answer.error_for_status()?;
    (context.dialect.store.read_list)(&answer.body).map_err(|e| ReadError::Form(e.to_smolstr()))
}

fn take_list(
    context: &Context,
    subject: Subject,
    items: &[Item],
    revision: Revision,
    sent: Timestamp,
) {
    let now = context.clock.now();
    let calls = &context.dialect.store;
    if subject == Subject::Servers {
        let servers = items.iter().filter_map(|item| server(context, item));
        context
            .published
            .replace_servers(servers.collect(), revision, now);
        return;
    }
    context.published.take_operators(calls, items, sent, now);
}

fn server(context: &Context, item: &Item) -> Option<Server> {
    match (context.dialect.store.read_item)(item) {
        Ok(Fact::Server(server)) => Some(server),
        Ok(_) => None,
        Err(error) => {
            tracing::warn!(key = %item.key, %error, "server's entry not understood");
            None
        }
    }
}

/// Reads the store whenever no reader has confirmed the configuration lately, and as the first
/// reader of a zone to see that it still answers.
async fn confirm(context: &Context) {
    let client = HttpClient::new(Some(context.settings().ip), CONNECT_WAIT);
    loop {
        let step = CONFIRM_STEP.mul_f64(0.5 + rand::rng().random::<f64>());
        tokio::time::sleep(step).await;
        if !is_due(context, context.clock.now()) {
            continue;
        }
        let reading = list(context, &client, Subject::Operators);
        if let Err(error) = watch_for_silence(context, reading).await {
            note_end(context, Subject::Operators, &error);
            rest(context).await;
        }
    }
}

fn is_due(context: &Context, now: Timestamp) -> bool {
    let turn = context.turn(now);
    let allowed = context.settings().bounds.revoke.unwrap_or(ANY_AGE);
    let due = allowed * confirm_part(turn) / 100;
    let fresh = context.published.age(now).is_some_and(|age| age < due);
    !fresh || context.published.reach().is_due(turn, now)
}

/// Awaits an answer. If it takes long, others are told before it has failed, so that one of them
/// takes over in time.
async fn watch_for_silence<T>(
    context: &Context,
    reading: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let mut reading = std::pin::pin!(reading);
    if let Ok(read) = tokio::time::timeout(SILENCE, reading.as_mut()).await {
        return read;
    }
    if context.reads_store(context.clock.now()) && context.published.store_failed() {
        tracing::warn!("store silent");
    }
    reading.await
}

/// Leaves the store alone for a while after a failed call.
async fn rest(context: &Context) {
    let now = context.clock.now();
    let before = context.peers.away_before(&context.settings(), now);
    let pause = retry_pause(before, rand::rng().random());
    tokio::time::sleep(pause).await;
}

fn note_end(context: &Context, subject: Subject, error: &ReadError) {
    if matches!(error, ReadError::OtherReaders) {
        tracing::info!(?subject, "others read the store from now on");
        return;
    }
    metrics::counter!("apricothall_store_failures_total").increment(1);
    if !context.reads_store(context.clock.now()) {
        // Others read, so that the store is not away for this daemon.
        tracing::info!(?subject, %error, "a read of the store failed");
        return;
    }
    if matches!(error, ReadError::Compacted) {
        tracing::info!(?subject, "the store has dropped its history: listing anew");
        return;
    }
    if context.published.store_failed() {
        tracing::warn!(?subject, %error, "store lost");
    }
}

fn note_answer(context: &Context) {
    let now = context.clock.now();
    if context.published.store_answered(now) {
        tracing::info!("store regained");
    }
}

fn count(call: &'static str) {
    metrics::counter!("apricothall_store_calls_total", "call" => call).increment(1);
}
