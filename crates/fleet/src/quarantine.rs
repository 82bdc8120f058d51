//! Plug-in that shares what is known of requests that crash servers.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::quarantine::{Crash, Record, Records, Standing};
use apricothall_kernel::{Clock, Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{Digest, EntryName, Role};
use apricothall_wire::codec;
use linkme::distributed_slice;
use serde_json::{Value, json};

use crate::{StatusBoard, View, extras};

#[distributed_slice(PLUGINS)]
static QUARANTINE: Plugin = Plugin {
    name: "quarantine",
    stage: Stage::Catalogue,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Records in one message of gossip; others take their turn.
const RECORDS_PER_MESSAGE: usize = 8;

/// Time between two turns.
const TURN: Duration = Duration::from_millis(500);

struct State {
    records: Records,
    turn: usize,
}

/// The records of this daemon.
pub struct Quarantine {
    clock: Clock,
    view: Arc<View>,
    state: Mutex<State>,
}

/// Digest of what a completion asks for.
#[must_use]
pub fn fingerprint(name: &EntryName, body: &[u8]) -> Digest {
    Digest::of(&[name.as_str().as_bytes(), &[0], body].concat())
}

impl Quarantine {
    /// Reads the records.
    pub fn read<T>(&self, read: impl FnOnce(&Records) -> T) -> T {
        read(&self.lock().records)
    }

    /// Records that a server crashed while these requests ran on it.
    pub fn crashed(&self, crash: &Crash, running: &BTreeSet<Digest>, alone: bool) {
        metrics::counter!("apricothall_quarantine_crashes_total").increment(1);
        tracing::warn!(agent = %crash.id, boot = %crash.boot, count = running.len(), alone,
            "a server crashed under these requests");
        let wall = self.clock.wall();
        let _ = self.lock().records.crashed(crash, running, alone, wall);
        self.publish();
    }

    /// Records that a suspect ran alone and whole.
    pub fn completed_alone(&self, fingerprint: Digest) {
        let wall = self.clock.wall();
        let _ = self.lock().records.completed(fingerprint, wall);
        self.publish();
    }

    /// Takes in what another daemon knows.
    pub fn merge(&self, records: &[(Digest, Record)]) {
        self.lock().records.merge(records, self.clock.wall());
    }

    /// Puts records into gossip, in turns when there are many.
    fn publish(&self) {
        let mut state = self.lock();
        let mut all = state.records.all();
        all.sort_by_key(|(fingerprint, record)| (std::cmp::Reverse(record.until), *fingerprint));
        let start = state.turn * RECORDS_PER_MESSAGE;
        state.turn = if start + RECORDS_PER_MESSAGE < all.len() {
            state.turn + 1
        } else {
            0
        };
        drop(state);
        let part: Vec<_> = all
            .into_iter()
            .skip(start)
            .take(RECORDS_PER_MESSAGE)
            .collect();
        if let Ok(data) = codec::encode(&part) {
            self.view.set_extra(extras::QUARANTINE, data);
        }
    }

    fn status(&self) -> Value {
        self.read(|records| {
            let all = records.all();
            let is = |f, standing| records.standing(f) == standing;
            let count = |standing| all.iter().filter(|(f, _)| is(f, standing)).count();
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
    let view = context.component::<View>()?;
    let state = State {
        records: Records::new(context.settings.quarantine.clone()),
        turn: 0,
    };
    let quarantine = Arc::new(Quarantine {
        clock: context.clock,
        view: view.clone(),
        state: Mutex::new(state),
    });
    context.provide(quarantine.clone());
    let heard = quarantine.clone();
    view.on_extra(extras::QUARANTINE, move |_, data| {
        if let Ok(records) = codec::decode::<Vec<(Digest, Record)>>(data) {
            heard.merge(&records);
        }
    });
    let shown = quarantine.clone();
    context
        .component::<StatusBoard>()?
        .section("quarantine", move || shown.status());
    context.lifecycle.spawn(async move {
        loop {
            tokio::time::sleep(TURN).await;
            if quarantine.read(|records| !records.is_empty()) {
                quarantine.publish();
            }
        }
    });
    Ok(())
}
