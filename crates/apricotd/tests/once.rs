//! At-most-once execution with real processes: each row injects one fault, with a ticket and with a
//! key alone, and counts executions at the services.

mod fixture;

use std::time::Duration;

use apricothall_standin::network::{Fault, Rule, Side};
use apricothall_standin::server::Mode;
use apricothall_types::MemberId;
use fixture::booking::{Booking, Desk, POOL, SPARE, Told, Way};

/// Deadline of calls that meet no fault, in milliseconds.
const LONG: u64 = 8_000;

/// Deadline of calls that are expected to fail, in milliseconds.
const SHORT: u64 = 1_500;

/// Delay before a service answers.
const SLOW: Duration = Duration::from_millis(600);

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
    calm, lost_answer, entry_killed, two_at_once, views_differ, home_killed, home_frozen,
    home_restarted, home_replaced, list_drops_living, list_out, entry_cut_from_home,
    agents_cut, pool_replaced,
}

fn others(home: &str) -> Vec<&'static str> {
    POOL.into_iter().filter(|id| *id != home).collect()
}

fn slow(desk: &Desk) {
    for id in POOL {
        desk.service(id).set_delay(Duration::ZERO, SLOW);
    }
}

/// Sends the call through `entry-0`, runs `then` once a service executes it, and returns the
/// response.
async fn running(desk: &Desk, booking: &Booking, deadline: u64, then: impl AsyncFnOnce()) -> Told {
    let call = desk.book("entry-0", booking, deadline);
    let fault = async {
        desk.reached(booking).await;
        then().await;
    };
    tokio::join!(call, fault).0
}

/// Prints latency and claims of calls without a fault; run with `--nocapture`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn price_of_a_call() {
    const CALLS: usize = 100;
    for (what, way) in [("ticket", Way::Ticket), ("key alone", Way::Key)] {
        let desk = Desk::start(way).await;
        let before = desk.metric("apricothall_claims_sent_total").await;
        let mut times = Vec::new();
        let mut bookings = Vec::new();
        for i in 0..CALLS {
            let booking = desk.booking(&format!("price-{i}")).await;
            let start = std::time::Instant::now();
            assert_eq!(desk.book("entry-0", &booking, LONG).await, Told::Done);
            times.push(start.elapsed());
            bookings.push(booking);
        }
        times.sort_unstable();
        let claims = desk.metric("apricothall_claims_sent_total").await - before;
        println!(
            "{what}: median {:?}, p95 {:?}, claims sent for {CALLS} calls: {claims}",
            times[CALLS / 2],
            times[CALLS * 95 / 100]
        );
        desk.close(&bookings.iter().collect::<Vec<_>>()).await;
    }
}

mod run {
    use super::*;

    pub async fn calm(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("calm").await;
        assert_eq!(desk.book("entry-0", &booking, LONG).await, Told::Done);
        assert_eq!(desk.book("entry-1", &booking, LONG).await, Told::Done);
        desk.close(&[&booking]).await;
    }

    pub async fn lost_answer(way: Way) {
        let desk = Desk::start(way).await;
        for id in POOL {
            desk.service(id).drop_answers(1);
        }
        let booking = desk.booking("lost").await;
        assert!(desk.book("entry-0", &booking, LONG).await.is("unknown"));
        assert!(desk.book("entry-1", &booking, LONG).await.is("unknown"));
        desk.close(&[&booking]).await;
    }

    pub async fn entry_killed(way: Way) {
        let desk = Desk::start(way).await;
        slow(&desk);
        let booking = desk.booking("entry").await;
        let process = desk.fleet.node("entry-0").process.as_ref().expect("runs");
        let told = running(&desk, &booking, LONG, async || process.kill()).await;
        assert_eq!(told, Told::Nothing);
        assert_eq!(desk.book("entry-1", &booking, LONG).await, Told::Done);
        desk.close(&[&booking]).await;
    }

    pub async fn two_at_once(way: Way) {
        let desk = Desk::start(way).await;
        slow(&desk);
        let booking = desk.booking("twice").await;
        let first = desk.book("entry-0", &booking, LONG);
        let second = desk.book("entry-1", &booking, LONG);
        let (first, second) = tokio::join!(first, second);
        assert_eq!((first, second), (Told::Done, Told::Done));
        desk.close(&[&booking]).await;
    }

    pub async fn views_differ(way: Way) {
        let desk = Desk::start(way).await;
        slow(&desk);
        let booking = desk.booking("views").await;
        let (entry, home) = (Side::vm("entry-1"), Side::vm(&booking.home));
        let _ = desk.fleet.network.add_both(&entry, &home, &Fault::Reset);
        let first = desk.book("entry-0", &booking, LONG);
        let second = desk.book("entry-1", &booking, SHORT);
        let (first, second) = tokio::join!(first, second);
        assert!(first == Told::Done || second == Told::Done || way == Way::Key);
        desk.book("entry-0", &booking, LONG).await;
        desk.close(&[&booking]).await;
    }

    pub async fn home_killed(way: Way) {
        let desk = Desk::start(way).await;
        slow(&desk);
        let booking = desk.booking("killed").await;
        let process = desk
            .fleet
            .node(&booking.home)
            .process
            .as_ref()
            .expect("runs");
        let told = running(&desk, &booking, SHORT, async || process.kill()).await;
        assert!(told.is("unknown"), "{told:?}");
        desk.sees("entry-1", &others(&booking.home)).await;
        let told = desk.book("entry-1", &booking, SHORT).await;
        assert!(told.is("unknown"), "{told:?}");
        desk.close(&[&booking]).await;
    }

    pub async fn home_frozen(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("frozen").await;
        let process = desk
            .fleet
            .node(&booking.home)
            .process
            .as_ref()
            .expect("runs");
        process.freeze();
        let told = desk.book("entry-0", &booking, SHORT).await;
        assert!(told.is("unknown"), "{told:?}");
        process.thaw();
        desk.sees("entry-1", &POOL).await;
        // The order may have been revoked before the home read it.
        let told = desk.book("entry-1", &booking, SHORT).await;
        assert!(told == Told::Done || told.is("not_run"), "{told:?}");
        desk.close(&[&booking]).await;
    }

    pub async fn home_restarted(way: Way) {
        let mut desk = Desk::start(way).await;
        let booking = desk.booking("restarted").await;
        assert_eq!(desk.book("entry-0", &booking, LONG).await, Told::Done);
        let home = booking.home.clone();
        let before = desk.fleet.node(&home).status().await.expect("status");
        desk.fleet.node_mut(&home).kill().await;
        desk.fleet.node_mut(&home).launch().expect("starts");
        let known = desk.fleet.status_until("entry-1", "a new start", |status| {
            let members = status["members"].as_array().into_iter().flatten();
            let mut new = members.filter(|m| m["id"] == home.as_str());
            new.any(|m| m["incarnation"] != before["daemon"]["incarnation"])
        });
        known.await.expect("in time");
        let told = desk.book("entry-1", &booking, SHORT).await;
        assert!(told.is("unknown"), "{told:?}");
        desk.close(&[&booking]).await;
    }

    pub async fn home_replaced(way: Way) {
        let mut desk = Desk::start(way).await;
        let booking = desk.booking("replaced").await;
        assert_eq!(desk.book("entry-0", &booking, LONG).await, Told::Done);
        desk.remove(&booking.home).await;
        desk.add(SPARE[0]).await;
        let mut alive = others(&booking.home);
        alive.push(SPARE[0]);
        desk.sees("entry-1", &alive).await;
        let told = desk.book("entry-1", &booking, SHORT).await;
        assert!(told.is("unknown"), "{told:?}");
        desk.close(&[&booking]).await;
    }

    pub async fn list_drops_living(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("dropped").await;
        let id: MemberId = booking.home.parse().expect("valid id");
        desk.fleet.platform.vms.remove_vm(&id);
        desk.claims(&booking.home, "no lease", |c| c["lease"] != true)
            .await;
        desk.book("entry-0", &booking, SHORT).await;
        let vm = desk.fleet.node(&booking.home).vm().expect("a VM");
        desk.fleet.platform.vms.list([vm]);
        desk.sees("entry-1", &POOL).await;
        desk.book("entry-1", &booking, SHORT).await;
        desk.close(&[&booking]).await;
    }

    pub async fn list_out(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("out").await;
        desk.fleet.platform.vms.set_mode(Mode::Refuse);
        for id in POOL {
            desk.claims(id, "no lease", |c| c["lease"] != true).await;
        }
        let told = desk.book("entry-0", &booking, SHORT).await;
        match way {
            Way::Ticket => assert_eq!(told, Told::Done),
            Way::Key => assert!(told.is("unknown"), "{told:?}"),
        }
        desk.fleet.platform.vms.set_mode(Mode::Open);
        desk.settled(&POOL).await;
        assert_eq!(desk.book("entry-1", &booking, LONG).await, Told::Done);
        desk.close(&[&booking]).await;
    }

    pub async fn entry_cut_from_home(way: Way) {
        let desk = Desk::start(way).await;
        slow(&desk);
        let booking = desk.booking("cut").await;
        let (entry, home) = (Side::vm("entry-0"), Side::vm(&booking.home));
        let network = &desk.fleet.network;
        let cut = async || network.inject(Rule::new(entry, home, Fault::Reset));
        let told = running(&desk, &booking, SHORT, cut).await;
        assert_ne!(told, Told::Nothing);
        assert_eq!(desk.book("entry-1", &booking, LONG).await, Told::Done);
        desk.close(&[&booking]).await;
    }

    pub async fn agents_cut(way: Way) {
        let desk = Desk::start(way).await;
        let booking = desk.booking("agents").await;
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let (a, b) = (Side::vm(POOL[a]), Side::vm(POOL[b]));
            let _ = desk.fleet.network.add_both(&a, &b, &Fault::Reset);
        }
        let first = desk.book("entry-0", &booking, SHORT);
        let second = desk.book("entry-1", &booking, SHORT);
        let told = tokio::join!(first, second);
        // The oldest agent needs no claims from others, so the pool still accepts calls.
        assert!(told.0 == Told::Done || told.1 == Told::Done, "{told:?}");
        desk.close(&[&booking]).await;
    }

    pub async fn pool_replaced(way: Way) {
        let mut desk = Desk::start(way).await;
        let old = desk.booking("old").await;
        assert_eq!(desk.book("entry-0", &old, LONG).await, Told::Done);
        for (gone, new) in POOL.into_iter().zip(SPARE) {
            desk.remove(gone).await;
            desk.add(new).await;
        }
        desk.sees("entry-1", &SPARE).await;
        let told = desk.book("entry-1", &old, SHORT).await;
        assert!(told.is("unknown"), "{told:?}");
        if way == Way::Key {
            desk.settled(&SPARE).await;
        }
        // Either entry may issue the ticket, also one that still sees the old pool.
        desk.sees("entry-0", &SPARE).await;
        let new = desk.booking("new").await;
        if way == Way::Ticket {
            assert!(
                SPARE.contains(&new.home.as_str()),
                "{} is not in the current pool",
                new.home
            );
        }
        assert_eq!(desk.book("entry-1", &new, LONG).await, Told::Done);
        desk.close(&[&old, &new]).await;
    }
}
