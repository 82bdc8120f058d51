//! Calls to the platform's store.

use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::{Answer, HttpClient, get};
use apricothall_decide::call_repeats::Patience;
use apricothall_decide::store_era::{EraError, answer_era};
use apricothall_types::{Era, StoreRevision};
use http::{HeaderValue, StatusCode};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::Context;
use crate::dialect::{Changes, Page, Subject};
use crate::repeated_call::RepeatedCall;
use crate::traffic::Kind;

/// Time without an answer, beyond the wait that was requested, after which a watch may be repeated.
const WATCH_IDLE: Duration = Duration::from_millis(500);

/// Time without an answer after which a list, or a call that was repeated, may be repeated.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Minimum wait of a watch request, which the store answers at once.
pub const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Maximum time for receiving an answer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of a page of a list, in bytes.
const PAGE_BYTES: usize = 8 << 20;

/// Maximum size of the changes in the answer to a watch, in bytes: those of two of the largest items.
/// A list of the items, which has each once, costs less beyond that.
const CHANGES_BYTES: usize = 3 << 20;

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Reason why a subject is no longer followed.
#[derive(Debug, Error)]
pub enum ReadError {
    /// This daemon is no longer a reader.
    #[error("no longer a reader of the store")]
    NotReader,
    /// A call failed.
    #[error(transparent)]
    Call(#[from] PlatformError),
    /// A response cannot be parsed.
    #[error("cannot parse the response of the store: {0}")]
    Malformed(SmolStr),
    /// The history after the requested revision is gone.
    #[error("revision is no longer available: history compacted")]
    Compacted,
    /// The changes after the requested revision are too many for one answer.
    #[error("too many changes for one answer")]
    TooManyChanges,
    /// A response is of a later era than the requested revision.
    #[error("the store has come back from an older copy")]
    NewEra,
    /// A response is of an era that has ended.
    #[error(transparent)]
    EndedEra(EraError),
}

impl ReadError {
    /// Whether the changes after the requested revision cannot be had, so that the items have to be
    /// listed.
    #[must_use]
    pub const fn needs_list(&self) -> bool {
        matches!(self, Self::Compacted | Self::NewEra | Self::TooManyChanges)
    }
}

/// A client of the store.
#[must_use]
pub fn store_client(context: &Context) -> HttpClient {
    HttpClient::new(Some(context.settings().ip), CONNECT_TIMEOUT)
}

/// Requests the changes of `subject` after revision `after`. The store may hold its answer back for
/// `wait`.
///
/// # Errors
/// If there is no answer in time, or the history is gone.
pub async fn fetch_changes(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    after: StoreRevision,
    wait: Duration,
) -> Result<Changes, ReadError> {
    let path = context.dialect.store.watch;
    let watch = Call {
        name: "watch",
        subject,
        path: &path(subject, after, wait),
        again: &path(subject, after, wait.min(SHORTEST_WAIT)),
        patience: Patience {
            hold: wait,
            idle: WATCH_IDLE,
            again: IDLE_TIMEOUT,
            total: TRANSFER_TIMEOUT,
        },
        limit: CHANGES_BYTES,
    };
    let answer = call(context, client, watch).await;
    let answer = answer.map_err(|error| match error {
        PlatformError::TooLarge => ReadError::TooManyChanges,
        other => ReadError::Call(other),
    })?;
    if answer.status == StatusCode::GONE {
        return Err(ReadError::Compacted);
    }
    let answer = answer.error_for_status()?;
    let era = era_of(context, &answer)?;
    let changes = (context.dialect.store.read_changes)(era, &answer.body)
        .map_err(|e| ReadError::Malformed(e.to_smolstr()))?;
    context.published.observe_era(changes.revision, &"store");
    if era > after.era {
        return Err(ReadError::NewEra);
    }
    if changes.revision < after {
        return Err(ReadError::Compacted);
    }
    Ok(changes)
}

/// Requests one page of the list of `subject`, starting after the key `after`.
///
/// # Errors
/// If there is no answer in time.
pub async fn fetch_page(
    context: &Context,
    client: &HttpClient,
    subject: Subject,
    after: Option<&str>,
) -> Result<Page, ReadError> {
    let path = (context.dialect.store.list)(subject, after);
    let list = Call {
        name: "list",
        subject,
        path: &path,
        again: &path,
        patience: Patience {
            hold: Duration::ZERO,
            idle: IDLE_TIMEOUT,
            again: IDLE_TIMEOUT,
            total: TRANSFER_TIMEOUT,
        },
        limit: PAGE_BYTES,
    };
    let answer = call(context, client, list).await?;
    let answer = answer.error_for_status()?;
    let era = era_of(context, &answer)?;
    let page = (context.dialect.store.read_list)(era, &answer.body)
        .map_err(|e| ReadError::Malformed(e.to_smolstr()))?;
    context.published.observe_era(page.revision, &"store");
    Ok(page)
}

/// Era of an answer. A header that is not a number is ignored.
fn era_of(context: &Context, answer: &Answer) -> Result<Era, ReadError> {
    let published = &context.published;
    let known = published.era();
    let header = answer.headers.get(&context.dialect.headers.era);
    answer_era(header.map(HeaderValue::as_bytes), known).or_else(|error| match &error {
        EraError::NotNumber(stated) => {
            if published.record_unusable_era(stated) {
                tracing::warn!(%error, %known, "ignoring the era of an answer of the store");
            }
            Ok(known)
        }
        EraError::Ended { .. } => Err(ReadError::EndedEra(error)),
    })
}

/// A call to the store.
struct Call<'a> {
    /// Name in logs and metrics.
    name: &'static str,
    subject: Subject,
    path: &'a str,
    /// Path of a repetition.
    again: &'a str,
    patience: Patience,
    /// Maximum size of the answer, in bytes.
    limit: usize,
}

async fn call(
    context: &Context,
    client: &HttpClient,
    call: Call<'_>,
) -> Result<Answer, PlatformError> {
    let store = context.settings().store;
    let Call { name, subject, .. } = call;
    let hold = call.patience.hold;
    let repeated = RepeatedCall {
        first: get(store, call.path)?,
        again: get(store, call.again)?,
        patience: call.patience,
        limit: call.limit,
    };
    let reads = &context.store_reads;
    let read = reads.begin(name, subject, hold, context.clock.now());
    let record = || reads.record_repeat(name, subject);
    let answer = repeated.send(client, reads, context.clock, record).await;
    let bytes = answer.as_ref().ok().map(|a| a.body.len());
    context.traffic.record(Kind::Store, bytes.unwrap_or(0));
    read.end(context, bytes);
    answer
}
