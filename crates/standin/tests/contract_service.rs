//! Contract of a plain service, as documented in docs/INTERFACES.md.

mod common;
#[macro_use]
#[path = "common/table.rs"]
mod table;

use std::time::Duration;

use apricothall_standin::client::Client;
use apricothall_standin::service::{PlainService, Receipt};
use bytes::Bytes;
use common::{any, call, get};
use http::Method;
use tokio::time::timeout;

async fn service() -> PlainService {
    PlainService::start(any()).await.expect("service starts")
}

async fn book(s: &PlainService, body: &'static str) -> Result<Receipt, ()> {
    let uri = format!("http://{}/book", s.address());
    let answer = Client::default()
        .call(Method::POST, &uri, Bytes::from_static(body.as_bytes()))
        .await;
    answer.map_err(drop)?.json().map_err(drop)
}

contract! {
    s: PlainService = service;
    any_method_and_path_is_run: {
        for (method, path) in [(Method::POST, "/a"), (Method::DELETE, "/a/b?c=d")] {
            let answer = call(s.address(), method.clone(), path, &[], "x").await;
            assert_eq!(answer.json::<Receipt>().expect("valid receipt").path, path);
            assert_eq!(s.executions().last().map(|e| e.method.clone()), Some(method));
        }
    }
    path_alone_is_run_too: {
        assert_eq!(get(s.address(), "/").await.status, 200);
        assert_eq!(s.executions()[0].method, Method::GET);
    }
    one_key_twice_is_run_twice: {
        for _ in 0..2 {
            call(s.address(), Method::POST, "/book", &[("idempotency-key", "k")], "room 4").await;
        }
        assert_eq!(s.counts().get("k"), Some(&2));
    }
    request_id_is_passed_on: {
        let answer = call(s.address(), Method::POST, "/book", &[("x-request-id", "r1")], "").await;
        assert_eq!(answer.headers["x-request-id"], "r1");
        assert_eq!(s.executions()[0].request.as_deref(), Some("r1"));
    }
    lost_answer_was_run: {
        s.drop_answers(1);
        assert!(book(&s, "a").await.is_err());
        assert_eq!(book(&s, "b").await.map(|r| r.execution), Ok(2));
    }
    call_that_arrived_is_run_though_its_caller_left: {
        s.set_delay(Duration::from_millis(60), Duration::ZERO);
        assert!(timeout(Duration::from_millis(30), book(&s, "a")).await.is_err());
        while s.executions().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    poison_crashes_it_after_the_execution_and_it_comes_back: {
        s.set_poison(Some("POISON"), Duration::from_millis(30));
        assert!(book(&s, "POISON").await.is_err());
        assert_eq!((s.crashes(), s.executions().len()), (1, 1));
        while book(&s, "a").await.is_err() {}
    }
}
