//! Where the plug-in that holds claims answers those of other agents.

use std::sync::OnceLock;

use apricothall_decide::claims::{ClaimReply, ClaimRequest};
use apricothall_types::EntryName;

type Handler = Box<dyn Fn(&EntryName, &ClaimRequest) -> Option<ClaimReply> + Send + Sync>;

/// Passes claims of other agents on to the plug-in that answers them.
#[derive(Default)]
pub struct ClaimHandler {
    handler: OnceLock<Handler>,
}

impl ClaimHandler {
    /// Answers claims from now on. Only the first call has an effect.
    pub fn set_handler(
        &self,
        handler: impl Fn(&EntryName, &ClaimRequest) -> Option<ClaimReply> + Send + Sync + 'static,
    ) {
        // An error means that claims are answered already.
        let _ = self.handler.set(Box::new(handler));
    }

    /// The answer to a claim, if this daemon gives one.
    #[must_use]
    pub fn handle(&self, name: &EntryName, request: &ClaimRequest) -> Option<ClaimReply> {
        self.handler.get()?(name, request)
    }
}
