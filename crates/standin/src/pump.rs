//! One way of one proxied connection.

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

/// Pieces on the way at once.
const PIECES: usize = 64;

/// Bit that corruption changes.
const CORRUPT_BIT: u8 = 0x10;

/// Where bytes come from and go to, and what happens to them.
pub(crate) struct Way {
    network: Network,
    from: Host,
    to: Host,
    port: Port,
    /// Whether `from` opened the connection.
    opener: bool,
    buckets: Vec<Bucket>,
    delay: (Duration, Duration),
    carried: Arc<AtomicU64>,
    rules: RuleWatch,
    faults: Vec<Fault>,
    offset: u64,
    lost: bool,
}

/// A piece with the time when it is due.
type Piece = (Instant, BytesMut);

impl Way {
    pub(crate) fn new(network: &Network, from: &Host, to: &Host, port: Port, opener: bool) -> Self {
        let mut rules = network.watch();
        // Rules that came while the connection was made are looked at first.
        rules.mark_changed();
        Self {
            network: network.clone(),
            from: from.clone(),
            to: to.clone(),
            port,
            opener,
            buckets: network.buckets(from, to),
            delay: network.delay(from, to),
            carried: network.counter(from, to),
            rules,
            faults: Vec::new(),
            offset: 0,
            lost: false,
        }
    }

    /// Takes over changed rules. An error ends the connection by a reset.
    fn refresh(&mut self) -> io::Result<()> {
        let rules = self.rules.borrow_and_update().clone();
        self.faults = effects(&rules, &self.from, &self.to, self.port);
        if self.opener && self.has(|f| matches!(f, Fault::Reset)) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        // After a gap nothing can be delivered any more.
        if self.lost && !self.has(|f| matches!(f, Fault::Cut | Fault::CutAfter(_))) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    fn has(&self, kind: impl Fn(&Fault) -> bool) -> bool {
        self.faults.iter().any(kind)
    }

    /// Waits out stalls. An error ends the connection by a reset.
    async fn passable(&mut self) -> io::Result<()> {
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

    /// Waits for the rates on the way.
    async fn limit(&self, count: usize) {
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

    /// Delay of the next piece.
    fn latency(&self, rng: &mut impl Rng) -> Duration {
        let rules = self.faults.iter().filter_map(|fault| match fault {
            Fault::Delay { base, jitter } => Some((*base, *jitter)),
            _ => None,
        });
        let draw = |(base, jitter): (Duration, Duration)| base + jitter.mul_f64(rng.random());
        std::iter::once(self.delay).chain(rules).map(draw).sum()
    }

    /// Applies corruption, cuts and resets to a piece. Only what remains in it goes on.
    fn alter(&mut self, piece: &mut BytesMut) -> io::Result<()> {
        let start = self.offset;
        self.offset += piece.len() as u64;
        for fault in &self.faults {
            match fault {
                Fault::CorruptEvery(step) => corrupt_every(piece, start, (*step).max(1)),
                Fault::CorruptAt(offset) => corrupt_at(piece, start, *offset),
                Fault::Cut => piece.clear(),
                Fault::CutAfter(left) => piece.truncate(draw(left, piece.len())),
                Fault::ResetAfter(left) if draw(left, piece.len()) < piece.len() => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                _ => {}
            }
        }
        // What comes before a gap still arrives.
        if self.lost {
            piece.clear();
        }
        let lost = self.offset - start - piece.len() as u64;
        self.lost |= lost > 0;
        self.network.record_dropped(lost);
        Ok(())
    }
}

/// Takes up to `count` from what is left and says how much that was.
fn draw(left: &AtomicU64, count: usize) -> usize {
    let take = |left: u64| Some(left.saturating_sub(count as u64));
    let before = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
    let before = before.unwrap_or_else(|left| left);
    usize::try_from(before).unwrap_or(usize::MAX).min(count)
}

fn corrupt_at(piece: &mut BytesMut, start: u64, offset: u64) {
    let place = offset
        .checked_sub(start)
        .and_then(|p| usize::try_from(p).ok());
    if let Some(byte) = place.and_then(|p| piece.get_mut(p)) {
        *byte ^= CORRUPT_BIT;
    }
}

fn corrupt_every(piece: &mut BytesMut, start: u64, step: u64) {
    let end = start + piece.len() as u64;
    let mut offset = start.next_multiple_of(step).max(step);
    while offset < end {
        corrupt_at(piece, start, offset);
        offset += step;
    }
}

/// Carries bytes one way until their end, which is passed on. An error asks for a reset.
pub(crate) async fn pump(
    way: Way,
    read: ReadHalf<'_>,
    write: WriteHalf<'_>,
    rng: impl Rng,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(PIECES);
    tokio::try_join!(take_in(way, read, sender, rng), give_out(write, receiver))?;
    Ok(())
}

async fn take_in(
    mut way: Way,
    mut read: ReadHalf<'_>,
    sender: mpsc::Sender<Piece>,
    mut rng: impl Rng,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    let mut last = Instant::now();
    loop {
        way.passable().await?;
        buffer.reserve(MAX_SEGMENT);
        let mut room = (&mut buffer).limit(MAX_SEGMENT);
        let count = tokio::select! {
            count = read.read_buf(&mut room) => count?,
            _ = way.rules.changed() => {
                way.refresh()?;
                continue;
            }
        };
        if count == 0 {
            return ended(way).await;
        }
        let mut piece = buffer.split();
        way.passable().await?;
        way.limit(count).await;
        way.alter(&mut piece)?;
        if piece.is_empty() {
            continue;
        }
        way.carried.fetch_add(piece.len() as u64, Ordering::Relaxed);
        last = last.max(Instant::now() + way.latency(&mut rng));
        if sender.send((last, piece)).await.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
}

/// The end of the bytes vanishes too while they are cut.
async fn ended(mut way: Way) -> io::Result<()> {
    while way.lost || way.has(|f| matches!(f, Fault::Cut)) {
        way.lost = true;
        let _ = way.rules.changed().await;
        way.refresh()?;
    }
    Ok(())
}

async fn give_out(mut write: WriteHalf<'_>, mut receiver: mpsc::Receiver<Piece>) -> io::Result<()> {
    while let Some((due, piece)) = receiver.recv().await {
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        write.write_all(&piece).await?;
    }
    write.shutdown().await
}
