//! Fetch of values from other daemons, as a patch of the local text where the peer has that text.

use std::net::SocketAddr;
use std::sync::Arc;

use apricothall_clients::Value;
use apricothall_decide::delta;
use apricothall_decide::membership::GossipMessage;
use apricothall_decide::revision::Source;
use apricothall_types::{Digest, Revision};
use apricothall_wire::{Published, PublishedText, WireError};
use tokio::sync::broadcast;

use super::Follower;

impl<T: Default + Send + Sync + 'static> Follower<T> {
    pub(super) async fn follow_peers(
        self: Arc<Self>,
        mut received: broadcast::Receiver<Arc<GossipMessage>>,
    ) {
        loop {
            match received.recv().await {
                Ok(message) => self.handle_message(&message).await,
                // Messages lost under load are replaced by later ones, which carry the same heads.
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return,
            }
        }
    }

    /// Fetches the value from the sender if its message announces a revision to be fetched.
    async fn handle_message(&self, message: &GossipMessage) {
        let number = self.subject as u8;
        let head = message.heads.iter().find(|h| h.subject == number);
        let head = head.map(|h| (h.revision, h.mark));
        let now = self.clock.now();
        let chosen = self.lock().observe_peer_head(&message.own.id, head, now);
        let Some(peer) = chosen else {
            return;
        };
        match self.fetch_value(message.own.address).await {
            Ok(Some(value)) => self.offer(&Source::Peer(peer), value),
            Ok(None) => self.lock().fetch_failed(&peer),
            Err(error) => {
                tracing::debug!(subject = ?self.subject, %peer, %error, "cannot fetch value from peer");
                self.lock().fetch_failed(&peer);
            }
        }
    }

    /// Fetches a peer's value as a patch of the local text, or as full text if the patch does not
    /// apply.
    async fn fetch_value(&self, address: SocketAddr) -> Result<Option<Value>, WireError> {
        let current = self.current();
        let known = current.revision > Revision(0);
        let base = known.then(|| Digest::of(current.text.as_bytes()));
        let Some(Published { revision, text }) = self.request_published(address, base).await?
        else {
            return Ok(None);
        };
        let text = match text {
            PublishedText::Whole(text) => text,
            PublishedText::Patch(patch) => match delta::apply(&current.text, &patch) {
                Ok(text) => text.into(),
                Err(error) => {
                    tracing::warn!(subject = ?self.subject, %error, "patch does not apply; fetching the full text");
                    return self.fetch_full_text(address).await;
                }
            },
        };
        Ok(Some(Value { revision, text }))
    }

    async fn fetch_full_text(&self, address: SocketAddr) -> Result<Option<Value>, WireError> {
        let published = self.request_published(address, None).await?;
        Ok(
            published.and_then(|Published { revision, text }| match text {
                PublishedText::Whole(text) => Some(Value { revision, text }),
                PublishedText::Patch(_) => None,
            }),
        )
    }

    async fn request_published(
        &self,
        address: SocketAddr,
        base: Option<Digest>,
    ) -> Result<Option<Published>, WireError> {
        let call = async {
            let client = self.connector.peer(address).await?;
            let context = tarpc::context::current();
            Ok(client.published(context, self.subject, base).await?)
        };
        let called = tokio::time::timeout(self.call_timeout, call).await;
        called.map_err(|_| WireError::Timeout)?
    }
}
