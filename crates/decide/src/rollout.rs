//! Rolling a version over while a stated number of replicas serves.
