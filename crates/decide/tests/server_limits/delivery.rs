//! What reaches an entry of the model at some time.

use apricothall_decide::server_limits::LimitRecord;
use apricothall_types::{Quota, Timestamp};

/// What an entry is told at some time.
pub enum Delivery {
    /// A message of another entry.
    Gossip {
        to: usize,
        records: Vec<LimitRecord>,
    },
    /// An answer of a server to the process `life` of an entry.
    Answer {
        to: usize,
        life: u32,
        server: usize,
        sent: Timestamp,
        named: Option<Quota>,
    },
    /// That another entry serves or not.
    View {
        to: usize,
        about: usize,
        serving: bool,
    },
}
