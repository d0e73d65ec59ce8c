//! Buffers responses until they are complete, so that a request whose response breaks off can be
//! retried. Streams and large responses are passed on as they arrive.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::Response;
use stacktack_core::direct::request::attempt::AttemptFailure;

use crate::attempt::Attempt;
use crate::memory::{KeptBytes, ResponseAccount};

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
    Buffered(KeptBytes),
    /// Some are still to arrive.
    Streaming {
        /// Bytes that have arrived.
        buffered: KeptBytes,
        /// Bytes that are still to arrive.
        rest: Incoming,
    },
}

impl ForwardedResponse {
    /// A response that is passed on as it arrives.
    pub fn streaming(response: Response<Incoming>) -> Self {
        let (head, rest) = response.into_parts();
        let buffered = KeptBytes::charged(Bytes::new(), None);
        let source = BodySource::Streaming { buffered, rest };
        ForwardedResponse { head, source }
    }

    /// Reads a response until it is complete, too large to be buffered, or its account allows no
    /// more.
    pub async fn read(
        response: Response<Incoming>,
        attempt: &Attempt,
        account: Option<&Rc<ResponseAccount>>,
    ) -> Result<Self, AttemptFailure> {
        let (head, mut rest) = response.into_parts();
        let length = rest.size_hint().exact().unwrap_or(0);
        let length = length.min(MAX_BUFFERED_BYTES as u64) as usize;
        let may_allocate_ahead = account.is_none_or(|account| account.may_read_ahead());
        let mut buffered = BytesMut::with_capacity(if may_allocate_ahead { length } else { 0 });
        let mut charge = account.map(|account| account.charge(buffered.capacity()));
        while let Some(frame) = rest.frame().await {
            let frame = frame.map_err(|_| AttemptFailure::Broken)?;
            attempt.on_bytes();
            if rest.is_end_stream() {
                attempt.check_length()?;
            }
            buffered.extend_from_slice(&frame.into_data().unwrap_or_default());
            if let Some(charge) = &mut charge {
                charge.resize(buffered.capacity());
            }
            let may_keep_more = account.is_none_or(|account| account.may_keep_more());
            if buffered.len() > MAX_BUFFERED_BYTES || !may_keep_more {
                let buffered = KeptBytes::charged(buffered.freeze(), charge);
                let source = BodySource::Streaming { buffered, rest };
                return Ok(ForwardedResponse { head, source });
            }
        }
        let source = BodySource::Buffered(KeptBytes::charged(buffered.freeze(), charge));
        Ok(ForwardedResponse { head, source })
    }
}
