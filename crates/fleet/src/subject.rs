//! Follower of a published value. Readers watch the value in the platform's service; all other
//! daemons fetch it from peers when gossip announces a newer revision.

mod peers;
mod reads;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use apricothall_clients::{PlatformError, Value, WatchResult};
use apricothall_decide::membership::{Head, Membership};
use apricothall_decide::revision::{Decision, Readiness, Revisions, Source, Stamp};
use apricothall_kernel::{Clock, Context, StartError};
use apricothall_types::{Digest, MemberId, Revision, Role, Zone};
use apricothall_wire::{Connector, Published, PublishedText, Subject};
use serde_json::{Value as Json, json};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::watch::Receiver;

use crate::history::History;
use crate::in_force::{Adopted, InForce};
use crate::membership::ReceivedGossip;
use crate::{MembershipView, StatusBoard};

type Parse<T> = fn(&str) -> Result<T, SmolStr>;

/// Follower of one subject.
pub struct Follower<T> {
    subject: Subject,
    parse: Parse<T>,
    clock: Clock,
    identity: (MemberId, Zone),
    role: Role,
    call_timeout: Duration,
    view: Arc<MembershipView>,
    connector: Arc<Connector>,
    revisions: Mutex<Revisions>,
    history: Mutex<History>,
    current: InForce<T>,
}

impl<T: Default + Send + Sync + 'static> Follower<T> {
    /// Creates a follower with no value in force.
    ///
    /// # Errors
    /// When a required part of an earlier stage is missing.
    pub fn new(
        context: &Context,
        subject: Subject,
        name: &str,
        parse: Parse<T>,
    ) -> Result<Self, StartError> {
        let settings = &context.settings;
        let config = settings.revision.clone();
        let revisions = Revisions::new(SmolStr::new(name), config, context.clock.now());
        Ok(Self {
            subject,
            parse,
            clock: context.clock,
            identity: (settings.daemon.id.clone(), settings.daemon.zone.clone()),
            role: context.role,
            call_timeout: settings.peers.call.0,
            view: context.component()?,
            connector: context.component()?,
            revisions: Mutex::new(revisions),
            history: Mutex::default(),
            current: InForce::default(),
        })
    }

    /// Returns the value in force.
    #[must_use]
    pub fn current(&self) -> Arc<Adopted<T>> {
        self.current.current()
    }

    /// Subscribes to changes. If a value is in force already, it counts as the first change.
    #[must_use]
    pub fn changes(&self) -> Receiver<Arc<Adopted<T>>> {
        self.current.changes()
    }

    /// Returns the value in force for a peer: as a patch of the text with digest `base` where
    /// possible, else as full text.
    #[must_use]
    pub fn published(&self, base: Option<Digest>) -> Option<Published> {
        let current = self.current();
        if current.revision == Revision(0) {
            return None;
        }
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let patch = base.and_then(|base| history.patch(base));
        let digest = Digest::of(current.text.as_bytes());
        // The history is updated before the value in force, so its newest text may not match yet.
        let patch = patch.filter(|patch| patch.digest == digest);
        let full = || PublishedText::Whole(current.text.clone());
        let text = patch.map_or_else(full, PublishedText::Patch);
        let revision = current.revision;
        Some(Published { revision, text })
    }

    /// Returns the reason for which this subject keeps the daemon from being ready, or `None`.
    #[must_use]
    pub fn not_ready_reason(&self) -> Option<SmolStr> {
        let known = self.view.with(Membership::expected);
        let now = self.clock.now();
        match self.lock().readiness(known, now) {
            Readiness::Ready(_) => None,
            Readiness::Starting(missing) => Some(format_smolstr!(
                "{:?} is not known yet: {missing:?}",
                self.subject
            )),
        }
    }

    /// Returns the subject's section of `/status`.
    #[must_use]
    pub fn status(&self) -> Json {
        let revisions = self.lock();
        let refused = revisions.refused().map(|r| {
            json!({ "revision": r.stamp.revision, "reason": r.reason,
                    "source": format!("{:?}", r.source) })
        });
        let (conflicts, last) = revisions.conflicts();
        json!({
            "revision": revisions.in_force().map_or(Revision(0), |s| s.revision),
            "digest": revisions.in_force().map(|s| s.digest),
            "refused": refused.collect::<Vec<_>>(),
            "conflicts": conflicts,
            "conflict": last.map(|c| c.dropped.revision),
            "reader": self.is_reader(&revisions),
        })
    }

    /// Starts both sources: the service, read by `watch`, and peers, announced by `received`.
    pub fn spawn<F>(
        self: &Arc<Self>,
        context: &Context,
        received: &ReceivedGossip,
        watch: impl Fn(Revision) -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = Result<WatchResult, PlatformError>> + Send + 'static,
    {
        context.lifecycle.spawn(self.clone().watch_service(watch));
        context
            .lifecycle
            .spawn(self.clone().follow_peers(received.subscribe()));
    }

    /// Adds the subject's readiness condition to the board.
    pub fn add_readiness_check(self: &Arc<Self>, board: &StatusBoard) {
        let follower = self.clone();
        board.add_condition(move || follower.not_ready_reason());
    }

    /// Offers a value for adoption, and logs it if it is invalid or in conflict.
    fn offer(&self, source: &Source, value: Value) {
        let Value { revision, text } = value;
        let stamp = Stamp {
            revision,
            digest: Digest::of(text.as_bytes()),
        };
        let parsed = (self.parse)(&text);
        let (parsed, validity) = match parsed {
            Ok(value) => (Some(value), Ok(())),
            Err(reason) => (None, Err(reason)),
        };
        let decision = self.lock().offer(source.clone(), stamp, validity.clone());
        match decision {
            Decision::AdoptedWithConflict(dropped) => {
                tracing::error!(subject = ?self.subject, %revision, dropped = %dropped.digest,
                    "two values under one revision");
            }
            Decision::RejectedWithConflict(kept) => {
                tracing::error!(subject = ?self.subject, %revision, kept = %kept.digest,
                    "two values under one revision");
            }
            Decision::Refused => {
                let reason = validity.err().unwrap_or_default();
                tracing::error!(subject = ?self.subject, %revision, ?source, %reason, "refused");
            }
            Decision::Adopted | Decision::Same | Decision::Older => {}
        }
        let adopted = matches!(
            decision,
            Decision::Adopted | Decision::AdoptedWithConflict(_)
        );
        if let (true, Some(value)) = (adopted, parsed) {
            self.adopt(
                stamp,
                Adopted {
                    revision,
                    text,
                    value,
                },
            );
        }
    }

    /// Puts a value in force and announces its revision by gossip.
    fn adopt(&self, stamp: Stamp, adopted: Adopted<T>) {
        let (revision, mark) = stamp.head();
        self.view.set_head(Head {
            subject: self.subject as u8,
            revision,
            mark,
        });
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push(stamp.digest, adopted.text.clone());
        drop(history);
        self.current.adopt(adopted);
        tracing::info!(subject = ?self.subject, role = %self.role, %revision, "in force");
    }

    fn lock(&self) -> MutexGuard<'_, Revisions> {
        self.revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
