//! A call reported as `not_run` has not been executed and never is: each row injects one fault,
//! with a ticket and with a key alone, and repeats the call through the other entry.

mod fixture;

use std::time::Duration;

use apricothall_standin::network::{Fault, Port, Rule, Side};
use fixture::booking::{
    Booking, BookingHarness, DEADLINE_MS, POOL, Response, Routing, SHORT_DEADLINE_MS, rows,
};
use tokio::time::Instant;

/// Deadline in ms that is long enough, on a busy machine, to transmit the order and freeze the
/// entry.
const FREEZE_DEADLINE_MS: u64 = 4_000;

/// Size in bytes of a body that makes up most of the bytes sent by the entry.
const LARGE_BODY: usize = 200_000;

/// Size in bytes of a body that fits the flow-control window of a frozen home.
const BUFFERED_BODY: usize = 50_000;

/// Delay before a service answers.
const ANSWER_DELAY: Duration = Duration::from_millis(1_500);

/// Margin after a deadline by which it has passed for all processes, including clock skew and slow
/// starts.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

rows! {
    cut_before, cut_during, cut_after, home_frozen_past_deadline, entry_frozen_past_deadline,
    leaving_with_copy, leaving_with_new_call, claim_lost, tombstone_lost, service_down,
}

async fn large_booking(harness: &BookingHarness, name: &str) -> Booking {
    let mut booking = harness.new_booking(name).await;
    booking.body = "x".repeat(LARGE_BODY);
    booking
}

fn link_fault(entry: &str, home: &str, fault: Fault) -> Rule {
    Rule::new(Side::vm(entry), Side::vm(home), fault).on(Port::Peers)
}

mod run {
    use super::*;

    pub async fn cut_before(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("before").await;
        for id in POOL {
            harness
                .fleet
                .network
                .inject(link_fault("entry-0", id, Fault::Reset));
        }
        let response = harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
        assert!(response.has_outcome("unknown"), "{response:?}");
        harness.assert_answered("entry-1", &booking).await;
        harness.close(&[&booking]).await;
    }

    pub async fn cut_during(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = large_booking(&harness, "during").await;
        let fault = Fault::reset_after(LARGE_BODY as u64 / 2);
        harness
            .fleet
            .network
            .inject(link_fault("entry-0", &booking.home, fault));
        harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
        let response = harness.send("entry-1", &booking, DEADLINE_MS).await;
        assert_eq!(response, Response::Answered);
        harness.close(&[&booking]).await;
    }

    pub async fn cut_after(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = large_booking(&harness, "after").await;
        for id in POOL {
            harness.service(id).set_delay(Duration::ZERO, ANSWER_DELAY);
        }
        let cut = async {
            harness.wait_executed(&booking).await;
            for id in POOL {
                harness
                    .fleet
                    .network
                    .inject(link_fault("entry-0", id, Fault::Reset));
            }
        };
        let (response, ()) =
            tokio::join!(harness.send("entry-0", &booking, SHORT_DEADLINE_MS), cut);
        assert!(response.has_outcome("unknown"), "{response:?}");
        harness.assert_answered("entry-1", &booking).await;
        harness.close(&[&booking]).await;
    }

    /// The order is in a buffer of the frozen home, and its entry, frozen too, cannot revoke it.
    pub async fn home_frozen_past_deadline(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let mut booking = large_booking(&harness, "late").await;
        booking.body.truncate(BUFFERED_BODY);
        let end = Instant::now() + Duration::from_millis(FREEZE_DEADLINE_MS) + DEADLINE_MARGIN;
        let before = harness.bytes_sent("entry-0", &booking.home);
        harness.process(&booking.home).freeze();
        let freeze = async {
            harness
                .wait_bytes_sent("entry-0", &booking.home, before, BUFFERED_BODY as u64)
                .await;
            harness.process("entry-0").freeze();
            tokio::time::sleep_until(end).await;
            harness.process(&booking.home).thaw();
            if routing == Routing::Ticket {
                let has_tombstone =
                    harness
                        .fleet
                        .status_until(&booking.home, "a tombstone", |status| {
                            status["register"]["calls"] == 1
                        });
                has_tombstone.await.expect("in time");
            }
            harness.wait_alive("entry-1", &POOL).await;
            harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await
        };
        let first = async {
            let call = harness.send("entry-0", &booking, FREEZE_DEADLINE_MS);
            tokio::time::timeout_at(end + Duration::from_secs(20), call).await
        };
        let response = tokio::select! {
            response = freeze => response,
            _ = first => panic!("the frozen entry answered"),
        };
        harness.process("entry-0").thaw();
        assert!(
            routing == Routing::Key || response.has_outcome("not_run"),
            "{response:?}"
        );
        harness.close(&[&booking]).await;
    }

    /// The entry is thawed after the deadline, with the order still to be sent.
    pub async fn entry_frozen_past_deadline(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("asleep").await;
        let end = Instant::now() + Duration::from_millis(SHORT_DEADLINE_MS) + DEADLINE_MARGIN;
        let stall = harness
            .fleet
            .network
            .add(link_fault("entry-0", &booking.home, Fault::Stall));
        let wake = async {
            tokio::time::sleep(Duration::from_millis(SHORT_DEADLINE_MS / 3)).await;
            harness.process("entry-0").freeze();
            tokio::time::sleep_until(end).await;
            harness.fleet.network.remove_rules(&[stall]);
            harness.process("entry-0").thaw();
        };
        let (response, ()) =
            tokio::join!(harness.send("entry-0", &booking, SHORT_DEADLINE_MS), wake);
        // The thawed entry may still receive the tombstone that the late order left.
        let is_open = response.has_outcome("unknown") || response.has_outcome("not_run");
        assert!(routing == Routing::Key || is_open, "{response:?}");
        let ran = harness.executions(&booking);
        assert!(
            ran == 0 || routing == Routing::Key,
            "a late order was executed"
        );
        harness.wait_alive("entry-1", &POOL).await;
        harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await;
        harness.close(&[&booking]).await;
    }

    /// The home leaves while it runs the call, and a copy of the call arrives.
    pub async fn leaving_with_copy(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        for id in POOL {
            harness.service(id).set_delay(Duration::ZERO, ANSWER_DELAY);
        }
        let booking = harness.new_booking("copy").await;
        let copy = async {
            harness.wait_executed(&booking).await;
            harness.process(&booking.home).terminate();
            harness.send("entry-1", &booking, DEADLINE_MS).await
        };
        let (first, second) = tokio::join!(harness.send("entry-0", &booking, DEADLINE_MS), copy);
        assert_eq!(first, Response::Answered);
        assert!(!second.has_outcome("not_run"), "{second:?}");
        harness.close(&[&booking]).await;
    }

    /// The home leaves, kept running by another call, and a new call arrives.
    pub async fn leaving_with_new_call(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        for id in POOL {
            harness.service(id).set_delay(Duration::ZERO, ANSWER_DELAY);
        }
        let holder = harness.new_booking("holder").await;
        let mut booking = harness.new_booking("unseen").await;
        if let Some(ticket) = &holder.ticket {
            let (prefix, _) = holder.key.split_at(holder.key.len() - "holder".len());
            booking.key = format!("{prefix}unseen").into();
            booking.ticket = Some(ticket.clone());
        }
        let arrive = async {
            harness.wait_executed(&holder).await;
            harness.process(&holder.home).terminate();
            let response = harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await;
            harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
            response
        };
        let (_, response) = tokio::join!(harness.send("entry-0", &holder, DEADLINE_MS), arrive);
        assert!(
            routing == Routing::Key || !response.has_outcome("failed"),
            "{response:?}"
        );
        harness.close(&[&holder, &booking]).await;
    }

    pub async fn claim_lost(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("claim").await;
        let mut rules = Vec::new();
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let (a, b) = (Side::vm(POOL[a]), Side::vm(POOL[b]));
            rules.extend(harness.fleet.network.add_both(&a, &b, &Fault::Cut));
        }
        harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
        harness.fleet.network.remove_rules(&rules);
        harness.wait_alive("entry-1", &POOL).await;
        harness.assert_answered("entry-1", &booking).await;
        harness.close(&[&booking]).await;
    }

    /// The home's answer to the entry is lost.
    pub async fn tombstone_lost(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("tombstone").await;
        let (home, entry) = (Side::vm(&booking.home), Side::vm("entry-0"));
        let cut = harness
            .fleet
            .network
            .add(Rule::new(home, entry, Fault::Cut));
        let response = harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
        assert!(
            routing == Routing::Key || response.has_outcome("unknown"),
            "{response:?}"
        );
        harness.fleet.network.remove_rules(&[cut]);
        harness.send("entry-1", &booking, DEADLINE_MS).await;
        harness.close(&[&booking]).await;
    }

    /// No byte reaches the service: the register marks the call as never to be run.
    pub async fn service_down(routing: Routing) {
        use apricothall_standin::server::Mode;
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("down").await;
        for id in POOL {
            harness.service(id).set_mode(Mode::Refuse);
        }
        harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
        for id in POOL {
            harness.service(id).set_mode(Mode::Open);
        }
        harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await;
        harness.close(&[&booking]).await;
    }
}
