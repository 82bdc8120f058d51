//! Stages the pieces of a version at the engine, orders it to load them, and reads them back.

use std::ops::RangeInclusive;
use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_decide::loaded::{Acceptance, OrderOutcome};
use apricothall_decide::staging::{Check, MAX_PIECE_AGE, Staging, Step};
use apricothall_kernel::Clock;
use apricothall_types::{ChunkIndex, Timestamp};
use bytes::Bytes;
use futures::future::join_all;
use futures::{StreamExt, stream};
use thiserror::Error;

use crate::agent::engine::{Engine, OrderAnswer};
use crate::agent::order::OrderError;
use crate::agent::piece_store::VersionId;
use crate::dialect::LoadOrder;
use crate::log_budgets::millis;

/// Minimum of the bytes that are read of an answer in place of a piece, for the text of an error.
const MIN_READ_BYTES: usize = 4 << 10;

/// Statuses by which an engine refuses an order.
const CLIENT_ERRORS: RangeInclusive<u16> = 400..=499;

/// Why a version was not ordered.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A piece was not written or read back. The engine may yet take a piece that was sent to it.
    #[error("staging: {0}")]
    Staging(#[source] PlatformError),
    /// Reading the pieces back takes longer than they may be staged unchecked.
    #[error("the engine is too slow to check its staged pieces")]
    TooSlow,
}

/// A version to be loaded by an engine.
pub struct Load<'a> {
    /// The engine.
    pub engine: &'a Engine,
    /// The version.
    pub version: &'a VersionId,
    /// Its pieces, in order.
    pub pieces: &'a [Bytes],
    /// Number of orders that the engine has accepted.
    pub orders: u64,
}

/// A piece that was checked: its index, how, and when the call was sent.
type Checked = (ChunkIndex, Check, Timestamp);

/// A call that failed.
struct FailedCheck {
    check: Check,
    error: PlatformError,
}

impl FailedCheck {
    const fn new(check: Check) -> impl Fn(PlatformError) -> Self {
        move |error| Self { check, error }
    }
}

impl Load<'_> {
    /// Stages all pieces and orders the load.
    ///
    /// # Errors
    /// If the order was not sent, as a call before it failed or the engine is too slow.
    pub async fn run(
        &self,
        staging: &mut Staging,
        clock: Clock,
    ) -> Result<OrderOutcome, LoadError> {
        loop {
            match staging.next(clock.now()) {
                Step::Check(pieces) => self.check_all(staging, pieces, clock).await?,
                Step::Order { by } => {
                    if let Some(outcome) = self.order(staging, by, clock).await {
                        return Ok(outcome);
                    }
                }
                Step::GiveUp => return Err(LoadError::TooSlow),
            }
        }
    }

    /// Sends the order by `by` at the latest. Returns `None` if that time has passed.
    async fn order(&self, staging: &Staging, by: Timestamp, clock: Clock) -> Option<OrderOutcome> {
        let VersionId { model, version } = self.version;
        let order = LoadOrder {
            model,
            version: *version,
            orders: self.orders,
            layers: None,
        };
        send_order(self.engine, &order, staging.oldest_check(), by, clock).await
    }

    async fn check_all(
        &self,
        staging: &mut Staging,
        pieces: Vec<(ChunkIndex, Check)>,
        clock: Clock,
    ) -> Result<(), LoadError> {
        let calls = pieces.into_iter().map(|(index, check)| async move {
            let checked = self.check(index, check, clock).await;
            (checked, clock.now())
        });
        let mut result = Ok(());
        for (checked, ended) in join_all(calls).await {
            match checked {
                Ok((index, done, sent)) => staging.record(index, done, sent, ended),
                Err(failed) => {
                    if failed.check == Check::Write {
                        staging.record_lost_write(ended);
                    }
                    result = Err(LoadError::Staging(failed.error));
                }
            }
        }
        result
    }

    async fn check(
        &self,
        index: ChunkIndex,
        check: Check,
        clock: Clock,
    ) -> Result<Checked, FailedCheck> {
        let VersionId { model, version } = self.version;
        let expected = &self.pieces[index.0 as usize];
        let sent = clock.now();
        if check != Check::Write {
            let is_correct = self.is_correct(index).await;
            if is_correct.map_err(FailedCheck::new(check))? {
                return Ok((index, check, sent));
            }
        }
        if check == Check::Read {
            tracing::warn!(%index, version, "staged piece is not correct; writing it again");
            metrics::counter!("apricothall_staged_pieces_wrong_total").increment(1);
        }
        let sent = clock.now();
        let bytes = expected.clone();
        let written = self.engine.put_piece(model, index.0, bytes).await;
        written.map_err(FailedCheck::new(Check::Write))?;
        Ok((index, Check::Write, sent))
    }

    /// Whether the piece that is staged at the engine is correct.
    async fn is_correct(&self, index: ChunkIndex) -> Result<bool, PlatformError> {
        let expected = &self.pieces[index.0 as usize];
        // An answer that is longer is not the piece, so no more of it is read.
        let limit = expected.len().max(MIN_READ_BYTES);
        let model = &self.version.model;
        match self.engine.get_piece(model, index.0, limit).await {
            Ok(bytes) => Ok(bytes == *expected),
            Err(
                PlatformError::Status { .. } | PlatformError::Lost(_) | PlatformError::TooLarge,
            ) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Whether all staged pieces are correct. Reads `concurrency` of them at once.
    ///
    /// # Errors
    /// If the engine does not answer.
    pub async fn read_back(&self, concurrency: usize) -> Result<bool, PlatformError> {
        let indices = (0..).map(ChunkIndex).take(self.pieces.len());
        let mut reads = stream::iter(indices)
            .map(|index| self.is_correct(index))
            .buffer_unordered(concurrency);
        while let Some(is_correct) = reads.next().await {
            if !is_correct? {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

/// Sends an order by which an engine gives up layers, which needs no staged pieces.
pub async fn give_up_layers(engine: &Engine, order: &LoadOrder<'_>, clock: Clock) -> OrderOutcome {
    let now = clock.now();
    let sent = send_order(engine, order, None, now + MAX_PIECE_AGE, clock).await;
    sent.unwrap_or(OrderOutcome::Refused)
}

/// Sends an order by `by` at the latest. Returns `None` if that time has passed.
async fn send_order(
    engine: &Engine,
    order: &LoadOrder<'_>,
    checked: Option<Timestamp>,
    by: Timestamp,
    clock: Clock,
) -> Option<OrderOutcome> {
    let sent = clock.now();
    let answer = engine.order(order, by).await;
    let answered = clock.now();
    log_order(
        order,
        checked.map(|c| sent.since(c)),
        answered.since(sent),
        &answer,
    );
    match answer {
        Ok(OrderAnswer::Accepted) => Some(OrderOutcome::Accepted(Acceptance {
            after: sent,
            by: answered,
        })),
        Ok(OrderAnswer::InEffect | OrderAnswer::Conflict) => Some(OrderOutcome::Refused),
        Err(OrderError::Expired) => None,
        Err(OrderError::Call(error)) if is_refusal(&error) => Some(OrderOutcome::Refused),
        Err(OrderError::Call(_)) => Some(OrderOutcome::Unanswered { sent }),
    }
}

/// Whether the engine did not accept an order, and will not.
fn is_refusal(error: &PlatformError) -> bool {
    match error {
        PlatformError::Status { status, .. } => CLIENT_ERRORS.contains(status),
        other => other.is_unsent(),
    }
}

/// Logs how old the oldest check of a piece was when the order was sent, and how long its answer
/// took. An engine may also accept an order that it does not answer in time.
fn log_order(
    order: &LoadOrder<'_>,
    check_age: Option<Duration>,
    took: Duration,
    answer: &Result<OrderAnswer, OrderError>,
) {
    if let Some(age) = check_age {
        metrics::histogram!("apricothall_order_check_age_seconds").record(age.as_secs_f64());
    }
    metrics::histogram!("apricothall_order_answer_seconds").record(took.as_secs_f64());
    if matches!(answer, Err(OrderError::Call(_))) {
        metrics::counter!("apricothall_orders_unanswered_total").increment(1);
    }
    let LoadOrder {
        version, orders, ..
    } = order;
    let layers = order.layers.map(tracing::field::display);
    let (check_age_ms, took_ms) = (check_age.map(millis), millis(took));
    tracing::info!(
        version,
        orders,
        layers,
        check_age_ms,
        took_ms,
        ?answer,
        "load order sent"
    );
}
