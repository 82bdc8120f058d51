//! Plug-in that shares records of requests that crash servers by gossip.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::quarantine::{Crash, Record, Records, Standing};
use apricothall_kernel::{Clock, Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Digest, EntryName, Role};
use apricothall_wire::codec;
use linkme::distributed_slice;
use serde_json::{Value, json};

use crate::{MembershipView, StatusBoard, extras};

#[distributed_slice(PLUGINS)]
static QUARANTINE: Plugin = Plugin {
    name: "quarantine",
    stage: Stage::Catalogue,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Reason to refuse a request that crashes servers.
pub const SAME_REQUEST: &str = "servers crashed while they ran this request; it is not run again";

/// Maximum number of records per gossip message. If there are more, messages carry one page of
/// them after another.
const RECORDS_PER_MESSAGE: usize = 8;

/// Interval at which the page in gossip messages changes.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

struct State {
    records: Records,
    page: usize,
}

/// Quarantine records held by this daemon.
pub struct Quarantine {
    clock: Clock,
    view: Arc<MembershipView>,
    state: Mutex<State>,
}

/// Returns the digest that identifies a completion request by entry name and body.
#[must_use]
pub fn fingerprint(name: &EntryName, body: &[u8]) -> Digest {
    Digest::of(&[name.as_str().as_bytes(), &[0], body].concat())
}

impl Quarantine {
    /// Calls `read` with the records, under the lock.
    pub fn read<T>(&self, read: impl FnOnce(&Records) -> T) -> T {
        read(&self.lock().records)
    }

    /// Records that a server crashed while the requests `running` ran on it.
    pub fn record_crash(&self, crash: &Crash, running: &BTreeSet<Digest>, alone: bool) {
        metrics::counter!("apricothall_quarantine_crashes_total").increment(1);
        tracing::warn!(agent = %crash.id, boot = %crash.boot, count = running.len(), alone,
            "server crashed while it ran requests");
        let wall = self.clock.wall();
        let _ = self.lock().records.crashed(crash, running, alone, wall);
        self.publish();
    }

    /// Records that a suspect request completed while no other request ran on the server.
    pub fn record_solo_completion(&self, fingerprint: Digest) {
        let wall = self.clock.wall();
        let _ = self.lock().records.completed(fingerprint, wall);
        self.publish();
    }

    /// Merges the records of another daemon.
    pub fn merge(&self, records: &[(Digest, Record)]) {
        self.lock().records.merge(records, self.clock.wall());
    }

    /// Puts the next page of records into gossip messages, those that expire last first.
    fn publish(&self) {
        let mut state = self.lock();
        let mut all = state.records.all();
        all.sort_by_key(|(fingerprint, record)| (std::cmp::Reverse(record.until), *fingerprint));
        let start = state.page * RECORDS_PER_MESSAGE;
        state.page = if start + RECORDS_PER_MESSAGE < all.len() {
            state.page + 1
        } else {
            0
        };
        drop(state);
        let page: Vec<_> = all
            .into_iter()
            .skip(start)
            .take(RECORDS_PER_MESSAGE)
            .collect();
        if let Ok(data) = codec::encode(&page) {
            self.view.set_extra(extras::QUARANTINE, data);
        }
    }

    fn status(&self) -> Value {
        self.read(|records| {
            let all = records.all();
            let has_standing = |f, standing| records.standing(f) == standing;
            let count = |standing| {
                all.iter()
                    .filter(|(f, _)| has_standing(f, standing))
                    .count()
            };
            json!({
                "records": records.len(),
                "suspects": count(Standing::Suspect),
                "condemned": count(Standing::Condemned),
            })
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let view = context.component::<MembershipView>()?;
    let state = State {
        records: Records::new(context.settings.quarantine.clone()),
        page: 0,
    };
    let quarantine = Arc::new(Quarantine {
        clock: context.clock,
        view: view.clone(),
        state: Mutex::new(state),
    });
    context.provide(quarantine.clone());
    let merging = quarantine.clone();
    view.on_extra(extras::QUARANTINE, move |_, data| {
        if let Ok(records) = codec::decode::<Vec<(Digest, Record)>>(data) {
            merging.merge(&records);
        }
    });
    let source = quarantine.clone();
    context
        .component::<StatusBoard>()?
        .add_section("quarantine", move || source.status());
    context.lifecycle.spawn(async move {
        loop {
            tokio::time::sleep(PUBLISH_INTERVAL).await;
            if quarantine.read(|records| !records.is_empty()) {
                quarantine.publish();
            }
        }
    });
    Ok(())
}
