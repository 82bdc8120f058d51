//! Timer that gives a woken process time to read what has arrived.
//!
//! When a frozen process goes on, its timers may fire before it learns of bytes that arrived
//! meanwhile. A limit on the wait for a request would then end a connection on which one waits.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};
use tokio::time;

/// Time after the deadline in which waiting bytes are read.
const READ_GRACE: Duration = Duration::from_millis(100);

/// Timer whose sleeps end 100 ms after their deadline, counted from when it is seen.
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
    /// Whether the deadline was seen and the grace runs.
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
