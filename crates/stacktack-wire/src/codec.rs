//! Encoding of messages: `postcard` bodies in length-delimited frames.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of a frame: the largest body of a caller's request, and the
/// message around it.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024 + 64 * 1024;

/// A frame or datagram could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The connection failed or a frame was too long.
    #[error("frame: {0}")]
    Frame(#[from] std::io::Error),
    /// The body could not be encoded, or does not decode as the expected type.
    #[error("body: {0}")]
    Body(#[from] postcard::Error),
}

/// Encodes a message body.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_stdvec(message)?)
}

/// Decodes a message body; trailing bytes are an error.
pub fn decode<M: DeserializeOwned>(body: &[u8]) -> Result<M, CodecError> {
    let (message, rest) = postcard::take_from_bytes(body)?;
    if !rest.is_empty() {
        return Err(CodecError::Body(postcard::Error::DeserializeBadEncoding));
    }
    Ok(message)
}

/// Codec of a connection on which this process receives messages of type `In`
/// and sends messages of type `Out`, each in a length-delimited frame.
pub struct MessageCodec<In, Out> {
    frames: LengthDelimitedCodec,
    types: PhantomData<(In, Out)>,
}

impl<In, Out> MessageCodec<In, Out> {
    /// Creates a codec that rejects frames longer than [`MAX_FRAME_BYTES`].
    pub fn new() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        MessageCodec {
            frames,
            types: PhantomData,
        }
    }
}

impl<In, Out> Default for MessageCodec<In, Out> {
    fn default() -> Self {
        Self::new()
    }
}

impl<In: DeserializeOwned, Out> Decoder for MessageCodec<In, Out> {
    type Item = In;
    type Error = CodecError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<In>, CodecError> {
        match self.frames.decode(source)? {
            Some(frame) => decode(&frame).map(Some),
            None => Ok(None),
        }
    }
}

impl<In, Out: Serialize> Encoder<Out> for MessageCodec<In, Out> {
    type Error = CodecError;

    fn encode(&mut self, message: Out, target: &mut BytesMut) -> Result<(), CodecError> {
        let body = encode(&message)?;
        self.frames.encode(Bytes::from(body), target)?;
        Ok(())
    }
}
