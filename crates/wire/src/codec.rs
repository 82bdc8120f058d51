//! Length-delimited `bincode` frames over a stream.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::ToSmolStr;
use tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec};

use crate::WireError;
use crate::io::H2Stream;

/// Maximum frame size in bytes: a chunk of 8 MiB plus its envelope.
pub const MAX_FRAME_BYTES: usize = (8 << 20) + (64 << 10);

/// Length of the checksum at the end of each frame, in bytes.
const CHECKSUM_BYTES: usize = 8;

/// Truncated BLAKE3 digest of the content. TCP's checksum misses some corruption, and a corrupted
/// text would be taken for a complete answer.
fn checksum(content: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let digest = blake3::hash(content);
    let mut sum = [0; CHECKSUM_BYTES];
    sum.copy_from_slice(&digest.as_bytes()[..CHECKSUM_BYTES]);
    sum
}

/// Reads frames of type `In` and writes frames of type `Out`.
pub struct FrameCodec<In, Out> {
    frames: LengthDelimitedCodec,
    types: PhantomData<fn(Out) -> In>,
}

/// Frames over one stream between daemons.
pub type Channel<In, Out> = Framed<H2Stream, FrameCodec<In, Out>>;

impl<In, Out> Default for FrameCodec<In, Out> {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES + CHECKSUM_BYTES)
            .new_codec();
        Self {
            frames,
            types: PhantomData,
        }
    }
}

/// Encodes `value` as one frame's content.
///
/// # Errors
/// When the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|e| WireError::Frame(e.to_smolstr()))
}

/// Decodes one frame's content. Trailing bytes are an error.
///
/// # Errors
/// When the bytes are not a valid encoding of a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    let (value, used) = decoded.map_err(|e| WireError::Frame(e.to_smolstr()))?;
    if used != bytes.len() {
        return Err(WireError::Frame("trailing bytes".into()));
    }
    Ok(value)
}

impl<In, Out: Serialize> Encoder<Out> for FrameCodec<In, Out> {
    type Error = WireError;

    fn encode(&mut self, item: Out, buffer: &mut BytesMut) -> Result<(), WireError> {
        let mut content = encode(&item)?;
        let sum = checksum(&content);
        content.extend_from_slice(&sum);
        Ok(self.frames.encode(Bytes::from(content), buffer)?)
    }
}

impl<In: DeserializeOwned, Out> Decoder for FrameCodec<In, Out> {
    type Item = In;
    type Error = WireError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<In>, WireError> {
        let Some(content) = self.frames.decode(buffer)? else {
            return Ok(None);
        };
        let Some((content, sum)) = content.split_last_chunk::<CHECKSUM_BYTES>() else {
            return Err(WireError::Frame("shorter than its checksum".into()));
        };
        if checksum(content) != *sum {
            return Err(WireError::Frame("checksum mismatch".into()));
        }
        decode(content).map(Some)
    }
}
