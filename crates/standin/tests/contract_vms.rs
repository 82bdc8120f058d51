//! Contract of the VM list, as documented in docs/INTERFACES.md.

mod common;
#[macro_use]
#[path = "common/table.rs"]
mod table;

use std::time::Duration;

use apricothall_standin::vms::VmService;
use apricothall_types::{MemberId, Revision, Role, Vm, VmList, VmState};
use common::{any, get};

fn id(name: &str) -> MemberId {
    name.parse().expect("valid")
}

fn vm(name: &str) -> Vm {
    Vm {
        id: id(name),
        address: "127.0.0.1:7000".parse().expect("valid"),
        role: Role::Agent,
        region: "lima".parse().expect("valid"),
        zone: "lima-a".parse().expect("valid"),
        state: VmState::Live,
        since: Revision(0),
    }
}

async fn service() -> VmService {
    let service = VmService::start(any()).await.expect("service starts");
    service.list([vm("a"), vm("b")]);
    service
}

async fn read(s: &VmService) -> VmList {
    let answer = get(s.address(), "/v1/vms").await;
    assert_eq!(answer.status, 200);
    answer.json().expect("valid VM list")
}

fn since(list: &VmList, name: &str) -> Option<u64> {
    list.vms
        .iter()
        .find(|v| v.id == id(name))
        .map(|v| v.since.0)
}

contract! {
    s: VmService = service;
    list_is_json_with_a_revision: {
        let list = read(&s).await;
        assert_eq!((list.revision, list.vms.len()), (Revision(1), 2));
    }
    since_is_the_revision_that_first_listed_the_vm: {
        s.list([vm("c")]);
        s.mark_leaving(&id("a"));
        let list = read(&s).await;
        assert_eq!([since(&list, "a"), since(&list, "b"), since(&list, "c")], [Some(1), Some(1), Some(2)]);
        assert_eq!(list.vms[0].state, VmState::Leaving);
    }
    vm_listed_again_gets_a_new_since: {
        s.remove_vm(&id("a"));
        assert_eq!(since(&read(&s).await, "a"), None);
        s.list([vm("a")]);
        assert_eq!(since(&read(&s).await, "a"), Some(3));
    }
    watch_answers_as_soon_as_the_revision_exceeds: {
        let (answer, _) = tokio::join!(get(s.address(), "/v1/vms?after=1&wait_ms=60000"), async {
            tokio::task::yield_now().await;
            s.remove_vm(&id("b"))
        });
        let list: VmList = answer.json().expect("valid VM list");
        assert_eq!((list.revision, list.vms.len()), (Revision(2), 1));
    }
    watch_is_304_after_its_wait: {
        assert_eq!(get(s.address(), "/v1/vms?after=1&wait_ms=20").await.status, 304);
    }
    list_lags: {
        s.set_lag(Duration::from_hours(1));
        s.remove_vm(&id("a"));
        assert_eq!(read(&s).await.revision, Revision(1));
    }
    change_shows_after_the_lag: {
        s.set_lag(Duration::from_millis(20));
        s.remove_vm(&id("a"));
        let answer = get(s.address(), "/v1/vms?after=1&wait_ms=60000").await;
        assert_eq!(answer.json::<VmList>().expect("valid VM list").vms.len(), 1);
    }
    held_list_shows_no_change_until_released: {
        s.set_held(true);
        s.remove_vm(&id("a"));
        assert_eq!(read(&s).await.revision, Revision(1));
        s.set_held(false);
        assert_eq!(read(&s).await.revision, Revision(2));
    }
}
