//! A caller: asks for entries, keeps the answer, sends requests and judges the answers.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_types::{Class, Region, Zone};
use bytes::Bytes;
use http::{Method, Request};
use serde::Deserialize;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::StandinError;
use crate::client::{Answer, Client};

/// Longest wait for the list of entries from one address.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(2);

/// One address that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EntryAddress {
    /// The address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
}

/// Answer to `GET /v1/entries`.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryList {
    /// Addresses to use, best first.
    pub entries: Vec<EntryAddress>,
    /// How long to keep them, in milliseconds.
    pub keep_ms: u64,
    /// Tickets for calls that may not be repeated.
    #[serde(default)]
    pub tickets: Value,
}

/// Headers that a request carries.
#[derive(Clone, Debug, Default)]
pub struct CallOptions {
    /// `x-class`.
    pub class: Option<Class>,
    /// `x-deadline-ms`.
    pub deadline: Option<Duration>,
    /// `Idempotency-Key`.
    pub key: Option<SmolStr>,
    /// `x-ticket`.
    pub ticket: Option<SmolStr>,
    /// `traceparent`.
    pub trace: Option<SmolStr>,
}

struct CachedList {
    list: EntryList,
    expires: Instant,
}

#[derive(Default)]
struct State {
    cached: Option<CachedList>,
    next_index: usize,
}

/// A caller. Clones share connections and the kept list.
#[derive(Clone)]
pub struct Caller {
    name: SmolStr,
    seeds: Arc<Vec<SocketAddr>>,
    client: Client,
    state: Arc<Mutex<State>>,
}

impl Caller {
    /// The client account `name`, which knows the addresses `known` and connects from `source`.
    #[must_use]
    pub fn new(name: &str, source: Option<IpAddr>, seeds: Vec<SocketAddr>) -> Self {
        Self::with_client(name, Client::new(source), seeds)
    }

    /// As [`Caller::new`], over connections of the given client.
    #[must_use]
    pub fn with_client(name: &str, client: Client, seeds: Vec<SocketAddr>) -> Self {
        Self {
            name: SmolStr::new(name),
            seeds: Arc::new(seeds),
            client,
            state: Arc::default(),
        }
    }

    /// The list of entries: the kept one while it may be kept, else a new one from the first
    /// address that answers.
    ///
    /// # Errors
    /// When no address answers.
    pub async fn entries(&self) -> Result<EntryList, StandinError> {
        if let Some(list) = self.cached(Instant::now()) {
            return Ok(list);
        }
        let mut last_error = String::new();
        for address in self.addresses() {
            let fetch = self.fetch_entries(address);
            match tokio::time::timeout(ENTRIES_TIMEOUT, fetch).await {
                Ok(Ok(list)) => return Ok(self.cache(list)),
                Ok(Err(e)) => last_error = format!("{address}: {e}"),
                Err(_) => last_error = format!("{address}: no answer"),
            }
        }
        let what = SmolStr::new_static("a list of entries");
        Err(StandinError::Timeout {
            what,
            last: last_error,
        })
    }

    /// Forgets the kept list.
    pub fn clear_entries(&self) {
        self.lock().cached = None;
    }

    /// The entry for the next request: by turns those in the zone of the first one.
    ///
    /// # Errors
    /// When no list is to be had or it is empty.
    pub async fn next_entry(&self) -> Result<SocketAddr, StandinError> {
        let list = self.entries().await?;
        let Some(first) = list.entries.first() else {
            let what = SmolStr::new_static("an entry to use");
            let last_error = "the list is empty".to_owned();
            return Err(StandinError::Timeout {
                what,
                last: last_error,
            });
        };
        let near = list.entries.iter().filter(|e| e.zone == first.zone);
        let near: Vec<_> = near.collect();
        let mut state = self.lock();
        state.next_index = state.next_index.wrapping_add(1);
        Ok(near[state.next_index % near.len()].address)
    }

    /// Sends a call to a plain service through the entry at `address`.
    ///
    /// # Errors
    /// When the connection cannot be made or breaks before the end of the answer.
    pub async fn call_at(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
        options: &CallOptions,
    ) -> Result<Answer, StandinError> {
        let uri = format!("http://{address}/v1/services/{path}");
        let request = self.request(method, &uri, options).body(body.into())?;
        self.client.send(request).await
    }

    /// Sends a call to a plain service through the next entry. `path` starts with its name.
    ///
    /// # Errors
    /// When the connection cannot be made or breaks before the end of the answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
        options: &CallOptions,
    ) -> Result<Answer, StandinError> {
        let address = self.next_entry().await?;
        self.call_at(address, method, path, body, options).await
    }

    /// The client below.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// A request with the caller's headers.
    #[must_use]
    pub fn request(
        &self,
        method: Method,
        uri: &str,
        options: &CallOptions,
    ) -> http::request::Builder {
        let mut builder = Request::builder()
            .method(method)
            .uri(uri)
            .header("x-caller", self.name.as_str());
        let deadline = options
            .deadline
            .map(|d| format_smolstr!("{}", d.as_millis()));
        let class = options.class.map(|c| format_smolstr!("{c}"));
        let headers = [
            ("x-class", &class),
            ("x-deadline-ms", &deadline),
            ("idempotency-key", &options.key),
            ("x-ticket", &options.ticket),
            ("traceparent", &options.trace),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                builder = builder.header(name, value.as_str());
            }
        }
        builder
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cached(&self, now: Instant) -> Option<EntryList> {
        let state = self.lock();
        let cached = state
            .cached
            .as_ref()
            .filter(|cached| now < cached.expires)?;
        Some(cached.list.clone())
    }

    fn cache(&self, list: EntryList) -> EntryList {
        let expires = Instant::now() + Duration::from_millis(list.keep_ms);
        let cached = CachedList {
            list: list.clone(),
            expires,
        };
        self.lock().cached = Some(cached);
        list
    }

    /// Addresses to ask for the list: those kept, also when too old, then those seeds.
    fn addresses(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let cached = state.cached.iter().flat_map(|cached| &cached.list.entries);
        cached
            .map(|e| e.address)
            .chain(self.seeds.iter().copied())
            .collect()
    }

    async fn fetch_entries(&self, address: SocketAddr) -> Result<EntryList, StandinError> {
        let uri = format!("http://{address}/v1/entries");
        let body = self.client.get(&uri).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}
