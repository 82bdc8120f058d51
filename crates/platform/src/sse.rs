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
