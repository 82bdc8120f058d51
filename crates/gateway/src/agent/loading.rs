//! Stages the pieces of a version at the engine and orders it to load them.

use std::time::Duration;

use apricothall_clients::PlatformError;
use apricothall_decide::staging::{Check, Staging, Step};
use apricothall_kernel::Clock;
use apricothall_types::{ChunkIndex, Timestamp};
use bytes::Bytes;
use futures::future::join_all;
use thiserror::Error;

use crate::agent::engine::Engine;
use crate::agent::order::OrderError;
use crate::agent::piece_store::VersionId;
use crate::log_budgets::millis;

/// Minimum of the bytes that are read of an answer in place of a piece, for the text of an error.
const MIN_READ_BYTES: usize = 4 << 10;

/// Why a version was not ordered.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A piece was not written or read back. The engine may yet take a piece that was sent to it.
    #[error("staging: {0}")]
    Staging(#[source] PlatformError),
    /// It is unknown whether the engine accepted the order.
    #[error("order: {0}")]
    Order(#[source] PlatformError),
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
    /// Whether a write of an earlier version may still take effect.
    pub read_back: bool,
}

/// A piece that was checked: its index, how, and when the call was sent.
type Checked = (ChunkIndex, Check, Timestamp);

impl Load<'_> {
    /// Stages all pieces and orders the load. Returns whether the order was accepted or is already
    /// in effect; otherwise the engine reports a conflict.
    ///
    /// # Errors
    /// If a call to the engine fails, or the engine is too slow.
    pub async fn run(self, clock: Clock) -> Result<bool, LoadError> {
        let mut staging = Staging::new(self.pieces.len(), self.read_back, clock.now());
        loop {
            match staging.next(clock.now()) {
                Step::Check(pieces) => self.check_all(&mut staging, pieces, clock).await?,
                Step::Order { by } => {
                    if let Some(accepted) = self.order(&staging, by, clock).await? {
                        return Ok(accepted);
                    }
                }
                Step::GiveUp => return Err(LoadError::TooSlow),
            }
        }
    }

    /// Sends the order by `by` at the latest. Returns `None` if that time has passed.
    async fn order(
        &self,
        staging: &Staging,
        by: Timestamp,
        clock: Clock,
    ) -> Result<Option<bool>, LoadError> {
        let VersionId { model, version } = self.version;
        let sent = clock.now();
        let answer = self.engine.load(model, *version, self.orders, by).await;
        let check_age = staging.oldest_check().map(|checked| sent.since(checked));
        log_order(
            *version,
            self.orders,
            check_age,
            clock.now().since(sent),
            &answer,
        );
        match answer {
            Ok(accepted) => Ok(Some(accepted)),
            Err(OrderError::Expired) => {
                tracing::info!(version, "staged pieces are checked again before the order");
                Ok(None)
            }
            Err(OrderError::Call(error)) => Err(LoadError::Order(error)),
        }
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
        for (checked, ended) in join_all(calls).await {
            let (index, done, sent) = checked.map_err(LoadError::Staging)?;
            staging.record(index, done, sent, ended);
        }
        Ok(())
    }

    async fn check(
        &self,
        index: ChunkIndex,
        check: Check,
        clock: Clock,
    ) -> Result<Checked, PlatformError> {
        let VersionId { model, version } = self.version;
        let expected = &self.pieces[index.0 as usize];
        let sent = clock.now();
        if check == Check::Read {
            // An answer that is longer is not the piece, so no more of it is read.
            let limit = expected.len().max(MIN_READ_BYTES);
            match self.engine.get_piece(model, index.0, limit).await {
                Ok(bytes) if bytes == *expected => return Ok((index, Check::Read, sent)),
                Ok(_) | Err(PlatformError::Status { .. } | PlatformError::Lost(_)) => {
                    tracing::warn!(%index, version, "staged piece is not correct; writing it again");
                    metrics::counter!("apricothall_staged_pieces_wrong_total").increment(1);
                }
                Err(error) => return Err(error),
            }
        }
        let sent = clock.now();
        let bytes = expected.clone();
        self.engine.put_piece(model, index.0, bytes).await?;
        Ok((index, Check::Write, sent))
    }
}

/// Logs how old the oldest check of a piece was when the order was sent, and how long its answer
/// took. An engine may also accept an order that it does not answer in time.
fn log_order(
    version: u64,
    orders: u64,
    check_age: Option<Duration>,
    took: Duration,
    answer: &Result<bool, OrderError>,
) {
    let check_age = check_age.unwrap_or_default();
    metrics::histogram!("apricothall_order_check_age_seconds").record(check_age.as_secs_f64());
    metrics::histogram!("apricothall_order_answer_seconds").record(took.as_secs_f64());
    if matches!(answer, Err(OrderError::Call(_))) {
        metrics::counter!("apricothall_orders_unanswered_total").increment(1);
    }
    let (check_age_ms, took_ms) = (millis(check_age), millis(took));
    tracing::info!(
        version,
        orders,
        check_age_ms,
        took_ms,
        ?answer,
        "load order sent"
    );
}
