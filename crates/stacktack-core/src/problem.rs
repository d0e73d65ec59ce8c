//! Problems as callers see them (RFC 9457 `application/problem+json`).

use serde::{Deserialize, Serialize};

/// Content type of a problem body.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// Whether the request ran. `NotRun` is a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran; the answer is not available.
    Ran,
    /// Part of the answer was delivered.
    Incomplete,
}

/// What went wrong, as the last part of the problem's `type`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The body is not JSON or lacks a required field.
    MalformedBody,
    /// A header's value is not allowed.
    MalformedHeader,
    /// The content type is not JSON.
    UnsupportedContentType,
    /// The body is over the configured size.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// No or an unknown key.
    UnknownTenant,
    /// The model is not configured.
    UnknownModel,
    /// The service is not configured.
    UnknownService,
    /// The path is not served.
    UnknownPath,
    /// The method is not served at this path.
    MethodNotAllowed,
    /// Selectors leave no back end.
    NoEligibleBackEnd,
    /// Every back end that may serve it refused.
    Overloaded,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// The tenant is over its limit.
    TenantLimit,
    /// The router is stopping or has no configuration yet.
    NotReady,
    /// The back end failed.
    BackEndFailed,
    /// A request with the same idempotency key is running.
    KeyInUse,
    /// A request with the same idempotency key has run.
    KeyUsed,
    /// The platform's table, needed for the idempotency key, does not answer.
    StoreUnavailable,
}

/// A problem reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// URI reference that names the kind.
    #[serde(rename = "type")]
    pub type_reference: String,
    /// Short text for people.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What is known about the run.
    pub outcome: Outcome,
    /// Particulars for people.
    pub detail: String,
    /// Milliseconds after which a repeat makes sense.
    pub retry_after_ms: Option<u64>,
}

impl ProblemKind {
    /// HTTP status of the kind.
    pub fn status(self) -> u16 {
        match self {
            ProblemKind::MalformedBody | ProblemKind::MalformedHeader => 400,
            ProblemKind::UnknownTenant => 401,
            ProblemKind::UnknownModel | ProblemKind::UnknownService | ProblemKind::UnknownPath => {
                404
            }
            ProblemKind::MethodNotAllowed => 405,
            ProblemKind::BodyTimeout => 408,
            ProblemKind::KeyInUse | ProblemKind::KeyUsed => 409,
            ProblemKind::BodyTooLarge => 413,
            ProblemKind::UnsupportedContentType => 415,
            ProblemKind::TenantLimit => 429,
            ProblemKind::BackEndFailed => 502,
            ProblemKind::NoEligibleBackEnd
            | ProblemKind::Overloaded
            | ProblemKind::DeadlineUnreachable
            | ProblemKind::NotReady
            | ProblemKind::StoreUnavailable => 503,
        }
    }

    fn slug(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(slug)) => slug,
            _ => String::from("unknown"),
        }
    }

    /// A problem of this kind.
    pub fn problem(self, outcome: Outcome, detail: impl Into<String>) -> Problem {
        let slug = self.slug();
        Problem {
            type_reference: format!("/problems/{slug}"),
            title: slug.replace('-', " "),
            status: self.status(),
            outcome,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }
}

impl Problem {
    /// The problem with a time after which to come back.
    pub fn retry_after(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    /// Whole seconds for the `Retry-After` header, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1))
    }
}
