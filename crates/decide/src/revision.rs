//! The revision in force: the highest valid one, never an older one.
