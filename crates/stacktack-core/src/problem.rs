//! Error responses to callers (RFC 9457 `application/problem+json`).

use serde::{Deserialize, Serialize};

/// Content type of a problem body.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// Whether the request ran. `NotRun` is certain, so the caller may safely retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, but its response is not available.
    Ran,
    /// Part of the response was delivered.
    Incomplete,
}

/// Kind of a problem, which is the last segment of the problem's `type`.
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
    /// The request has no key or an unknown one.
    UnknownTenant,
    /// The model is not configured.
    UnknownModel,
    /// The service is not configured.
    UnknownService,
    /// The path is not served.
    UnknownPath,
    /// The method is not served at this path.
    MethodNotAllowed,
    /// No back end is eligible for the request.
    NoEligibleBackEnd,
    /// Every eligible back end refused the request.
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
    /// The platform's table, which holds idempotency keys, does not answer.
    StoreUnavailable,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// URI reference that identifies the kind.
    #[serde(rename = "type")]
    pub type_reference: String,
    /// Short human-readable summary of the kind.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Human-readable details of this occurrence.
    pub detail: String,
    /// Milliseconds after which a retry is worthwhile; none if no time is known.
    pub retry_after_ms: Option<u64>,
}

impl ProblemKind {
    /// HTTP status code of the kind.
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

    /// Creates a problem of this kind.
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
    /// Sets the time after which a retry is worthwhile.
    pub fn retry_after(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    /// Whole seconds for the `Retry-After` header, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1))
    }
}
