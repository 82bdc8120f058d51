//! Ejection of members that fail more often than others.
