//! Where the body of an HTTP/1 response ends, as its head says (RFC 9112, section 6.3).
//!
//! An intermediary frames responses to its own callers itself, so it has to know the framing of the
//! response that it read. A head that contradicts itself, or names what is not understood, leaves
//! unknown where its body ends and whose bytes follow: it is rejected as a whole, since nothing else
//! in it can be relied on either.

use thiserror::Error;

/// The only transfer coding that is understood.
const CHUNKED: &[u8] = b"chunked";

/// Statuses of final responses. Interim ones are skipped before, except for 101 (Switching Protocols),
/// which nobody asks for.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Statuses of responses without a body.
const STATUSES_WITHOUT_BODY: [u16; 2] = [204, 304];

/// Longest body that a head may announce, in bytes.
const MAX_LENGTH: u64 = i64::MAX as u64;

/// How the sender of a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// It has no body, by its status or by the method of its request.
    NoBody,
    /// Its length is announced, in bytes.
    Length(u64),
    /// It comes in chunks; an empty one is the last.
    Chunked,
    /// It ends with its connection.
    Close,
}

impl ResponseFraming {
    /// Announced length, in bytes.
    pub fn length(self) -> Option<u64> {
        match self {
            ResponseFraming::Length(length) => Some(length),
            _ => None,
        }
    }

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseFraming::NoBody => "no_body",
            ResponseFraming::Length(_) => "length",
            ResponseFraming::Chunked => "chunked",
            ResponseFraming::Close => "close",
        }
    }
}

/// Why the head of a response is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadError {
    /// The status is that of no final response.
    #[error("status {0} is that of no final response")]
    Status(u16),
    /// The transfer coding is not understood, or stands in a response that can have none.
    #[error("the transfer coding is not understood")]
    TransferCoding,
    /// The length is no number of bytes, or several ones.
    #[error("the length is not one number of bytes")]
    Length,
    /// Both a length and a transfer coding are given.
    #[error("both a length and a transfer coding are given")]
    LengthAndTransferCoding,
}

/// What frames a response apart from its header fields.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLine {
    /// Status of the response.
    pub status: u16,
    /// Whether the sender speaks HTTP/1.0, which has no transfer codings.
    pub is_http_1_0: bool,
    /// Whether the request had the method HEAD.
    pub answers_head_request: bool,
}

impl ResponseLine {
    /// Framing of a response with these values of the fields `Transfer-Encoding` and
    /// `Content-Length`.
    pub fn framing<'a>(
        &self,
        transfer_codings: impl Iterator<Item = &'a [u8]>,
        lengths: impl Iterator<Item = &'a [u8]>,
    ) -> Result<ResponseFraming, HeadError> {
        if !FINAL_STATUSES.contains(&self.status) {
            return Err(HeadError::Status(self.status));
        }
        let is_chunked = self.is_chunked(transfer_codings)?;
        let length = announced_length(lengths)?;
        if is_chunked && length.is_some() {
            return Err(HeadError::LengthAndTransferCoding);
        }
        let has_no_body = self.answers_head_request || STATUSES_WITHOUT_BODY.contains(&self.status);
        Ok(match length {
            _ if has_no_body => ResponseFraming::NoBody,
            Some(length) => ResponseFraming::Length(length),
            None if is_chunked => ResponseFraming::Chunked,
            None => ResponseFraming::Close,
        })
    }

    fn is_chunked<'a>(
        &self,
        mut transfer_codings: impl Iterator<Item = &'a [u8]>,
    ) -> Result<bool, HeadError> {
        let Some(coding) = transfer_codings.next() else {
            return Ok(false);
        };
        let is_understood = coding.trim_ascii().eq_ignore_ascii_case(CHUNKED);
        let is_only = transfer_codings.next().is_none();
        if is_understood && is_only && !self.is_http_1_0 {
            Ok(true)
        } else {
            Err(HeadError::TransferCoding)
        }
    }
}

/// The announced length, if any. It may be repeated, as a list or as several fields
/// (RFC 9110, section 8.6).
fn announced_length<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<u64>, HeadError> {
    let mut announced = None;
    for value in values.flat_map(|value| value.split(|byte| *byte == b',')) {
        let length = parse_length(value.trim_ascii()).ok_or(HeadError::Length)?;
        if announced.is_some_and(|other| other != length) {
            return Err(HeadError::Length);
        }
        announced = Some(length);
    }
    Ok(announced)
}

/// Parses decimal digits. `u64::from_str` alone would also accept a plus sign.
fn parse_length(digits: &[u8]) -> Option<u64> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let length = std::str::from_utf8(digits).ok()?.parse().ok()?;
    (length <= MAX_LENGTH).then_some(length)
}

/// First bytes of any HTTP/1 response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Whether bytes that follow a response may be the start of another one.
pub fn may_begin_response(bytes: &[u8]) -> bool {
    let compared = bytes.len().min(RESPONSE_START.len());
    bytes[..compared] == RESPONSE_START[..compared]
}
