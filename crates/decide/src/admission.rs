//! Admission at an agent: by class, deadline and length of the queue.
