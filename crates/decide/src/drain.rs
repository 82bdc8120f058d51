//! Leaving: which work a member that stops still takes and when it may end.
