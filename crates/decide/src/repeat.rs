//! What follows an attempt that brought no answer to pass on.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// No byte of the request was sent.
    Unsent,
    /// The server says that it did not run the request.
    Refused,
    /// The request was sent; whether it ran is not known.
    Lost,
    /// The server ran it and failed.
    Failed,
}

/// A request and what became of its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Servers that it may be sent to in all.
    pub allowed: u32,
    /// Servers that it was sent to.
    pub sent: u32,
    /// Whether one of them may have run it.
    pub ran: bool,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another server; `budgeted` if that is a repeat which the budget must grant.
    Again {
        /// Whether a server has received it before.
        budgeted: bool,
    },
    /// Answer that it has not run.
    NotRun,
    /// Answer that it may have run.
    Unknown,
}

impl History {
    /// Notes an attempt's end and decides what follows.
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

    /// The final answer when no further attempt is made.
    #[must_use]
    pub const fn final_answer(&self) -> Next {
        if self.ran {
            Next::Unknown
        } else {
            Next::NotRun
        }
    }
}
