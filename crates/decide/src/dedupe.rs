//! At most one run of a call that may not be repeated.
