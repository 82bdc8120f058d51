//! Contract of the weight store and the origin, as documented in docs/INTERFACES.md.

mod common;
#[macro_use]
#[path = "common/table.rs"]
mod table;

use std::net::IpAddr;
use std::time::{Duration, Instant};

use apricothall_standin::weights::{Corruption, WeightStore, Weights};
use apricothall_types::{Bytes, ChunkIndex, Digest, Manifest, Rate};
use common::{any, get};
use tokio::time::timeout;

const SIZE: Bytes = Bytes::kib(100);
const CHUNK: Bytes = Bytes::kib(32);

struct Fixture {
    store: WeightStore,
    weights: Weights,
}

impl Fixture {
    fn manifest(&self) -> String {
        format!("/v1/manifests/{}", self.weights.digest)
    }

    fn chunk(&self, index: u32) -> String {
        format!("{}/chunks/{index}", self.manifest())
    }

    async fn is_intact(&self, index: u32) -> bool {
        let answer = get(self.store.address(), &self.chunk(index)).await;
        Some(Digest::of(&answer.body)) == self.weights.manifest.digest(ChunkIndex(index))
    }
}

async fn fixture() -> Fixture {
    let store = WeightStore::start(any(), None)
        .await
        .expect("service starts");
    let weights = Weights::generate(7, SIZE, CHUNK);
    store.publish(weights.clone());
    Fixture { store, weights }
}

contract! {
    f: Fixture = fixture;
    manifest_is_json_with_the_digest_asked_for: {
        let answer = get(f.store.address(), &f.manifest()).await;
        assert_eq!(Digest::of(&answer.body), f.weights.digest);
        let manifest: Manifest = answer.json().expect("valid manifest");
        assert_eq!((manifest.size, manifest.chunk, manifest.count()), (SIZE, CHUNK, 4));
    }
    chunks_make_up_the_bytes: {
        let mut bytes = Vec::new();
        for index in 0..4 {
            bytes.extend_from_slice(&get(f.store.address(), &f.chunk(index)).await.body);
        }
        assert_eq!(Digest::of(&bytes), Digest::of(&f.weights.bytes));
        assert_eq!(f.store.sent().total(), SIZE.0);
        assert_eq!(f.store.sent().chunks, 4);
    }
    unknown_manifest_and_chunk_are_404: {
        let other = format!("/v1/manifests/{}", Digest::of(b"other"));
        for path in [&other, &format!("{other}/chunks/0"), &f.chunk(4), "/v1/manifests/zz"] {
            assert_eq!(get(f.store.address(), path).await.status, 404, "{path}");
        }
    }
    version_withdrawn_is_404: {
        f.store.withdraw(f.weights.digest);
        assert_eq!(get(f.store.address(), &f.manifest()).await.status, 404);
        assert_eq!(get(f.store.address(), &f.chunk(0)).await.status, 404);
    }
    over_its_limit_it_is_503_with_retry_after: {
        f.store.set_limit(Some(0));
        let answer = get(f.store.address(), &f.chunk(0)).await;
        assert_eq!((answer.status.as_u16(), answer.number("retry-after")), (503, Some(1)));
        f.store.set_limit(Some(1));
        assert!(f.is_intact(0).await);
        f.store.set_unavailable(true);
        assert_eq!(get(f.store.address(), &f.manifest()).await.status, 503);
    }
    chunk_arrives_corrupted_for_a_while: {
        f.store.corrupt(f.weights.digest, 1, Corruption::Times(2));
        let seen = [f.is_intact(1).await, f.is_intact(1).await, f.is_intact(1).await, f.is_intact(0).await];
        assert_eq!(seen, [false, false, true, true]);
    }
    chunk_arrives_corrupted_until_cleared: {
        f.store.corrupt(f.weights.digest, 3, Corruption::Always);
        assert!(!f.is_intact(3).await && !f.is_intact(3).await);
        f.store.clear_corruption();
        assert!(f.is_intact(3).await);
    }
    rate_is_shared_by_all_connections: {
        // Two chunks of 32 KiB at 320 KiB per second take 200 ms, less the burst of the rate
        // limiter.
        f.store.set_rate(Some(Rate(8 * 320 * 1024)));
        let start = Instant::now();
        let (one, two) = tokio::join!(f.is_intact(0), f.is_intact(1));
        assert!(one && two && start.elapsed() >= Duration::from_millis(140));
    }
    stalled_store_sends_nothing_and_goes_on_later: {
        f.store.set_stalled(true);
        let path = f.chunk(0);
        let mut read = Box::pin(get(f.store.address(), &path));
        assert!(timeout(Duration::from_millis(50), &mut read).await.is_err());
        assert_eq!(f.store.sent().total(), 0);
        f.store.set_stalled(false);
        assert_eq!(read.await.body.len() as u64, CHUNK.0);
    }
    bytes_are_counted_by_source: {
        let source: IpAddr = "127.0.0.9".parse().expect("valid");
        let client = apricothall_standin::client::Client::new(Some(source));
        let uri = format!("http://{}{}", f.store.address(), f.chunk(0));
        client.get(&uri).await.expect("response arrives");
        assert_eq!(f.store.sent().bytes.get(&source), Some(&CHUNK.0));
    }
}
