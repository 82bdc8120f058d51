//! Parser for server-sent events.

use bytes::{Bytes, BytesMut};

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Event type; empty if not given.
    pub kind: String,
    /// Event data.
    pub data: String,
}

/// Incremental parser of a byte stream.
#[derive(Default)]
pub struct SseParser {
    buffer: BytesMut,
}

impl SseParser {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &Bytes) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|w| w == b"\n\n") {
            let block = self.buffer.split_to(end + 2);
            events.push(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn parse(block: &str) -> SseEvent {
    let mut event = SseEvent::default();
    for line in block.lines() {
        let Some((field, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut event.kind),
            "data" => event.data.push_str(value),
            _ => {}
        }
    }
    event
}
