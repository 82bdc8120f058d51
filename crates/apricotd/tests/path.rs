//! End to end with real processes: weights are transferred, then a completion is served.

mod fixture;

use apricothall_standin::caller::CallOptions;
use apricothall_standin::completion::completion;
use fixture::{MODEL, assert_whole, caller, catalogue, plan, start_fleet, wait_serving};

#[tokio::test(flavor = "multi_thread")]
async fn draft_is_served_whole_after_the_weights_arrive() {
    let plan = plan(1, 2).with_catalogue(catalogue(1, 2, &[]));
    let fleet = start_fleet(plan).await;
    for agent in ["engine-0", "engine-1"] {
        wait_serving(&fleet, "entry-0", agent, "1").await;
    }
    fleet.ready().await.expect("ready");
    let caller = caller(&fleet, "crew");
    let list = caller.entries().await.expect("entries are listed");
    assert_eq!(list.entries.len(), 1);
    let request = completion(MODEL, "span 12: two trees down", 20);
    let answer = caller.complete(request, &CallOptions::default()).await;
    assert_whole(&answer);
    fleet.close().await;
}
