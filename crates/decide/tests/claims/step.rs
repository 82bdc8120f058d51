//! Steps of a schedule.

/// One step of a schedule. Numbers select an agent, key or message modulo their count.
#[derive(Clone, Debug)]
pub enum Step {
    Tick(u64),
    /// The agent's process restarts.
    Boot(usize),
    /// The platform adds the VM to its list.
    List(usize),
    /// The platform removes the VM from its list.
    Drop(usize),
    /// The agent requests the list; the response is of this age.
    Fetch(usize, u64),
    /// The response reaches the agent.
    Read(usize),
    /// A caller creates a key, with a clock at this offset from real time.
    Key(i64),
    /// A caller creates a key without an encoded time.
    Opaque,
    /// An order with the key reaches the agent.
    Order(usize, usize),
    /// An order with the key that was created this many keys ago reaches the agent.
    Recent(usize, usize),
    /// A caller creates a key with a ticket for the agent.
    Ticket(usize),
    /// A call reaches an entry that sees a set of agents, with incarnations that lag by some
    /// number. The key was created this many keys ago and comes alone, with its own ticket, or with
    /// the ticket of another key.
    Call(u8, u64, usize, usize),
    /// A message arrives, not necessarily for the first time.
    Deliver(usize),
    /// The message that was sent this many messages ago arrives, not necessarily for the first
    /// time.
    Late(usize),
    /// Time passes while the agents of this set keep reading a list of this age.
    Live(u64, u8, u64),
    /// All messages arrive in the order sent, including those sent in response.
    Settle,
}
