//! Bodies that are read completely before any of them is used, in blocks that are not joined.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use crate::body_budget::{BodyBudget, BudgetExceeded};

/// Maximum size of a block, in bytes.
const MAX_BLOCK: usize = 64 << 10;

/// Minimum size of a block, in bytes.
const MIN_BLOCK: usize = 512;

/// Why a body was not read completely.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection was lost.
    #[error("{0}")]
    Lost(SmolStr),
    /// It exceeds its maximum size.
    #[error("body too large")]
    TooLarge,
    /// It exceeds its part of the memory.
    #[error(transparent)]
    NoMemory(#[from] BudgetExceeded),
}

/// A body in memory.
#[derive(Debug, Default)]
pub struct WholeBody {
    blocks: VecDeque<Bytes>,
    size: usize,
}

impl WholeBody {
    /// Reads `body`, of at most `limit` bytes.
    ///
    /// # Errors
    /// If it is not read completely.
    pub async fn read(
        mut body: Incoming,
        limit: usize,
        budget: &BodyBudget,
    ) -> Result<Self, BodyError> {
        let mut whole = Self::default();
        let mut block = Block::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| BodyError::Lost(e.to_smolstr()))?;
            let Ok(mut data) = frame.into_data() else {
                continue;
            };
            whole.size = whole.size.saturating_add(data.len());
            if whole.size > limit {
                return Err(BodyError::TooLarge);
            }
            while !data.is_empty() {
                if block.is_full() {
                    let wanted = data.len().max(block.size() * 2);
                    whole.push(block);
                    block = Block::new(whole.held(), wanted, budget)?;
                }
                block.fill(&mut data);
            }
        }
        whole.push(block);
        Ok(whole)
    }

    /// Its size in bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.size
    }

    /// Whether it has no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Its bytes in one piece. Those of several blocks are copied.
    ///
    /// # Errors
    /// If there is no memory for the copy.
    pub fn into_bytes(mut self, budget: &BodyBudget) -> Result<Bytes, BudgetExceeded> {
        if self.blocks.len() <= 1 {
            return Ok(self.blocks.pop_front().unwrap_or_default());
        }
        let reservation = budget.reserve(self.size, self.size)?;
        let mut joined = BytesMut::with_capacity(self.size);
        while let Some(block) = self.blocks.pop_front() {
            joined.extend_from_slice(&block);
        }
        Ok(reservation.hold(joined.freeze()))
    }

    fn held(&self) -> usize {
        self.blocks.iter().map(Bytes::len).sum()
    }

    fn push(&mut self, block: Block) {
        self.blocks.extend(block.finish());
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.pop_front();
        self.size -= block.as_ref().map_or(0, Bytes::len);
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.size as u64)
    }
}

/// A block that is being filled.
#[derive(Default)]
struct Block {
    bytes: BytesMut,
    size: usize,
    reservation: Option<crate::body_budget::Reservation>,
}

impl Block {
    fn new(held: usize, wanted: usize, budget: &BodyBudget) -> Result<Self, BudgetExceeded> {
        let size = wanted.clamp(MIN_BLOCK, MAX_BLOCK);
        Ok(Self {
            reservation: Some(budget.reserve(held, size)?),
            bytes: BytesMut::with_capacity(size),
            size,
        })
    }

    const fn size(&self) -> usize {
        self.size
    }

    fn is_full(&self) -> bool {
        self.bytes.len() == self.size
    }

    fn fill(&mut self, data: &mut Bytes) {
        let count = data.len().min(self.size - self.bytes.len());
        self.bytes.extend_from_slice(&data.split_to(count));
    }

    fn finish(self) -> Option<Bytes> {
        let bytes = self.bytes.freeze();
        let reservation = self.reservation?;
        (!bytes.is_empty()).then(|| reservation.hold(bytes))
    }
}
