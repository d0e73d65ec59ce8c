//! Buffers responses until they are complete, so that a request whose response breaks off can be
//! retried. Streams and large responses are passed on as they arrive.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::Response;
use stacktack_core::direct::request::attempt::AttemptFailure;

use crate::attempt::Attempt;

/// Largest response that is buffered completely, in bytes.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// A response that can go to the caller.
pub struct ForwardedResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// Body.
    pub source: BodySource,
}

/// Where the bytes of a response come from.
pub enum BodySource {
    /// All of them have arrived.
    Buffered(Bytes),
    /// Some are still to arrive.
    Streaming {
        /// Bytes that have arrived.
        buffered: Bytes,
        /// Bytes that are still to arrive.
        rest: Incoming,
    },
}

impl ForwardedResponse {
    /// A response that is passed on as it arrives.
    pub fn streaming(response: Response<Incoming>) -> Self {
        let (head, rest) = response.into_parts();
        let buffered = Bytes::new();
        let source = BodySource::Streaming { buffered, rest };
        ForwardedResponse { head, source }
    }

    /// Reads a response until it is complete or too large to be buffered.
    pub async fn read(
        response: Response<Incoming>,
        attempt: &Attempt,
    ) -> Result<Self, AttemptFailure> {
        let (head, mut rest) = response.into_parts();
        let mut buffered = BytesMut::new();
        while let Some(frame) = rest.frame().await {
            let frame = frame.map_err(|_| AttemptFailure::Broken)?;
            attempt.on_bytes();
            buffered.extend_from_slice(&frame.into_data().unwrap_or_default());
            if buffered.len() > MAX_BUFFERED_BYTES {
                let buffered = buffered.freeze();
                let source = BodySource::Streaming { buffered, rest };
                return Ok(ForwardedResponse { head, source });
            }
        }
        let source = BodySource::Buffered(buffered.freeze());
        Ok(ForwardedResponse { head, source })
    }
}
