//! Requests in flight at a server, and what their result indicates about the server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use apricothall_decide::quarantine::Crash;
use apricothall_types::{Digest, Timestamp};

use crate::Context;
use crate::fleet::{Placed, TokenReservation};
use crate::quarantine::{Loss, Suspect, crash_of};

/// Counts a request that may have crashed servers as being at, or being sent to, a server until
/// dropped.
pub struct AntiAffinityGuard {
    context: Context,
    address: SocketAddr,
    crashes: u32,
}

impl AntiAffinityGuard {
    /// Counts the request with `fingerprint`, which is being sent to `address`.
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

/// Counts a request as in flight until dropped. A request dropped before it is settled is recorded
/// as a crash of the server, until the server is observed again with the same start time.
pub struct InFlight {
    context: Context,
    address: SocketAddr,
    suspect: Suspect,
    crash: Crash,
    sent: Timestamp,
    /// When the first event arrived.
    begun: OnceLock<Timestamp>,
    _anti_affinity: AntiAffinityGuard,
    _reservation: Option<Arc<TokenReservation>>,
    settled: AtomicBool,
}

impl InFlight {
    /// Counts the request that may crash its server, `suspect`, as in flight at the server in
    /// `placed`.
    #[must_use]
    pub fn begin(context: &Context, placed: &Placed, suspect: Suspect, now: Timestamp) -> Self {
        let server = &placed.server;
        context.fleet.request_started(server.address, now);
        let fingerprint = &suspect.fingerprint;
        Self {
            context: context.clone(),
            address: server.address,
            crash: crash_of(server),
            sent: now,
            begun: OnceLock::new(),
            _anti_affinity: AntiAffinityGuard::begin(context, server.address, fingerprint),
            _reservation: placed.reservation.clone(),
            suspect,
            settled: AtomicBool::new(false),
        }
    }

    /// Records that the server responded or that it never received the request.
    pub fn settle(&self) {
        self.settled.store(true, Ordering::Relaxed);
    }

    /// Records that the server started to respond.
    pub fn answered(&self) {
        self.settle();
        let now = self.context.clock.now();
        let quarantine = &self.context.quarantine;
        if quarantine.has_inferred_crashes() {
            quarantine.answered(&self.crash, self.sent, now);
        }
    }

    /// Records that an event of the response arrived.
    pub fn event_received(&self) {
        self.begun.get_or_init(|| self.context.clock.now());
    }

    /// Records that the response was complete.
    pub fn completed(&self) {
        self.answered();
        let now = self.context.clock.now();
        self.context.quarantine.completed(&self.suspect, now);
    }

    /// Records that the response was lost.
    pub fn lost(&self, loss: Loss) {
        self.settle();
        let now = self.context.clock.now();
        let quarantine = &self.context.quarantine;
        quarantine.lost(self.suspect.fingerprint, &self.crash, loss, now);
        if loss == Loss::Broken {
            let written = self.begun.get().map(|begun| now.since(*begun));
            quarantine.parts_lost(&self.suspect, &self.crash, written, now);
        }
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
