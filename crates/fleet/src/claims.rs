//! Dispatch of claim requests from other agents to the plug-in that holds the claims.

use std::sync::OnceLock;

use apricothall_decide::claims::{ClaimReply, ClaimRequest};
use apricothall_types::EntryName;

type Handler = Box<dyn Fn(&EntryName, &ClaimRequest) -> Option<ClaimReply> + Send + Sync>;

/// Dispatches claim requests to the registered handler.
#[derive(Default)]
pub struct ClaimHandler {
    handler: OnceLock<Handler>,
}

impl ClaimHandler {
    /// Registers the handler. Only the first call has an effect.
    pub fn set_handler(
        &self,
        handler: impl Fn(&EntryName, &ClaimRequest) -> Option<ClaimReply> + Send + Sync + 'static,
    ) {
        // An error means that a handler is already registered.
        let _ = self.handler.set(Box::new(handler));
    }

    /// Returns the reply to a claim, or `None` if there is no handler or it gives no reply.
    #[must_use]
    pub fn handle(&self, name: &EntryName, request: &ClaimRequest) -> Option<ClaimReply> {
        self.handler.get()?(name, request)
    }
}
