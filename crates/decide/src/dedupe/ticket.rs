//! Tickets, which bind calls to a home.
//!
//! A key used with a ticket starts with [`Ticket::prefix`], so the key identifies its ticket and
//! the ticket its home. A key can therefore not be bound to two homes, or be run both with and
//! without a ticket.

use std::fmt;
use std::str::FromStr;

use apricothall_types::{EntryName, IdempotencyKey, Incarnation, WallTime};
use thiserror::Error;

use super::Home;

/// Maximum length of a ticket's text form in bytes.
pub const MAX_TICKET_BYTES: usize = 320;

const FORMAT: &str = "t1";
/// Field separator, which is not permitted in ids.
const SEPARATOR: char = '~';
/// Number of hexadecimal digits of the ticket's digest in a key prefix.
const TAG_DIGITS: usize = 32;

/// Why a text cannot be parsed as a ticket.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TicketError {
    /// The text exceeds [`MAX_TICKET_BYTES`].
    #[error("a ticket has at most {MAX_TICKET_BYTES} bytes")]
    TooLong,
    /// The text does not have the form of a ticket.
    #[error("a ticket has the form t1~agent~incarnation~entry~expiry, in ASCII")]
    Form,
}

/// Binds calls to a home. Text form: `t1~agent~incarnation~entry~expiry`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The only daemon that may run calls with this ticket.
    pub home: Home,
    /// Catalogue entry whose pool holds the home.
    pub name: EntryName,
    /// Last time at which the home accepts the ticket.
    pub expires: WallTime,
}

impl Ticket {
    /// Prefix of all keys that may be used with this ticket.
    #[must_use]
    pub fn prefix(&self) -> String {
        let hash = blake3::hash(self.to_string().as_bytes()).to_hex();
        format!("{SEPARATOR}{}{SEPARATOR}", &hash.as_str()[..TAG_DIGITS])
    }

    /// Whether `key` belongs to this ticket.
    #[must_use]
    pub fn covers(&self, key: &IdempotencyKey) -> bool {
        key.as_str().starts_with(&self.prefix())
    }
}

/// Whether `key` may only be used with a ticket.
#[must_use]
pub fn is_reserved(key: &IdempotencyKey) -> bool {
    key.as_str().starts_with(SEPARATOR)
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Home { id, incarnation } = &self.home;
        let expiry = self.expires.0;
        write!(f, "{FORMAT}~{id}~{incarnation}~{}~{expiry}", self.name)
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(TicketError::TooLong);
        }
        let fields: Vec<_> = text.split(SEPARATOR).collect();
        let [FORMAT, id, incarnation, name, expires] = fields[..] else {
            return Err(TicketError::Form);
        };
        let home = Home {
            id: id.parse().map_err(|_| TicketError::Form)?,
            incarnation: Incarnation(number(incarnation)?),
        };
        let ticket = Self {
            home,
            name: name.parse().map_err(|_| TicketError::Form)?,
            expires: WallTime(number(expires)?),
        };
        // Only the canonical text is accepted, because the key prefix is a digest of the text.
        let same = text.is_ascii() && ticket.to_string() == text;
        same.then_some(ticket).ok_or(TicketError::Form)
    }
}

fn number(text: &str) -> Result<u64, TicketError> {
    text.parse().map_err(|_| TicketError::Form)
}
