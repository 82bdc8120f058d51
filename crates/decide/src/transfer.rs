//! Transfer of weights: which chunk to fetch, from whom and when.
