//! Server-sent events of a streamed answer.

use bytes::{Bytes, BytesMut};

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Its type; empty for plain data.
    pub kind: String,
    /// Its data.
    pub data: String,
}

/// Cuts a stream of bytes into events.
#[derive(Default)]
pub struct SseParser {
    buffer: BytesMut,
}

impl SseParser {
    /// Takes further bytes and gives the events that they complete.
    pub fn push(&mut self, bytes: &Bytes) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|w| w == b"\n\n") {
            let block = self.buffer.split_to(end + 2);
            events.push(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }

    /// Whether an event was begun and not ended.
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
