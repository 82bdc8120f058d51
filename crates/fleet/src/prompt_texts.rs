//! Plug-in that shares records of prompt texts that crash servers by gossip.
//!
//! Completions name no parts of their prompts. The text that many prompts begin with counts as their
//! part; a prompt that is no longer than that is a part of its own request only.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_decide::configs::QuarantineConfig;
use apricothall_decide::prompt_parts::{PartReport, PartStanding, SuspectParts, VerdictChange};
use apricothall_decide::quarantine::Crash;
use apricothall_decide::routing::{PREFIX_BYTES, Prefix};
use apricothall_kernel::{Clock, Context, PLUGINS, Plugin, Stage, StartError, StartFuture};
use apricothall_types::{EntryName, PromptPart, Role};
use apricothall_wire::codec;
use linkme::distributed_slice;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::{MembershipView, extras};

#[distributed_slice(PLUGINS)]
static PROMPT_TEXTS: Plugin = Plugin {
    name: "prompt texts",
    stage: Stage::Catalogue,
    roles: &[Role::Entry, Role::Agent],
    start: |context| -> StartFuture { Box::pin(async move { start(&context) }) },
};

/// Reason to refuse a request whose prompt begins with a text that crashes servers.
pub const SHARED_TEXT: &str =
    "servers crashed while they ran prompts that begin like this one; none is run again";

/// Maximum number of records per gossip message.
const RECORDS_PER_MESSAGE: usize = 8;

/// Interval at which changed records go into gossip messages.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Records of prompt texts held by this daemon.
pub struct PromptTexts {
    clock: Clock,
    view: Arc<MembershipView>,
    suspects: Mutex<SuspectParts>,
}

/// The prompt of a running request.
#[derive(Clone, Debug, Default)]
pub struct RunningPrompt {
    /// Parts that other requests may share.
    pub parts: Arc<[PromptPart]>,
    /// The part that was on trial when the request began.
    pub tried: Option<PromptPart>,
}

#[derive(Deserialize)]
struct PromptField {
    #[serde(default)]
    prompt: Value,
}

/// The part of a completion's prompt that other requests may share, if it has any.
#[must_use]
pub fn shared_parts(name: &EntryName, body: &[u8]) -> Vec<PromptPart> {
    let Ok(PromptField { prompt }) = serde_json::from_slice(body) else {
        return Vec::new();
    };
    let text = prompt.as_str().filter(|text| text.len() > PREFIX_BYTES);
    let id = text.and_then(|text| Prefix::of(text.as_bytes()).0.to_string().parse().ok());
    let part = id.map(|id| PromptPart {
        model: SmolStr::new(name.as_str()),
        id,
    });
    part.into_iter().collect()
}

impl PromptTexts {
    fn suspects(&self) -> MutexGuard<'_, SuspectParts> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How a request whose prompt has `parts` is treated.
    #[must_use]
    pub fn standing(&self, parts: &[PromptPart]) -> PartStanding {
        self.suspects().standing(parts, self.clock.wall())
    }

    /// Records that a server crashed while these requests ran on it.
    pub fn record_crash(&self, crash: &Crash, running: &[RunningPrompt]) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let mut suspects = self.suspects();
        for RunningPrompt { parts, tried } in running {
            let change = suspects.lost(parts, tried.as_ref(), crash, None, now, wall);
            log_verdicts(&change);
        }
    }

    /// Records that a request with these parts completed.
    pub fn record_completion(&self, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let (_, change) = self.suspects().completed(parts, now, wall);
        log_verdicts(&change);
    }

    fn merge(&self, reports: &[PartReport]) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let (_, change) = self.suspects().merge(reports, now, wall);
        log_verdicts(&change);
    }

    /// Puts changed records, and the others as far as there is room, into gossip messages.
    fn publish(&self) {
        let now = self.clock.now();
        let mut suspects = self.suspects();
        suspects.take_due(now);
        let mut reports = suspects.updates(now);
        for report in suspects.replicated() {
            if !reports.iter().any(|r| r.part == report.part) {
                reports.push(report);
            }
        }
        drop(suspects);
        reports.truncate(RECORDS_PER_MESSAGE);
        if reports.is_empty() {
            return;
        }
        match codec::encode(&reports) {
            Ok(data) => self.view.set_extra(extras::PROMPT_TEXTS, data),
            Err(error) => tracing::error!(%error, "cannot encode records of prompt texts"),
        }
    }
}

fn log_verdicts(change: &VerdictChange) {
    for part in &change.condemned {
        tracing::warn!(%part, "prompt text condemned");
    }
    for part in &change.released {
        tracing::warn!(%part, "prompt text no longer condemned");
    }
}

fn start(context: &Context) -> Result<(), StartError> {
    let view = context.component::<MembershipView>()?;
    let texts = Arc::new(PromptTexts {
        clock: context.clock,
        view: view.clone(),
        suspects: Mutex::new(SuspectParts::new(QuarantineConfig::default())),
    });
    context.provide(texts.clone());
    let merging = texts.clone();
    view.on_extra(
        extras::PROMPT_TEXTS,
        move |sender, data| match codec::decode::<Vec<PartReport>>(data) {
            Ok(reports) => merging.merge(&reports),
            Err(error) => {
                tracing::warn!(%sender, %error, "cannot decode records of prompt texts");
            }
        },
    );
    context.lifecycle.spawn(async move {
        loop {
            tokio::time::sleep(PUBLISH_INTERVAL).await;
            texts.publish();
        }
    });
    Ok(())
}
