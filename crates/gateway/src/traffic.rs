//! Bytes of control traffic by kind, to tell what fills the links between VMs.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Context;

/// Interval of the log line.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Kind of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Answers of the store, received.
    Store,
    /// Configurations sent to other daemons.
    Configuration,
    /// Lists of backend servers sent to other daemons.
    Servers,
    /// Records of requests that crash servers, sent to other daemons.
    CrashRecords,
    /// Gossip messages sent.
    Gossip,
    /// Pieces of weights sent to other agents.
    Pieces,
}

impl Kind {
    const ALL: [Self; 6] = [
        Self::Store,
        Self::Configuration,
        Self::Servers,
        Self::CrashRecords,
        Self::Gossip,
        Self::Pieces,
    ];

    /// Name in logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::CrashRecords => "crash_records",
            Self::Gossip => "gossip",
            Self::Pieces => "pieces",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Bytes of each kind since the last log line.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: [AtomicU64; Kind::ALL.len()],
}

impl Traffic {
    /// Records `bytes` of `kind`.
    pub fn record(&self, kind: Kind, bytes: usize) {
        self.bytes[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
        metrics::counter!("apricothall_control_bytes_total", "kind" => kind.name())
            .increment(bytes as u64);
    }

    fn take(&self, kind: Kind) -> u64 {
        self.bytes[kind as usize].swap(0, Ordering::Relaxed)
    }
}

/// Periodically logs the bytes of each kind, until the process ends.
pub fn start(context: &Context) {
    let logging = context.clone();
    context.lifecycle.spawn(async move {
        loop {
            tokio::time::sleep(LOG_INTERVAL).await;
            log(&logging.traffic);
        }
    });
}

fn log(traffic: &Traffic) {
    let [store, configuration, servers, crash_records, gossip, pieces] =
        Kind::ALL.map(|kind| traffic.take(kind));
    if store + configuration + servers + crash_records + gossip + pieces == 0 {
        return;
    }
    tracing::info!(
        store,
        configuration,
        servers,
        crash_records,
        gossip,
        pieces,
        "control traffic"
    );
}
