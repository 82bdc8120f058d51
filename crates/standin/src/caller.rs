//! A simulated client: fetches the list of entries, caches it and sends requests.

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

/// Timeout for fetching the list of entries from one address.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(2);

/// Address of an entry that clients can use.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct EntryAddress {
    /// Socket address of the entry.
    pub address: SocketAddr,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Region of the entry.
    pub region: Region,
}

/// Response to `GET /v1/entries`.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryList {
    /// Entries to use, best first.
    pub entries: Vec<EntryAddress>,
    /// Time for which the list may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Tickets for calls that must not be repeated.
    #[serde(default)]
    pub tickets: Value,
}

/// Optional headers of a request.
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

/// A simulated client. Clones share connections and the cached list.
#[derive(Clone)]
pub struct Caller {
    name: SmolStr,
    seeds: Arc<Vec<SocketAddr>>,
    client: Client,
    state: Arc<Mutex<State>>,
}

impl Caller {
    /// Creates a client of the account `name` that fetches the first list from the addresses
    /// `seeds` and connects from `source`.
    #[must_use]
    pub fn new(name: &str, source: Option<IpAddr>, seeds: Vec<SocketAddr>) -> Self {
        Self::with_client(name, Client::new(source), seeds)
    }

    /// As [`Caller::new`], with the connections of the given HTTP client.
    #[must_use]
    pub fn with_client(name: &str, client: Client, seeds: Vec<SocketAddr>) -> Self {
        Self {
            name: SmolStr::new(name),
            seeds: Arc::new(seeds),
            client,
            state: Arc::default(),
        }
    }

    /// Returns the cached list of entries until it expires, otherwise a new one from the first
    /// address that answers.
    ///
    /// # Errors
    /// Returns an error if no address answers.
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
        let what = SmolStr::new_static("the list of entries");
        Err(StandinError::Timeout {
            what,
            last: last_error,
        })
    }

    /// Drops the cached list of entries.
    pub fn clear_entries(&self) {
        self.lock().cached = None;
    }

    /// Selects the entry for the next request, round-robin over the entries in the zone of the
    /// first one in the list.
    ///
    /// # Errors
    /// Returns an error if no list can be fetched or if it is empty.
    pub async fn next_entry(&self) -> Result<SocketAddr, StandinError> {
        let list = self.entries().await?;
        let Some(first) = list.entries.first() else {
            let what = SmolStr::new_static("a usable entry");
            let last_error = "the list is empty".to_owned();
            return Err(StandinError::Timeout {
                what,
                last: last_error,
            });
        };
        let same_zone = list.entries.iter().filter(|e| e.zone == first.zone);
        let same_zone: Vec<_> = same_zone.collect();
        let mut state = self.lock();
        state.next_index = state.next_index.wrapping_add(1);
        Ok(same_zone[state.next_index % same_zone.len()].address)
    }

    /// Sends a call to a plain service through the entry at `address`.
    ///
    /// # Errors
    /// Returns an error if the connection fails or breaks before the end of the response.
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

    /// Sends a call to a plain service through the next entry. `path` starts with the name of the
    /// service.
    ///
    /// # Errors
    /// Returns an error if the connection fails or breaks before the end of the response.
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

    /// HTTP client that sends the requests.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Creates a request with the headers of this client.
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

    /// Addresses to fetch the list from: those of the last list, even if expired, then the seeds.
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
