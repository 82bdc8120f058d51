//! Contract of the configuration service, as documented in docs/INTERFACES.md.

mod common;
#[macro_use]
#[path = "common/table.rs"]
mod table;

use std::net::IpAddr;
use std::time::{Duration, Instant};

use apricothall_standin::client::Client;
use apricothall_standin::config::{ConfigService, View};
use apricothall_standin::server::Mode;
use apricothall_types::Revision;
use bytes::Bytes;
use common::{any, get};
use http::Method;

const KEY: &str = "/v1/keys/catalogue";

async fn service() -> ConfigService {
    let service = ConfigService::start(any()).await.expect("service starts");
    service.publish("catalogue", "one");
    service.publish("catalogue", "two");
    service
}

async fn is_reachable(service: &ConfigService, source: IpAddr) -> bool {
    let uri = format!("http://{}{KEY}", service.address());
    let client = Client::new(Some(source));
    client.call(Method::GET, &uri, Bytes::new()).await.is_ok()
}

contract! {
    s: ConfigService = service;
    value_comes_with_its_revision: {
        let answer = get(s.address(), KEY).await;
        assert_eq!((answer.status.as_u16(), &answer.body[..]), (200, &b"two"[..]));
        assert_eq!(answer.number("x-revision"), Some(2));
    }
    unset_key_is_404: {
        assert_eq!(get(s.address(), "/v1/keys/other").await.status, 404);
    }
    watch_answers_at_once_when_the_revision_exceeds: {
        let answer = get(s.address(), &format!("{KEY}?after=1&wait_ms=60000")).await;
        assert_eq!((answer.status.as_u16(), answer.number("x-revision")), (200, Some(2)));
    }
    watch_answers_as_soon_as_the_revision_exceeds: {
        let path = format!("{KEY}?after=2&wait_ms=60000");
        let (answer, ()) = tokio::join!(get(s.address(), &path), async {
            while s.reads().total == 0 {
                tokio::task::yield_now().await;
            }
            s.publish("catalogue", "three");
        });
        assert_eq!((answer.status.as_u16(), &answer.body[..]), (200, &b"three"[..]));
    }
    watch_is_304_with_the_revision_after_its_wait: {
        let start = Instant::now();
        let answer = get(s.address(), &format!("{KEY}?after=2&wait_ms=30")).await;
        assert!(start.elapsed() >= Duration::from_millis(30));
        assert_eq!((answer.status.as_u16(), answer.number("x-revision")), (304, Some(2)));
    }
    each_call_counts_and_over_the_budget_is_429: {
        s.set_budget(2);
        get(s.address(), KEY).await;
        get(s.address(), &format!("{KEY}?after=2&wait_ms=0")).await;
        let answer = get(s.address(), KEY).await;
        assert_eq!((answer.status.as_u16(), answer.number("retry-after")), (429, Some(1)));
        let reads = s.reads();
        assert_eq!((reads.total, reads.refused), (3, 1));
    }
    stale_service_shows_an_older_revision: {
        s.set_view(View::Stale(Revision(1)));
        let answer = get(s.address(), KEY).await;
        assert_eq!((answer.number("x-revision"), &answer.body[..]), (Some(1), &b"one"[..]));
        s.set_view(View::Newest);
        assert_eq!(get(s.address(), KEY).await.number("x-revision"), Some(2));
    }
    flapping_service_shows_both_by_turns: {
        s.set_view(View::Flapping(Revision(1), Revision(2)));
        let mut seen = Vec::new();
        for _ in 0..4 {
            seen.push(get(s.address(), KEY).await.number("x-revision"));
        }
        assert!(seen == [Some(1), Some(2), Some(1), Some(2)] || seen == [Some(2), Some(1), Some(2), Some(1)]);
    }
    service_that_is_down_refuses_and_comes_back: {
        let source = "127.0.0.1".parse().expect("valid");
        for mode in [Mode::Refuse, Mode::Drop] {
            s.set_mode(mode);
            while is_reachable(&s, source).await {}
            s.set_mode(Mode::Open);
            while !is_reachable(&s, source).await {}
        }
    }
    outage_by_source_leaves_others_served: {
        let (blocked, other) = ("127.0.0.2".parse().expect("valid"), "127.0.0.3".parse().expect("valid"));
        s.block([blocked]);
        assert!(!is_reachable(&s, blocked).await);
        assert!(is_reachable(&s, other).await);
        s.block([]);
        assert!(is_reachable(&s, blocked).await);
    }
}
