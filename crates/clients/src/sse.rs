//! Server-sent events of the completion API: one `data:` line an event.

use bytes::{Buf, Bytes, BytesMut};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds the longest permitted one.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Collects the `data` lines of a stream that arrives in pieces.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Takes the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// The next whole event's data, if it has arrived.
    ///
    /// # Errors
    /// When an unfinished event is too long.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
            let line = self.buffer.split_to(end).freeze();
            self.buffer.advance(1);
            if let Some(data) = line.strip_prefix(b"data: ") {
                return Ok(Some(line.slice_ref(data.trim_ascii_end())));
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }
}

/// Data of the last event of a whole stream.
pub const DONE: &[u8] = b"[DONE]";

/// Text form of an event.
#[must_use]
pub fn event(data: &[u8]) -> Bytes {
    let mut line = BytesMut::with_capacity(data.len() + 8);
    line.extend_from_slice(b"data: ");
    line.extend_from_slice(data);
    line.extend_from_slice(b"\n\n");
    line.freeze()
}

/// Text form of an error event, which ends a stream that is not whole.
#[must_use]
pub fn error_event(data: &SmolStr) -> Bytes {
    let mut line = BytesMut::from(&b"event: error\n"[..]);
    line.extend_from_slice(&event(data.as_bytes()));
    line.freeze()
}

/// Splits a stream into whole events without changing their bytes.
#[derive(Debug, Default)]
pub struct RawEventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

/// One whole event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// All its bytes, the empty line at its end included.
    pub bytes: Bytes,
    /// Its id, if it is a number.
    pub id: Option<u64>,
}

impl RawEventSplitter {
    /// Takes the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// The next whole event, if it has arrived.
    ///
    /// # Errors
    /// When an unfinished event is too long.
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, EventTooLong> {
        let from = self.scanned.saturating_sub(1);
        let found = self.buffer[from..].windows(2).position(|w| w == b"\n\n");
        let Some(at) = found else {
            self.scanned = self.buffer.len();
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(from + at + 2).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Ok(Some(RawEvent { bytes, id }))
    }

    /// Bytes of an unfinished event.
    #[must_use]
    pub fn take_remainder(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }
}

/// The number in the event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}
