//! Server-sent events of the completion API: one `data:` line per event.

use bytes::{Buf, Bytes, BytesMut};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds the maximum size.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Parses the `data` lines of a stream incrementally.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Returns the data of the next event if the event is complete.
    ///
    /// # Errors
    /// When an incomplete event is too long.
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

/// Data of the event that ends a complete stream.
pub const DONE: &[u8] = b"[DONE]";

/// Serializes an event.
#[must_use]
pub fn event(data: &[u8]) -> Bytes {
    let mut line = BytesMut::with_capacity(data.len() + 8);
    line.extend_from_slice(b"data: ");
    line.extend_from_slice(data);
    line.extend_from_slice(b"\n\n");
    line.freeze()
}

/// Line that names the type of an error event.
const ERROR_LINE: &[u8] = b"event: error";

/// Serializes an error event, which ends an incomplete stream.
#[must_use]
pub fn error_event(data: &SmolStr) -> Bytes {
    let mut line = BytesMut::from(ERROR_LINE);
    line.extend_from_slice(b"\n");
    line.extend_from_slice(&event(data.as_bytes()));
    line.freeze()
}

/// Whether a stream contains an error event, that is, whether it is incomplete.
#[must_use]
pub fn has_error_event(stream: &[u8]) -> bool {
    let mut lines = stream.split(|b| *b == b'\n');
    lines.any(|line| line.trim_ascii_end() == ERROR_LINE)
}

/// Splits a stream into events without changing their bytes.
#[derive(Debug, Default)]
pub struct RawEventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

/// One complete event as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// All its bytes, including the empty line at its end.
    pub bytes: Bytes,
    /// Its id, if it is a number.
    pub id: Option<u64>,
}

impl RawEventSplitter {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Returns the next event if it is complete.
    ///
    /// # Errors
    /// When an incomplete event is too long.
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

    /// Number of bytes of the incomplete event.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether there is no incomplete event.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the bytes of an incomplete event.
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
