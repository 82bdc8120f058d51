//! Handling of attempts that returned no answer to forward.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// No byte of the request was sent.
    Unsent,
    /// The server reported that it did not run the request.
    Refused,
    /// The request was sent, but it is unknown whether it ran.
    Lost,
    /// The server ran the request and failed.
    Failed,
}

/// Attempts made for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of servers that it may be sent to.
    pub allowed: u32,
    /// Number of servers that it was sent to.
    pub sent: u32,
    /// Whether any of them may have run it.
    pub ran: bool,
}

/// Next action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another server.
    Again {
        /// Whether this is a retry, which the budget must permit: a server has already received the
        /// request.
        budgeted: bool,
    },
    /// Report that the request has not run.
    NotRun,
    /// Report that the request may have run.
    Unknown,
}

impl History {
    /// Records the end of an attempt and decides what to do next.
    pub fn record_end(&mut self, end: End) -> Next {
        match end {
            End::Unsent => {}
            End::Refused => self.sent += 1,
            End::Lost | End::Failed => {
                self.sent += 1;
                self.ran = true;
            }
        }
        if self.ran && !self.repeatable {
            return Next::Unknown;
        }
        if self.sent >= self.allowed {
            return self.final_answer();
        }
        let budgeted = self.sent > 0;
        Next::Again { budgeted }
    }

    /// Final answer if no further attempt is made.
    #[must_use]
    pub const fn final_answer(&self) -> Next {
        if self.ran {
            Next::Unknown
        } else {
            Next::NotRun
        }
    }
}
