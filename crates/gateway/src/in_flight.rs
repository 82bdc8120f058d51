//! A request that is at a server, and what its end says of that server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use apricothall_decide::quarantine::Crash;
use apricothall_decide::servers::Server;
use apricothall_types::{Digest, Timestamp};

use crate::Context;
use crate::quarantine::{Loss, crash_of};

/// Counts a request under which servers may have ended as at a server, or on its way there, until
/// dropped.
pub struct AntiAffinityGuard {
    context: Context,
    address: SocketAddr,
    crashes: u32,
}

impl AntiAffinityGuard {
    /// Counts a request with `fingerprint` that was given a place at `address`.
    #[must_use]
    pub fn begin(context: &Context, address: SocketAddr, fingerprint: &Digest) -> Self {
        let crashes = context.quarantine.crashes(fingerprint);
        context.fleet.add_anti_affinity(address, crashes);
        Self {
            context: context.clone(),
            address,
            crashes,
        }
    }
}

impl Drop for AntiAffinityGuard {
    fn drop(&mut self) {
        self.context
            .fleet
            .remove_anti_affinity(self.address, self.crashes);
    }
}

/// Counts a request as in flight until dropped. The server counts as crashed with it, unless the
/// request is settled before or the server is seen later in the same life.
pub struct InFlight {
    context: Context,
    address: SocketAddr,
    fingerprint: Digest,
    crash: Crash,
    sent: Timestamp,
    _anti_affinity: AntiAffinityGuard,
    settled: AtomicBool,
}

impl InFlight {
    /// Counts a request with `fingerprint` as in flight at `server`.
    #[must_use]
    pub fn begin(context: &Context, server: &Server, fingerprint: Digest, now: Timestamp) -> Self {
        context.fleet.request_started(server.address, now);
        Self {
            context: context.clone(),
            address: server.address,
            fingerprint,
            crash: crash_of(server),
            sent: now,
            _anti_affinity: AntiAffinityGuard::begin(context, server.address, &fingerprint),
            settled: AtomicBool::new(false),
        }
    }

    /// Notes that the server answered, or never got the request.
    pub fn settle(&self) {
        self.settled.store(true, Ordering::Relaxed);
    }

    /// Notes that the server began to answer.
    pub fn answered(&self) {
        self.settle();
        let now = self.context.clock.now();
        let quarantine = &self.context.quarantine;
        if quarantine.has_inferred_crashes() {
            quarantine.answered(&self.crash, self.sent, now);
        }
    }

    /// Notes that the request was answered whole.
    pub fn completed(&self) {
        self.answered();
        let now = self.context.clock.now();
        self.context.quarantine.completed(self.fingerprint, now);
    }

    /// Notes that the answer was lost.
    pub fn lost(&self, loss: Loss) {
        self.settle();
        let now = self.context.clock.now();
        let quarantine = &self.context.quarantine;
        quarantine.lost(self.fingerprint, &self.crash, loss, now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.settled.load(Ordering::Relaxed) {
            self.lost(Loss::Silent);
        }
        self.context.fleet.request_ended(self.address);
    }
}
