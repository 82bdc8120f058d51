//! Tokens of this entry's requests in the memory of servers.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use apricothall_decide::servers::Server;
use apricothall_types::{Timestamp, TokenCount};

use super::{Fleet, PlacementRequest, State};
use crate::Context;

/// Counts the tokens of a request at its server until dropped.
pub struct TokenReservation {
    context: Context,
    address: SocketAddr,
    tokens: TokenCount,
}

impl fmt::Debug for TokenReservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens at {}", self.tokens, self.address)
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        self.context.fleet.release_tokens(self.address, self.tokens);
    }
}

impl State {
    /// Counts the tokens of a request at `server`, if the service publishes a capacity.
    pub(super) fn reserve_tokens(
        &mut self,
        context: &Context,
        server: &Server,
        request: &PlacementRequest<'_>,
        now: Timestamp,
    ) -> Option<Arc<TokenReservation>> {
        request.engines?.capacity?;
        let tokens = request.tokens;
        let load = self.loads.entry(server.address).or_default();
        load.memory.reserve(tokens, now);
        Some(Arc::new(TokenReservation {
            context: context.clone(),
            address: server.address,
            tokens,
        }))
    }
}

impl Fleet {
    fn release_tokens(&self, address: SocketAddr, tokens: TokenCount) {
        if let Some(load) = self.state().loads.get_mut(&address) {
            load.memory.release(tokens);
        }
    }
}
