//! Test double of the weight store and of the origin, which serve manifests by digest and their
//! chunks.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use apricothall_types::{Bytes as Size, Digest, Manifest, Rate};
use bytes::Bytes;
use futures::{Stream, stream};
use http::{Method, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bucket::{Bucket, MAX_SEGMENT};
use crate::server::{Call, Gate, Mode, Reply, Server, reply, retry_later};

const RETRY_SECONDS: u64 = 1;

/// Weights of one version with their manifest.
#[derive(Clone, Debug)]
pub struct Weights {
    /// The correct bytes.
    pub bytes: Bytes,
    /// Manifest of the bytes.
    pub manifest: Manifest,
    /// Serialized manifest, as served.
    pub json: Bytes,
    /// Digest of `json`, which identifies the version in the catalogue.
    pub digest: Digest,
}

impl Weights {
    /// Generates `size` bytes of weights from `seed`, split into chunks of `chunk`.
    #[must_use]
    pub fn generate(seed: u64, size: Size, chunk: Size) -> Self {
        let mut bytes = vec![0; usize::try_from(size.0).unwrap_or(0)];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let manifest = Manifest::of(&bytes, chunk);
        let json = Bytes::from(serde_json::to_vec(&manifest).unwrap_or_default());
        Self {
            bytes: bytes.into(),
            manifest,
            digest: Digest::of(&json),
            json,
        }
    }

    /// Returns the correct bytes of chunk `index`.
    #[must_use]
    pub fn chunk(&self, index: u32) -> Option<Bytes> {
        let step = usize::try_from(self.manifest.chunk.0).ok()?;
        let start = step.checked_mul(index as usize)?;
        if start >= self.bytes.len() {
            return None;
        }
        let end = self.bytes.len().min(start + step);
        Some(self.bytes.slice(start..end))
    }
}

/// How often a chunk is sent corrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// Every time.
    Always,
    /// The next given number of times.
    Times(u32),
}

/// Counts of sent data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Bytes of chunks, by address of the recipient.
    pub bytes: HashMap<IpAddr, u64>,
    /// Number of chunk requests that were answered with bytes.
    pub chunks: u64,
    /// Number of requests refused with 503.
    pub refused: u64,
}

impl Sent {
    /// Bytes of chunks sent to all recipients.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.bytes.values().sum()
    }
}

#[derive(Default)]
struct State {
    versions: HashMap<Digest, Weights>,
    corrupt: HashMap<(Digest, u32), Corruption>,
    sent: Sent,
    unavailable: bool,
    limit: Option<usize>,
}

struct Shared {
    state: Mutex<State>,
    bucket: Bucket,
    stalled: Gate,
    active: Arc<()>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of a running weight store or origin.
pub struct WeightStore {
    shared: Arc<Shared>,
    gate: Gate,
    server: Server,
}

impl WeightStore {
    /// Starts a store without weights. All connections share `rate`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr, rate: Option<Rate>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            bucket: Bucket::new(rate.map(Rate::bytes_per_second)),
            stalled: Gate::default(),
            active: Arc::new(()),
        });
        let gate = Gate::default();
        let inner = shared.clone();
        let handler = move |call: Call| {
            let reply = answer(&inner, &call);
            async move { reply }
        };
        let server = Server::start(address, gate.clone(), handler).await?;
        Ok(Self {
            shared,
            gate,
            server,
        })
    }

    /// Address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a version.
    pub fn publish(&self, weights: Weights) {
        let digest = weights.digest;
        self.shared.lock().versions.insert(digest, weights);
    }

    /// Removes a version: subsequent requests for its manifest and chunks get 404.
    pub fn withdraw(&self, digest: Digest) {
        self.shared.lock().versions.remove(&digest);
    }

    /// Sends chunk `index` with one bit flipped.
    pub fn corrupt(&self, digest: Digest, index: u32, times: Corruption) {
        self.shared.lock().corrupt.insert((digest, index), times);
    }

    /// Stops corrupting chunks.
    pub fn clear_corruption(&self) {
        self.shared.lock().corrupt.clear();
    }

    /// While `stalled`, keeps connections open but sends no bytes of chunks.
    pub fn set_stalled(&self, stalled: bool) {
        self.shared.stalled.set_frozen(stalled);
    }

    /// Responds with 503 to all requests while `unavailable`.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.shared.lock().unavailable = unavailable;
    }

    /// Sets the number of chunks that may be sent concurrently; further requests get 503.
    pub fn set_limit(&self, limit: Option<usize>) {
        self.shared.lock().limit = limit;
    }

    /// Changes the rate that all connections share.
    pub fn set_rate(&self, rate: Option<Rate>) {
        self.shared
            .bucket
            .set_rate(rate.map(Rate::bytes_per_second));
    }

    /// Sets how connections are handled.
    pub fn set_mode(&self, mode: Mode) {
        self.gate.set_mode(mode);
    }

    /// Makes the store unreachable from exactly these source addresses.
    pub fn block(&self, sources: impl IntoIterator<Item = IpAddr>) {
        self.gate.block(sources);
    }

    /// Returns the counts of data sent so far.
    #[must_use]
    pub fn sent(&self) -> Sent {
        self.shared.lock().sent.clone()
    }

    /// Stops the store and closes all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

/// Resource that a path refers to.
enum Target {
    Manifest(Digest),
    Chunk(Digest, u32),
}

fn parse_target(path: &str) -> Option<Target> {
    let rest = path.strip_prefix("/v1/manifests/")?;
    let Some((digest, index)) = rest.split_once("/chunks/") else {
        return Some(Target::Manifest(rest.parse().ok()?));
    };
    Some(Target::Chunk(digest.parse().ok()?, index.parse().ok()?))
}

fn answer(shared: &Arc<Shared>, call: &Call) -> Reply {
    if call.request.method() != Method::GET {
        return reply(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    let mut state = shared.lock();
    // One reference belongs to the store itself.
    let active = Arc::strong_count(&shared.active) - 1;
    if state.unavailable || state.limit.is_some_and(|limit| active >= limit) {
        state.sent.refused += 1;
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_SECONDS);
    }
    let found = match parse_target(call.path()) {
        Some(Target::Manifest(digest)) => {
            let json = state.versions.get(&digest).map(|w| w.json.clone());
            return json.map_or_else(not_found, |json| reply(StatusCode::OK, json));
        }
        Some(Target::Chunk(digest, index)) => state.send(digest, index),
        None => None,
    };
    // The lock is held until the new transfer counts as active.
    let reply = found.map_or_else(not_found, |chunk| throttled_reply(shared, chunk, call.peer));
    drop(state);
    reply
}

fn not_found() -> Reply {
    reply(StatusCode::NOT_FOUND, "")
}

impl State {
    /// Returns the bytes to send for a chunk, corrupted if requested.
    fn send(&mut self, digest: Digest, index: u32) -> Option<Bytes> {
        let chunk = self.versions.get(&digest)?.chunk(index)?;
        self.sent.chunks += 1;
        let corrupted = match self.corrupt.get_mut(&(digest, index)) {
            None | Some(Corruption::Times(0)) => false,
            Some(Corruption::Always) => true,
            Some(Corruption::Times(left)) => {
                *left -= 1;
                true
            }
        };
        if !corrupted {
            return Some(chunk);
        }
        let mut bytes = chunk.to_vec();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
        Some(bytes.into())
    }
}

/// Creates a response that sends `chunk` at the store's rate and counts its bytes for `peer`.
fn throttled_reply(shared: &Arc<Shared>, chunk: Bytes, peer: IpAddr) -> Reply {
    let length = chunk.len();
    let body = BodyExt::boxed_unsync(StreamBody::new(body_frames(shared.clone(), chunk, peer)));
    let mut reply = Response::new(body);
    reply
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length.into());
    reply
}

fn body_frames(
    shared: Arc<Shared>,
    chunk: Bytes,
    peer: IpAddr,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
    let active = shared.active.clone();
    stream::unfold(
        (shared, chunk, active),
        move |(shared, mut rest, active)| async move {
            if rest.is_empty() {
                return None;
            }
            let segment = rest.split_to(rest.len().min(MAX_SEGMENT));
            shared.stalled.wait_unfrozen().await;
            shared.bucket.take(segment.len()).await;
            let count = segment.len() as u64;
            *shared.lock().sent.bytes.entry(peer).or_default() += count;
            Some((Ok(Frame::data(segment)), (shared, rest, active)))
        },
    )
}
