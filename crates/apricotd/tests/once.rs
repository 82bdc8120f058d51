//! At-most-once execution with real processes: each row injects one fault, with a ticket and with a
//! key alone, and counts executions at the services.

mod fixture;

use std::time::Duration;

use apricothall_standin::network::{Fault, Rule, Side};
use apricothall_standin::server::Mode;
use apricothall_types::MemberId;
use fixture::booking::{
    Booking, BookingHarness, DEADLINE_MS, POOL, Response, Routing, SHORT_DEADLINE_MS, SPARE, rows,
};

/// Delay before a service answers.
const ANSWER_DELAY: Duration = Duration::from_millis(600);

rows! {
    no_fault, lost_answer, entry_killed, concurrent_copies, views_differ, home_killed, home_frozen,
    home_restarted, home_replaced, vm_list_drops_living_vm, vm_list_unavailable, entry_cut_from_home,
    agents_partitioned, pool_replaced,
}

fn other_agents(home: &str) -> Vec<&'static str> {
    POOL.into_iter().filter(|id| *id != home).collect()
}

fn delay_answers(harness: &BookingHarness) {
    for id in POOL {
        harness.service(id).set_delay(Duration::ZERO, ANSWER_DELAY);
    }
}

/// Sends the call through `entry-0`, runs `then` once a service executes it, and returns the
/// response.
async fn send_with_fault(
    harness: &BookingHarness,
    booking: &Booking,
    deadline: u64,
    then: impl AsyncFnOnce(),
) -> Response {
    let call = harness.send("entry-0", booking, deadline);
    let fault = async {
        harness.wait_executed(booking).await;
        then().await;
    };
    tokio::join!(call, fault).0
}

/// Prints latency and claims of calls without a fault; run with `--nocapture`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cost_of_a_call() {
    const CALLS: usize = 100;
    for (what, routing) in [("ticket", Routing::Ticket), ("key alone", Routing::Key)] {
        let harness = BookingHarness::start(routing).await;
        let before = harness.counter_sum("apricothall_claims_sent_total").await;
        let mut times = Vec::new();
        let mut bookings = Vec::new();
        for i in 0..CALLS {
            let booking = harness.new_booking(&format!("price-{i}")).await;
            let start = std::time::Instant::now();
            harness.assert_answered("entry-0", &booking).await;
            times.push(start.elapsed());
            bookings.push(booking);
        }
        times.sort_unstable();
        let claims = harness.counter_sum("apricothall_claims_sent_total").await - before;
        println!(
            "{what}: median {:?}, p95 {:?}, claims sent for {CALLS} calls: {claims}",
            times[CALLS / 2],
            times[CALLS * 95 / 100]
        );
        harness.close(&bookings.iter().collect::<Vec<_>>()).await;
    }
}

mod run {
    use super::*;

    pub async fn no_fault(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("calm").await;
        harness.assert_answered("entry-0", &booking).await;
        harness.assert_answered("entry-1", &booking).await;
        harness.close(&[&booking]).await;
    }

    pub async fn lost_answer(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        for id in POOL {
            harness.service(id).drop_answers(1);
        }
        let booking = harness.new_booking("lost").await;
        assert!(
            harness
                .send("entry-0", &booking, DEADLINE_MS)
                .await
                .has_outcome("unknown")
        );
        assert!(
            harness
                .send("entry-1", &booking, DEADLINE_MS)
                .await
                .has_outcome("unknown")
        );
        harness.close(&[&booking]).await;
    }

    pub async fn entry_killed(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        delay_answers(&harness);
        let booking = harness.new_booking("entry").await;
        let process = harness
            .fleet
            .node("entry-0")
            .process
            .as_ref()
            .expect("runs");
        let response =
            send_with_fault(&harness, &booking, DEADLINE_MS, async || process.kill()).await;
        assert_eq!(response, Response::ConnectionLost);
        harness.assert_answered("entry-1", &booking).await;
        harness.close(&[&booking]).await;
    }

    pub async fn concurrent_copies(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        delay_answers(&harness);
        let booking = harness.new_booking("twice").await;
        let first = harness.send("entry-0", &booking, DEADLINE_MS);
        let second = harness.send("entry-1", &booking, DEADLINE_MS);
        let (first, second) = tokio::join!(first, second);
        assert_eq!((first, second), (Response::Answered, Response::Answered));
        harness.close(&[&booking]).await;
    }

    pub async fn views_differ(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        delay_answers(&harness);
        let booking = harness.new_booking("views").await;
        let (entry, home) = (Side::vm("entry-1"), Side::vm(&booking.home));
        let _ = harness.fleet.network.add_both(&entry, &home, &Fault::Reset);
        let first = harness.send("entry-0", &booking, DEADLINE_MS);
        let second = harness.send("entry-1", &booking, SHORT_DEADLINE_MS);
        let (first, second) = tokio::join!(first, second);
        assert!(
            first == Response::Answered || second == Response::Answered || routing == Routing::Key
        );
        harness.send("entry-0", &booking, DEADLINE_MS).await;
        harness.close(&[&booking]).await;
    }

    pub async fn home_killed(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        delay_answers(&harness);
        let booking = harness.new_booking("killed").await;
        let process = harness
            .fleet
            .node(&booking.home)
            .process
            .as_ref()
            .expect("runs");
        let response = send_with_fault(&harness, &booking, SHORT_DEADLINE_MS, async || {
            process.kill();
        })
        .await;
        assert!(response.has_outcome("unknown"), "{response:?}");
        harness
            .wait_alive("entry-1", &other_agents(&booking.home))
            .await;
        let response = harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await;
        assert!(response.has_outcome("unknown"), "{response:?}");
        harness.close(&[&booking]).await;
    }

    pub async fn home_frozen(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("frozen").await;
        let process = harness
            .fleet
            .node(&booking.home)
            .process
            .as_ref()
            .expect("runs");
        process.freeze();
        let response = harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
        assert!(response.has_outcome("unknown"), "{response:?}");
        process.thaw();
        harness.wait_alive("entry-1", &POOL).await;
        // The order may have been revoked before the home read it.
        let response = harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await;
        assert!(
            response == Response::Answered || response.has_outcome("not_run"),
            "{response:?}"
        );
        harness.close(&[&booking]).await;
    }

    pub async fn home_restarted(routing: Routing) {
        let mut harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("restarted").await;
        harness.assert_answered("entry-0", &booking).await;
        let home = booking.home.clone();
        let before = harness.fleet.node(&home).status().await.expect("status");
        harness.fleet.node_mut(&home).kill().await;
        harness.fleet.node_mut(&home).launch().expect("starts");
        let known = harness
            .fleet
            .status_until("entry-1", "a new start", |status| {
                let members = status["members"].as_array().into_iter().flatten();
                let mut new = members.filter(|m| m["id"] == home.as_str());
                new.any(|m| m["incarnation"] != before["daemon"]["incarnation"])
            });
        known.await.expect("in time");
        let response = harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await;
        assert!(response.has_outcome("unknown"), "{response:?}");
        harness.close(&[&booking]).await;
    }

    pub async fn home_replaced(routing: Routing) {
        let mut harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("replaced").await;
        harness.assert_answered("entry-0", &booking).await;
        harness.remove(&booking.home).await;
        harness.add(SPARE[0]).await;
        let mut alive = other_agents(&booking.home);
        alive.push(SPARE[0]);
        harness.wait_alive("entry-1", &alive).await;
        let response = harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await;
        assert!(response.has_outcome("unknown"), "{response:?}");
        harness.close(&[&booking]).await;
    }

    pub async fn vm_list_drops_living_vm(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("dropped").await;
        let id: MemberId = booking.home.parse().expect("valid id");
        harness.fleet.platform.vms.remove_vm(&id);
        harness
            .wait_claims(&booking.home, "no lease", |c| c["lease"] != true)
            .await;
        harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
        let vm = harness.fleet.node(&booking.home).vm().expect("a VM");
        harness.fleet.platform.vms.list([vm]);
        harness.wait_alive("entry-1", &POOL).await;
        harness.send("entry-1", &booking, SHORT_DEADLINE_MS).await;
        harness.close(&[&booking]).await;
    }

    pub async fn vm_list_unavailable(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("out").await;
        harness.fleet.platform.vms.set_mode(Mode::Refuse);
        for id in POOL {
            harness
                .wait_claims(id, "no lease", |c| c["lease"] != true)
                .await;
        }
        let response = harness.send("entry-0", &booking, SHORT_DEADLINE_MS).await;
        match routing {
            Routing::Ticket => assert_eq!(response, Response::Answered),
            Routing::Key => assert!(response.has_outcome("unknown"), "{response:?}"),
        }
        harness.fleet.platform.vms.set_mode(Mode::Open);
        harness.wait_settled(&POOL).await;
        harness.assert_answered("entry-1", &booking).await;
        harness.close(&[&booking]).await;
    }

    pub async fn entry_cut_from_home(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        delay_answers(&harness);
        let booking = harness.new_booking("cut").await;
        let (entry, home) = (Side::vm("entry-0"), Side::vm(&booking.home));
        let network = &harness.fleet.network;
        let cut = async || network.inject(Rule::new(entry, home, Fault::Reset));
        let response = send_with_fault(&harness, &booking, SHORT_DEADLINE_MS, cut).await;
        assert_ne!(response, Response::ConnectionLost);
        harness.assert_answered("entry-1", &booking).await;
        harness.close(&[&booking]).await;
    }

    pub async fn agents_partitioned(routing: Routing) {
        let harness = BookingHarness::start(routing).await;
        let booking = harness.new_booking("agents").await;
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let (a, b) = (Side::vm(POOL[a]), Side::vm(POOL[b]));
            let _ = harness.fleet.network.add_both(&a, &b, &Fault::Reset);
        }
        let first = harness.send("entry-0", &booking, SHORT_DEADLINE_MS);
        let second = harness.send("entry-1", &booking, SHORT_DEADLINE_MS);
        let response = tokio::join!(first, second);
        // The oldest agent needs no claims from others, so the pool still accepts calls.
        assert!(
            response.0 == Response::Answered || response.1 == Response::Answered,
            "{response:?}"
        );
        harness.close(&[&booking]).await;
    }

    pub async fn pool_replaced(routing: Routing) {
        let mut harness = BookingHarness::start(routing).await;
        let old = harness.new_booking("old").await;
        harness.assert_answered("entry-0", &old).await;
        for (gone, new) in POOL.into_iter().zip(SPARE) {
            harness.remove(gone).await;
            harness.add(new).await;
        }
        harness.wait_alive("entry-1", &SPARE).await;
        let response = harness.send("entry-1", &old, SHORT_DEADLINE_MS).await;
        assert!(response.has_outcome("unknown"), "{response:?}");
        if routing == Routing::Key {
            harness.wait_settled(&SPARE).await;
        }
        // Either entry may issue the ticket, also one that still sees the old pool.
        harness.wait_alive("entry-0", &SPARE).await;
        let new = harness.new_booking("new").await;
        if routing == Routing::Ticket {
            assert!(
                SPARE.contains(&new.home.as_str()),
                "{} is not in the current pool",
                new.home
            );
        }
        harness.assert_answered("entry-1", &new).await;
        harness.close(&[&old, &new]).await;
    }
}
