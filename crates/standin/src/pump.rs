//! One direction of a proxied connection.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::bucket::{Bucket, MAX_SEGMENT};
use crate::network::{Fault, Host, Network, Port, RuleWatch, effects};

/// Number of segments that may be in transit at the same time.
const MAX_QUEUED_SEGMENTS: usize = 64;

/// Bit that corruption flips.
const CORRUPT_BIT: u8 = 0x10;

/// One direction of a connection, with the rates, delays and faults that apply to it.
pub(crate) struct Direction {
    network: Network,
    from: Host,
    to: Host,
    port: Port,
    /// Whether `from` opened the connection.
    is_opener: bool,
    buckets: Vec<Bucket>,
    delay: (Duration, Duration),
    transferred: Arc<AtomicU64>,
    rules: RuleWatch,
    faults: Vec<Fault>,
    offset: u64,
    has_gap: bool,
}

/// A segment and the time at which to deliver it.
type Segment = (Instant, BytesMut);

impl Direction {
    pub(crate) fn new(
        network: &Network,
        from: &Host,
        to: &Host,
        port: Port,
        is_opener: bool,
    ) -> Self {
        let mut rules = network.watch();
        // Rules may have changed while the connection was established.
        rules.mark_changed();
        Self {
            network: network.clone(),
            from: from.clone(),
            to: to.clone(),
            port,
            is_opener,
            buckets: network.buckets(from, to),
            delay: network.delay(from, to),
            transferred: network.counter(from, to),
            rules,
            faults: Vec::new(),
            offset: 0,
            has_gap: false,
        }
    }

    /// Applies changed rules. An error resets the connection.
    fn refresh(&mut self) -> io::Result<()> {
        let rules = self.rules.borrow_and_update().clone();
        self.faults = effects(&rules, &self.from, &self.to, self.port);
        if self.is_opener && self.has(|f| matches!(f, Fault::Reset)) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        // TCP cannot deliver anything after a gap.
        if self.has_gap && !self.has(|f| matches!(f, Fault::Cut | Fault::CutAfter(_))) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    fn has(&self, kind: impl Fn(&Fault) -> bool) -> bool {
        self.faults.iter().any(kind)
    }

    /// Waits while a stall applies. An error resets the connection.
    async fn wait_while_stalled(&mut self) -> io::Result<()> {
        loop {
            if self.rules.has_changed().unwrap_or(false) {
                self.refresh()?;
            }
            if !self.has(|f| matches!(f, Fault::Stall)) {
                return Ok(());
            }
            let _ = self.rules.changed().await;
            self.refresh()?;
        }
    }

    /// Waits as required by the rate limits.
    async fn wait_for_rate(&self, count: usize) {
        let rules = self.faults.iter().filter_map(|fault| match fault {
            Fault::Rate(bucket) => Some(bucket),
            _ => None,
        });
        let all = self.buckets.iter().chain(rules);
        let due = all.filter_map(|bucket| bucket.reserve(count)).max();
        if let Some(due) = due {
            tokio::time::sleep_until(due).await;
        }
    }

    /// Delay of the next segment.
    fn latency(&self, rng: &mut impl Rng) -> Duration {
        let rules = self.faults.iter().filter_map(|fault| match fault {
            Fault::Delay { base, jitter } => Some((*base, *jitter)),
            _ => None,
        });
        let draw = |(base, jitter): (Duration, Duration)| base + jitter.mul_f64(rng.random());
        std::iter::once(self.delay).chain(rules).map(draw).sum()
    }

    /// Applies corruption, cuts and resets to a segment. Only the bytes that remain in it are
    /// delivered.
    fn apply_faults(&mut self, segment: &mut BytesMut) -> io::Result<()> {
        let start = self.offset;
        self.offset += segment.len() as u64;
        for fault in &self.faults {
            match fault {
                Fault::CorruptEvery(step) => corrupt_every(segment, start, (*step).max(1)),
                Fault::CorruptAt(offset) => corrupt_at(segment, start, *offset),
                Fault::Cut => segment.clear(),
                Fault::CutAfter(left) => segment.truncate(take_budget(left, segment.len())),
                Fault::ResetAfter(left) if take_budget(left, segment.len()) < segment.len() => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                _ => {}
            }
        }
        // Bytes before a gap are still delivered; those after it are not.
        if self.has_gap {
            segment.clear();
        }
        let dropped = self.offset - start - segment.len() as u64;
        self.has_gap |= dropped > 0;
        self.network.record_dropped(dropped);
        Ok(())
    }
}

/// Takes up to `count` from the remaining budget and returns the amount taken.
fn take_budget(left: &AtomicU64, count: usize) -> usize {
    let take = |left: u64| Some(left.saturating_sub(count as u64));
    let before = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
    let before = before.unwrap_or_else(|left| left);
    usize::try_from(before).unwrap_or(usize::MAX).min(count)
}

fn corrupt_at(segment: &mut BytesMut, start: u64, offset: u64) {
    let position = offset
        .checked_sub(start)
        .and_then(|p| usize::try_from(p).ok());
    if let Some(byte) = position.and_then(|p| segment.get_mut(p)) {
        *byte ^= CORRUPT_BIT;
    }
}

fn corrupt_every(segment: &mut BytesMut, start: u64, step: u64) {
    let end = start + segment.len() as u64;
    let mut offset = start.next_multiple_of(step).max(step);
    while offset < end {
        corrupt_at(segment, start, offset);
        offset += step;
    }
}

/// Forwards bytes in one direction until the end of the stream, and forwards that end. An error
/// requests a reset.
pub(crate) async fn pump(
    direction: Direction,
    read: ReadHalf<'_>,
    write: WriteHalf<'_>,
    rng: impl Rng,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_SEGMENTS);
    tokio::try_join!(
        read_segments(direction, read, sender, rng),
        write_segments(write, receiver)
    )?;
    Ok(())
}

async fn read_segments(
    mut direction: Direction,
    mut read: ReadHalf<'_>,
    sender: mpsc::Sender<Segment>,
    mut rng: impl Rng,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    let mut last = Instant::now();
    loop {
        direction.wait_while_stalled().await?;
        buffer.reserve(MAX_SEGMENT);
        let mut room = (&mut buffer).limit(MAX_SEGMENT);
        let count = tokio::select! {
            count = read.read_buf(&mut room) => count?,
            _ = direction.rules.changed() => {
                direction.refresh()?;
                continue;
            }
        };
        if count == 0 {
            return wait_for_end(direction).await;
        }
        let mut segment = buffer.split();
        direction.wait_while_stalled().await?;
        direction.wait_for_rate(count).await;
        direction.apply_faults(&mut segment)?;
        if segment.is_empty() {
            continue;
        }
        direction
            .transferred
            .fetch_add(segment.len() as u64, Ordering::Relaxed);
        last = last.max(Instant::now() + direction.latency(&mut rng));
        if sender.send((last, segment)).await.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
}

/// Withholds the end of the stream while bytes are cut, because it is dropped like the bytes.
async fn wait_for_end(mut direction: Direction) -> io::Result<()> {
    while direction.has_gap || direction.has(|f| matches!(f, Fault::Cut)) {
        direction.has_gap = true;
        let _ = direction.rules.changed().await;
        direction.refresh()?;
    }
    Ok(())
}

async fn write_segments(
    mut write: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<Segment>,
) -> io::Result<()> {
    while let Some((due, segment)) = receiver.recv().await {
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        write.write_all(&segment).await?;
    }
    write.shutdown().await
}
