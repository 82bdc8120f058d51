//! Limits on callers and entries without shared state.
