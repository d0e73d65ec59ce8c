//! Answers that are held until they are complete, so that one that breaks off
//! can be repeated. Streams and large answers are passed on as they come.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::Response;
use stacktack_core::direct::request::attempt::AttemptFailure;

use crate::attempt::Attempt;

/// Largest answer that is held whole, in bytes.
const HELD_BYTES: usize = 1024 * 1024;

/// An answer that can go to the caller.
pub struct ForwardedResponse {
    /// Head.
    pub head: response::Parts,
    /// Body.
    pub source: BodySource,
}

/// Where the bytes of an answer come from.
pub enum BodySource {
    /// All of them are here.
    Whole(Bytes),
    /// They are still coming.
    Coming {
        /// Those that came already.
        begun: Bytes,
        /// The others.
        rest: Incoming,
    },
}

impl ForwardedResponse {
    /// An answer that is passed on as it comes.
    pub fn coming(response: Response<Incoming>) -> Self {
        let (head, rest) = response.into_parts();
        let begun = Bytes::new();
        let source = BodySource::Coming { begun, rest };
        ForwardedResponse { head, source }
    }

    /// Reads an answer until it is whole or too large to be held.
    pub async fn read(
        response: Response<Incoming>,
        attempt: &Attempt,
    ) -> Result<Self, AttemptFailure> {
        let (head, mut rest) = response.into_parts();
        let mut begun = BytesMut::new();
        while let Some(frame) = rest.frame().await {
            let frame = frame.map_err(|_| AttemptFailure::Broken)?;
            attempt.on_bytes();
            begun.extend_from_slice(&frame.into_data().unwrap_or_default());
            if begun.len() > HELD_BYTES {
                let begun = begun.freeze();
                let source = BodySource::Coming { begun, rest };
                return Ok(ForwardedResponse { head, source });
            }
        }
        let source = BodySource::Whole(begun.freeze());
        Ok(ForwardedResponse { head, source })
    }
}
