//! Reads of the platform's service by the daemons selected as readers.

use std::sync::Arc;
use std::time::Duration;

use apricothall_clients::{PlatformError, WatchResult};
use apricothall_decide::revision::{Poll, Revisions, Source};
use apricothall_types::{Revision, Timestamp};
use apricothall_wire::Subject;

use super::Follower;

/// Maximum time between two checks of whether this daemon is a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl<T: Default + Send + Sync + 'static> Follower<T> {
    /// Reads the service whenever a read is due.
    pub(super) async fn watch_service<F>(
        self: Arc<Self>,
        watch: impl Fn(Revision) -> F + Send + Sync,
    ) where
        F: Future<Output = Result<WatchResult, PlatformError>> + Send,
    {
        loop {
            let now = self.clock.now();
            let at = self.next_poll(now);
            if at > now {
                tokio::time::sleep(at.since(now).min(READER_CHECK_INTERVAL)).await;
                continue;
            }
            self.lock().poll_started(now);
            let after = self.current().revision;
            let poll = match watch(after).await {
                Ok(WatchResult::Unchanged) => Poll::Answered,
                Ok(WatchResult::Changed(value)) if value.revision < after => Poll::Stale,
                Ok(WatchResult::Changed(value)) => {
                    self.offer(&Source::Service, value);
                    Poll::Answered
                }
                Err(error) => {
                    tracing::debug!(subject = ?self.subject, %error, "cannot read the service");
                    Poll::Failed
                }
            };
            count_poll(self.subject, poll);
            self.lock().poll_ended(poll);
        }
    }

    /// Returns the time of the next read.
    fn next_poll(&self, now: Timestamp) -> Timestamp {
        let revisions = self.lock();
        let reader = self.is_reader(&revisions);
        revisions.next_poll(reader, now, &mut rand::rng())
    }

    /// Returns whether this daemon is a reader.
    pub(super) fn is_reader(&self, revisions: &Revisions) -> bool {
        let (id, zone) = &self.identity;
        self.view
            .with(|m| revisions.is_reader((id, zone), m.alive()))
    }
}

fn count_poll(subject: Subject, poll: Poll) {
    let result = match poll {
        Poll::Answered => "answered",
        Poll::Stale => "stale",
        Poll::Failed => "failed",
    };
    let subject = match subject {
        Subject::Catalogue => "catalogue",
        Subject::Vms => "vms",
    };
    metrics::counter!("apricothall_reads_total", "subject" => subject, "result" => result)
        .increment(1);
}
