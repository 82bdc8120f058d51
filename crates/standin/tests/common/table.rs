//! Macro for tables of test cases.

/// Defines one test for each case of a table. Each case gets a new fixture under the given name.
macro_rules! contract {
    ($fixture:ident: $kind:ty = $make:path; $($case:ident: $body:block)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $case() {
                let $fixture: $kind = $make().await;
                // Fail a case that hangs.
                let limit = std::time::Duration::from_mins(2);
                let body = Box::pin(async move { $body });
                tokio::time::timeout(limit, body).await.expect("case completes in time");
            }
        )*
    };
}
