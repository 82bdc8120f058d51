//! Reads the platform's store: lists, then waits for changes, and lists anew after each fault.

use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::{HttpClient, get};
use apricothall_decide::servers::Server;
use apricothall_types::{Revision, Role, Timestamp};
use http::StatusCode;
use rand::Rng;
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::Context;
use crate::dialect::{Changes, Fact, Item, Page, Subject};
use crate::published::Reader;

/// Longest wait of one watch by an entry.
const ENTRY_WATCH: Duration = Duration::from_secs(4);

/// Longest wait of one watch by an agent, which needs changes less promptly.
const AGENT_WATCH: Duration = Duration::from_secs(8);

/// Time beyond its wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Longest wait for a list.
const LIST_WAIT: Duration = Duration::from_millis(1_200);

/// Pause between two watches, which gathers changes that come in quick succession.
const GATHER: Duration = Duration::from_millis(150);

/// Shortest pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time between two looks at whether the configuration needs a new confirmation.
const CONFIRM_STEP: Duration = Duration::from_millis(150);

/// Age of the last confirmation at which an entry reads the store itself.
const CONFIRM_AGE: Duration = Duration::from_millis(900);

/// Largest answer of the store, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// Longest wait for a connection to the store.
const CONNECT_WAIT: Duration = Duration::from_millis(800);

/// Why a read brought nothing.
#[derive(Debug, Error)]
enum ReadError {
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
        loop {
            let error = follow(&watching, &client, subject).await;
            note_failure(&watching, subject, &error);
            let pause = RETRY_PAUSE.mul_f64(1.0 + rand::rng().random::<f64>());
            tokio::time::sleep(pause).await;
        }
    });
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
        if !changes.changes.is_empty() {
            let calls = &context.dialect.store;
            context
                .published
                .take_changes(calls, subject, &changes, now);
            tokio::time::sleep(GATHER).await;
        }
        revision = revision.max(changes.revision);
    }
}

async fn changes(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    after: Revision,
) -> Result<Changes, ReadError> {
    let settings = context.settings();
    let wait = match settings.role {
        Role::Entry => ENTRY_WATCH,
        Role::Agent => AGENT_WATCH,
    };
    let path = (context.dialect.store.watch)(subject, after, wait);
    count("watch");
    let call = client.call(
        get(settings.store, &path)?,
        wait + WATCH_SLACK,
        ANSWER_BYTES,
    );
    let answer = call.await?;
    if answer.status == StatusCode::GONE {
        return Err(ReadError::Compacted);
    }
    let answer = answer.accepted()?;
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
    let answer = answer.accepted()?;
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
    // What a process finds at its start may have been named long before.
    let named = context.published.in_force().map(|_| now);
    for item in items {
        context
            .published
            .take_item(calls, item, Reader::Store, named);
    }
    // Whatever the operators wrote last is in `items`, so what is held now was newest at `sent`.
    context
        .published
        .confirm(context.published.revision(), sent);
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

/// Reads the store whenever no entry has confirmed the configuration lately.
async fn confirm(context: &Context) {
    let client = HttpClient::new(Some(context.settings().ip), CONNECT_WAIT);
    loop {
        let step = CONFIRM_STEP.mul_f64(0.5 + rand::rng().random::<f64>());
        tokio::time::sleep(step).await;
        let age = context.published.age(context.clock.now());
        if age.is_some_and(|age| age < CONFIRM_AGE) {
            continue;
        }
        if let Err(error) = list(context, &client, Subject::Operators).await {
            note_failure(context, Subject::Operators, &error);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn note_failure(context: &Context, subject: Subject, error: &ReadError) {
    metrics::counter!("apricothall_store_failures_total").increment(1);
    if matches!(error, ReadError::Compacted) {
        tracing::info!(?subject, "the store has dropped its history: listing anew");
        return;
    }
    if context
        .published
        .with_servers(apricothall_decide::servers::Servers::store_failed)
    {
        tracing::warn!(?subject, %error, "store lost");
    }
}

fn note_answer(context: &Context) {
    let now = context.clock.now();
    if context.published.with_servers(|s| s.store_answered(now)) {
        tracing::info!("store regained");
    }
}

fn count(call: &'static str) {
    metrics::counter!("apricothall_store_calls_total", "call" => call).increment(1);
}
