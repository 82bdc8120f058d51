//! Tables of cases.

/// One test for each case of a table. Each case has a fresh fixture under the given name.
macro_rules! contract {
    ($fixture:ident: $kind:ty = $make:path; $($case:ident: $body:block)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $case() {
                let $fixture: $kind = $make().await;
                $body
            }
        )*
    };
}
