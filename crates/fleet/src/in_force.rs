//! The value in force of a subject, with a notification of each change.

use std::sync::Arc;

use apricothall_types::Revision;
use smol_str::SmolStr;
use tokio::sync::watch;

/// A value that has been adopted.
#[derive(Debug, Default)]
pub struct Adopted<T> {
    /// Revision of the value; zero if no value has been adopted yet.
    pub revision: Revision,
    /// Text as published.
    pub text: SmolStr,
    /// Value parsed from the text.
    pub value: T,
}

/// Holds the value in force.
#[derive(Debug, Default)]
pub struct InForce<T> {
    current: watch::Sender<Arc<Adopted<T>>>,
}

impl<T> InForce<T> {
    /// Returns the value in force.
    #[must_use]
    pub fn current(&self) -> Arc<Adopted<T>> {
        self.current.borrow().clone()
    }

    /// Replaces the value in force and notifies subscribers.
    pub fn adopt(&self, adopted: Adopted<T>) {
        self.current.send_replace(Arc::new(adopted));
    }

    /// Subscribes to changes. If a value is in force already, it counts as the first change.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<Arc<Adopted<T>>> {
        let mut changes = self.current.subscribe();
        // A task that subscribes after the first value was adopted must still be notified of it.
        if changes.borrow().revision > Revision(0) {
            changes.mark_changed();
        }
        changes
    }
}
