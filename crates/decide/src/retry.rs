//! Retry budgets and what may be retried.
