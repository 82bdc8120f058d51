//! Where the plug-in that holds claims answers those of other agents.

use std::sync::OnceLock;

use apricothall_decide::claims::{ClaimReply, ClaimRequest};
use apricothall_types::EntryName;

type Answer = Box<dyn Fn(&EntryName, &ClaimRequest) -> Option<ClaimReply> + Send + Sync>;

/// Passes claims of other agents on to the plug-in that answers them.
#[derive(Default)]
pub struct ClaimHandler {
    answer: OnceLock<Answer>,
}

impl ClaimHandler {
    /// Answers claims from now on. Only the first call has an effect.
    pub fn set_handler(
        &self,
        answer: impl Fn(&EntryName, &ClaimRequest) -> Option<ClaimReply> + Send + Sync + 'static,
    ) {
        // An error means that claims are answered already.
        let _ = self.answer.set(Box::new(answer));
    }

    /// The answer to a claim, if this daemon gives one.
    #[must_use]
    pub fn handle(&self, name: &EntryName, ask: &ClaimRequest) -> Option<ClaimReply> {
        self.answer.get()?(name, ask)
    }
}
