//! Timer that gives a resumed process time to read data that arrived while it was suspended.
//!
//! When a suspended process resumes, its timers may fire before it is notified of data on its
//! sockets. A read time-out would then close a connection on which a request is waiting.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};
use tokio::time;

/// Time after an observed deadline during which pending data can still be read.
const READ_GRACE: Duration = Duration::from_millis(100);

/// Timer whose sleeps end 100 ms after the poll that first observes their deadline.
#[derive(Clone, Copy, Debug)]
pub struct WakeTimer;

impl Timer for WakeTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(WakeSleep {
            inner: Box::pin(time::sleep_until(deadline.into())),
            grace_started: false,
        })
    }
}

struct WakeSleep {
    inner: Pin<Box<time::Sleep>>,
    /// Whether the deadline has been observed and the grace time is running.
    grace_started: bool,
}

impl Sleep for WakeSleep {}

impl Future for WakeSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.inner.as_mut().poll(cx));
        if self.grace_started {
            return Poll::Ready(());
        }
        self.grace_started = true;
        let end = time::Instant::now() + READ_GRACE;
        self.inner.as_mut().reset(end);
        self.inner.as_mut().poll(cx)
    }
}
