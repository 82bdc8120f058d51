//! The value of a subject that is in force, with a signal for each new one.

use std::sync::Arc;

use apricothall_types::Revision;
use smol_str::SmolStr;
use tokio::sync::watch;

/// A value in force.
#[derive(Debug, Default)]
pub struct Adopted<T> {
    /// Its revision; zero when there is none yet.
    pub revision: Revision,
    /// Its text as published.
    pub text: SmolStr,
    /// What the text says.
    pub value: T,
}

/// Holds the value in force.
#[derive(Debug, Default)]
pub struct InForce<T> {
    current: watch::Sender<Arc<Adopted<T>>>,
}

impl<T> InForce<T> {
    /// The value in force.
    #[must_use]
    pub fn current(&self) -> Arc<Adopted<T>> {
        self.current.borrow().clone()
    }

    /// Puts `adopted` in force.
    pub fn adopt(&self, adopted: Adopted<T>) {
        self.current.send_replace(Arc::new(adopted));
    }

    /// Signals the value in force, unless there is none yet, and then each new one.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<Arc<Adopted<T>>> {
        let mut changes = self.current.subscribe();
        // A task may subscribe after the first value has come.
        if changes.borrow().revision > Revision(0) {
            changes.mark_changed();
        }
        changes
    }
}
