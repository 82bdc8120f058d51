//! A call reported as `not_run` has not been executed and never is: each row injects one fault,
//! with a ticket and with a key alone, and repeats the call through the other entry.

mod fixture;

use std::time::Duration;

use apricothall_standin::network::{Fault, Port, Rule, Side};
use fixture::booking::{Booking, Desk, POOL, Told, Way};
use tokio::time::Instant;

/// Deadline of calls that meet no fault, in milliseconds.
const LONG: u64 = 8_000;

/// Deadline of calls that are expected to fail, in milliseconds.
const SHORT: u64 = 1_500;

/// Deadline in ms that is long enough, on a busy machine, to transmit the order and freeze the
/// entry.
const FREEZING: u64 = 4_000;

/// Size in bytes of a body that makes up most of the bytes sent by the entry.
const LARGE: usize = 200_000;

/// Size in bytes of a body that fits the flow-control window of a frozen home.
const BUFFERED: usize = 50_000;

/// Delay before a service answers.
const SLOW: Duration = Duration::from_millis(1_500);

/// Margin after a deadline by which it has passed for all processes, including clock skew and slow
/// starts.
const GRACE: Duration = Duration::from_secs(1);

/// Defines both variants of each row.
macro_rules! rows {
    ($($case:ident),* $(,)?) => {
        $(mod $case {
            use super::Way;
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn with_ticket() { super::run::$case(Way::Ticket).await; }
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn with_key() { super::run::$case(Way::Key).await; }
        })*
    };
}

rows! {
    cut_before, cut_during, cut_after, home_frozen_past_deadline, entry_frozen_past_deadline,
    leaving_with_copy, leaving_unseen, claim_lost, tombstone_lost, service_down,
}

async fn large(desk: &Desk, name: &str) -> Booking {
    let mut booking = desk.booking(name).await;
    booking.body = "x".repeat(LARGE);
    booking
}

fn way_to(entry: &str, home: &str, fault: Fault) -> Rule {
    Rule::new(Side::vm(entry), Side::vm(home), fault).on(Port::Peers)
}

mod run {
    use super::*;

    pub async fn cut_before(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("before").await;
        for id in POOL {
            desk.fleet
                .network
                .inject(way_to("entry-0", id, Fault::Reset));
        }
        let told = desk.book("entry-0", &booking, SHORT).await;
        assert!(told.is("unknown"), "{told:?}");
        assert_eq!(desk.book("entry-1", &booking, LONG).await, Told::Done);
        desk.close(&[&booking]).await;
    }

    pub async fn cut_during(way: Way) {
        let desk = Desk::start(way).await;
        let booking = large(&desk, "during").await;
        let fault = Fault::reset_after(LARGE as u64 / 2);
        desk.fleet
            .network
            .inject(way_to("entry-0", &booking.home, fault));
        desk.book("entry-0", &booking, SHORT).await;
        let told = desk.book("entry-1", &booking, LONG).await;
        assert_eq!(told, Told::Done);
        desk.close(&[&booking]).await;
    }

    pub async fn cut_after(way: Way) {
        let desk = Desk::start(way).await;
        let booking = large(&desk, "after").await;
        for id in POOL {
            desk.service(id).set_delay(Duration::ZERO, SLOW);
        }
        let cut = async {
            desk.reached(&booking).await;
            for id in POOL {
                desk.fleet
                    .network
                    .inject(way_to("entry-0", id, Fault::Reset));
            }
        };
        let (told, ()) = tokio::join!(desk.book("entry-0", &booking, SHORT), cut);
        assert!(told.is("unknown"), "{told:?}");
        assert_eq!(desk.book("entry-1", &booking, LONG).await, Told::Done);
        desk.close(&[&booking]).await;
    }

    /// The order is in a buffer of the frozen home, and its entry, frozen too, cannot revoke it.
    pub async fn home_frozen_past_deadline(way: Way) {
        let desk = Desk::start(way).await;
        let mut booking = large(&desk, "late").await;
        booking.body.truncate(BUFFERED);
        let end = Instant::now() + Duration::from_millis(FREEZING) + GRACE;
        let before = desk.sent("entry-0", &booking.home);
        desk.process(&booking.home).freeze();
        let freeze = async {
            desk.carried("entry-0", &booking.home, before, BUFFERED as u64)
                .await;
            desk.process("entry-0").freeze();
            tokio::time::sleep_until(end).await;
            desk.process(&booking.home).thaw();
            if way == Way::Ticket {
                let buried = desk
                    .fleet
                    .status_until(&booking.home, "a tombstone", |status| {
                        status["register"]["calls"] == 1
                    });
                buried.await.expect("in time");
            }
            desk.sees("entry-1", &POOL).await;
            desk.book("entry-1", &booking, SHORT).await
        };
        let first = async {
            let call = desk.book("entry-0", &booking, FREEZING);
            tokio::time::timeout_at(end + Duration::from_secs(20), call).await
        };
        let told = tokio::select! {
            told = freeze => told,
            _ = first => panic!("the frozen entry answered"),
        };
        desk.process("entry-0").thaw();
        assert!(way == Way::Key || told.is("not_run"), "{told:?}");
        desk.close(&[&booking]).await;
    }

    /// The entry is thawed after the deadline, with the order still to be sent.
    pub async fn entry_frozen_past_deadline(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("asleep").await;
        let end = Instant::now() + Duration::from_millis(SHORT) + GRACE;
        let stall = desk
            .fleet
            .network
            .add(way_to("entry-0", &booking.home, Fault::Stall));
        let wake = async {
            tokio::time::sleep(Duration::from_millis(SHORT / 3)).await;
            desk.process("entry-0").freeze();
            tokio::time::sleep_until(end).await;
            desk.fleet.network.remove_rules(&[stall]);
            desk.process("entry-0").thaw();
        };
        let (told, ()) = tokio::join!(desk.book("entry-0", &booking, SHORT), wake);
        // The thawed entry may still receive the tombstone that the late order left.
        let open = told.is("unknown") || told.is("not_run");
        assert!(way == Way::Key || open, "{told:?}");
        let ran = desk.executions(&booking);
        assert!(ran == 0 || way == Way::Key, "a late order was executed");
        desk.sees("entry-1", &POOL).await;
        desk.book("entry-1", &booking, SHORT).await;
        desk.close(&[&booking]).await;
    }

    /// The home leaves while it runs the call, and a copy of the call arrives.
    pub async fn leaving_with_copy(way: Way) {
        let desk = Desk::start(way).await;
        for id in POOL {
            desk.service(id).set_delay(Duration::ZERO, SLOW);
        }
        let booking = desk.booking("copy").await;
        let copy = async {
            desk.reached(&booking).await;
            desk.process(&booking.home).terminate();
            desk.book("entry-1", &booking, LONG).await
        };
        let (first, second) = tokio::join!(desk.book("entry-0", &booking, LONG), copy);
        assert_eq!(first, Told::Done);
        assert!(!second.is("not_run"), "{second:?}");
        desk.close(&[&booking]).await;
    }

    /// The home leaves, kept running by another call, and a new call arrives.
    pub async fn leaving_unseen(way: Way) {
        let desk = Desk::start(way).await;
        for id in POOL {
            desk.service(id).set_delay(Duration::ZERO, SLOW);
        }
        let holder = desk.booking("holder").await;
        let mut booking = desk.booking("unseen").await;
        if let Some(ticket) = &holder.ticket {
            let (prefix, _) = holder.key.split_at(holder.key.len() - "holder".len());
            booking.key = format!("{prefix}unseen").into();
            booking.ticket = Some(ticket.clone());
        }
        let arrive = async {
            desk.reached(&holder).await;
            desk.process(&holder.home).terminate();
            let told = desk.book("entry-1", &booking, SHORT).await;
            desk.book("entry-0", &booking, SHORT).await;
            told
        };
        let (_, told) = tokio::join!(desk.book("entry-0", &holder, LONG), arrive);
        assert!(way == Way::Key || !told.is("failed"), "{told:?}");
        desk.close(&[&holder, &booking]).await;
    }

    pub async fn claim_lost(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("claim").await;
        let mut rules = Vec::new();
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let (a, b) = (Side::vm(POOL[a]), Side::vm(POOL[b]));
            rules.extend(desk.fleet.network.add_both(&a, &b, &Fault::Cut));
        }
        desk.book("entry-0", &booking, SHORT).await;
        desk.fleet.network.remove_rules(&rules);
        desk.sees("entry-1", &POOL).await;
        assert_eq!(desk.book("entry-1", &booking, LONG).await, Told::Done);
        desk.close(&[&booking]).await;
    }

    /// The home's answer to the entry is lost.
    pub async fn tombstone_lost(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("tombstone").await;
        let (home, entry) = (Side::vm(&booking.home), Side::vm("entry-0"));
        let cut = desk.fleet.network.add(Rule::new(home, entry, Fault::Cut));
        let told = desk.book("entry-0", &booking, SHORT).await;
        assert!(way == Way::Key || told.is("unknown"), "{told:?}");
        desk.fleet.network.remove_rules(&[cut]);
        desk.book("entry-1", &booking, LONG).await;
        desk.close(&[&booking]).await;
    }

    /// No byte reaches the service: the register marks the call as never to be run.
    pub async fn service_down(way: Way) {
        use apricothall_standin::server::Mode;
        let desk = Desk::start(way).await;
        let booking = desk.booking("down").await;
        for id in POOL {
            desk.service(id).set_mode(Mode::Refuse);
        }
        desk.book("entry-0", &booking, SHORT).await;
        for id in POOL {
            desk.service(id).set_mode(Mode::Open);
        }
        desk.book("entry-1", &booking, SHORT).await;
        desk.close(&[&booking]).await;
    }
}
