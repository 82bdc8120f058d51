//! Calls that are repeated on another connection while they have no answer.

use apricothall_clients::PlatformError;
use apricothall_clients::http_client::{Answer, HttpClient, ReceivedBytes};
use apricothall_decide::call_repeats::{CallRepeats, Next, Patience, Received};
use apricothall_kernel::Clock;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Request;
use http_body_util::Full;
use tokio::time::timeout;

use crate::store_reads::StoreReads;

/// A call and its form when it is repeated.
pub struct RepeatedCall {
    /// The first call.
    pub first: Request<Full<Bytes>>,
    /// A repetition, whose answer must not be held back.
    pub again: Request<Full<Bytes>>,
    /// How long to wait.
    pub patience: Patience,
    /// Maximum size of the answer, in bytes.
    pub limit: usize,
}

impl RepeatedCall {
    /// Returns the first complete answer to the call or a repetition. `reads` are all calls to this
    /// server; `record` is called for each repetition.
    ///
    /// # Errors
    /// [`PlatformError::Timeout`] if nothing at all is received, [`PlatformError::Slow`] if there is
    /// no complete answer in time although bytes were received; otherwise the error of the last
    /// call in progress.
    pub async fn send(
        self,
        client: &HttpClient,
        reads: &StoreReads,
        clock: Clock,
        record: impl Fn(),
    ) -> Result<Answer, PlatformError> {
        let own = ReceivedBytes::default();
        let received = || Received {
            own: own.total(),
            all: reads.received.total(),
            answered: reads.latest_answered(),
        };
        let call = |request| client.read_counted(request, self.limit, [&own, &reads.received]);
        let mut repeats = CallRepeats::new(self.patience, received(), clock.now());
        let limit = repeats.limit();
        let mut calls = FuturesUnordered::from_iter([call(self.first)]);
        let waiting = async {
            loop {
                match timeout(repeats.wait(), calls.next()).await {
                    // The answer to a repetition is no smaller.
                    Ok(Some(Err(PlatformError::TooLarge))) => return Err(PlatformError::TooLarge),
                    Ok(Some(Err(_))) if !calls.is_empty() => continue,
                    Ok(Some(answered)) => return answered,
                    Ok(None) | Err(_) => {}
                }
                match repeats.next(received(), clock.now()) {
                    Next::Wait => {}
                    Next::Repeat => {
                        record();
                        calls.push(call(self.again.clone()));
                    }
                    Next::GiveUp => return Err(PlatformError::Timeout),
                }
            }
        };
        timeout(limit, waiting)
            .await
            .map_err(|_| PlatformError::Slow)?
    }
}
