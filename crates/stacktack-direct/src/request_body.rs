//! Reads the bodies of requests and keeps them until no attempt can need them any more.

use std::error::Error;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::memory::BodyReservation;
use crate::ports::RefusalKind;
use crate::router::Router;

/// Body of a request, complete.
#[derive(Default)]
pub(crate) struct RequestBody {
    bytes: Bytes,
    reservation: Option<BodyReservation>,
}

impl RequestBody {
    /// Reads a body of up to `limit` bytes. While the memory for bodies is short, the caller is not
    /// read for up to `patience` in all; then the request is refused.
    pub(crate) async fn read(
        router: &Router,
        body: Incoming,
        limit: usize,
        patience: Duration,
    ) -> Result<Self, RefusalKind> {
        let body = Limited::new(body, limit);
        match router.memory.clone() {
            Some(memory) => Self::read_reserved(body, BodyReservation::new(memory, patience)).await,
            None => {
                let collected = body
                    .collect()
                    .await
                    .map_err(|error| refusal_kind(&*error))?;
                Ok(RequestBody {
                    bytes: collected.to_bytes(),
                    reservation: None,
                })
            }
        }
    }

    /// Reads a body as far as its bytes can be reserved.
    async fn read_reserved(
        mut body: Limited<Incoming>,
        mut reservation: BodyReservation,
    ) -> Result<Self, RefusalKind> {
        let length = body.size_hint().lower() as usize;
        if !reservation.can_fit(length) {
            return Err(RefusalKind::BodyTooLarge);
        }
        let mut bytes = Bytes::new();
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| refusal_kind(&*error))?;
            let data = frame.into_data().unwrap_or_default();
            if data.is_empty() {
                continue;
            }
            reservation.extend(data.len()).await?;
            if bytes.is_empty() && collected.is_empty() {
                bytes = data;
            } else {
                collected.extend_from_slice(&std::mem::take(&mut bytes));
                collected.extend_from_slice(&data);
            }
        }
        if !collected.is_empty() {
            // Without the spare capacity, which is not reserved.
            bytes = Bytes::copy_from_slice(&collected);
        }
        Ok(RequestBody {
            bytes,
            reservation: Some(reservation),
        })
    }

    /// The bytes; none once they are released.
    pub(crate) fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Releases the bytes.
    pub(crate) fn release(&mut self) {
        self.bytes = Bytes::new();
        self.reservation = None;
    }
}

/// Why a request is refused whose body could not be read.
fn refusal_kind(error: &(dyn Error + Send + Sync + 'static)) -> RefusalKind {
    match error.is::<LengthLimitError>() {
        true => RefusalKind::BodyTooLarge,
        false => RefusalKind::Malformed,
    }
}
