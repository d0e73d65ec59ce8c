//! Reads and validates callers' requests: tenant, headers, target and body.

use actix_http::header::{HeaderMap, AUTHORIZATION, CONTENT_TYPE};
use actix_http::{HttpMessage, Method, Request as HttpRequest};
use bytes::Bytes;
use serde::de::IgnoredAny;
use serde::Deserialize;
use stacktack_core::configuration::document::Tenant;
use stacktack_core::configuration::eligibility::Target;
use stacktack_core::configuration::Configuration;
use stacktack_core::dispatch::request::Request;
use stacktack_core::problem::{Outcome, Problem, ProblemKind};
use stacktack_core::tokens::{estimate_prompt_tokens, DEFAULT_DECODE_TOKENS};
use stacktack_node::http::read_body;
use stacktack_wire::identity::{ChatId, NodeId, RequestId, TenantId};
use stacktack_wire::message::{Payload, Priority};

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path prefix of the plain services; the name of the service follows.
const SERVICE_PATH_PREFIX: &str = "/services/";

/// Maximum length of the value of a Stacktack or idempotency header.
const MAX_HEADER_VALUE_BYTES: usize = 256;

/// Maximum number of tokens that a caller may ask to be generated.
const MAX_DECODE_TOKENS: u32 = 1_000_000;

/// The fields of a chat completion body that the router reads.
#[derive(Deserialize)]
struct ChatBody {
    model: String,
    #[allow(dead_code, reason = "parsed to validate that it is a list")]
    messages: Vec<IgnoredAny>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
}

/// Values of the optional request headers.
struct RequestHeaders {
    chat: Option<String>,
    priority: Priority,
    deadline_ms: Option<u32>,
    idempotency_key: Option<String>,
    preferred: Option<NodeId>,
}

/// Reads a caller's request; returns a problem, with outcome "not run", if it is
/// invalid.
pub async fn read_request(
    id: RequestId,
    mut http: HttpRequest,
    configuration: &Configuration,
    body_timeout: std::time::Duration,
) -> Result<Request, Problem> {
    if configuration.version.0 == 0 {
        let problem =
            ProblemKind::NotReady.problem(Outcome::NotRun, "this router has no configuration yet");
        return Err(problem.retry_after(500));
    }
    let tenant = authenticate_tenant(http.headers(), configuration)?.clone();
    let headers = read_headers(http.headers())?;
    let path = http.path().to_string();
    let is_chat = path == CHAT_PATH;
    if is_chat {
        check_chat_call(&http)?;
    } else if !path.starts_with(SERVICE_PATH_PREFIX) {
        return Err(ProblemKind::UnknownPath.problem(Outcome::NotRun, path));
    }
    let limit = configuration.document.limits.body_bytes;
    let body = read_body(&mut http, limit, body_timeout)
        .await
        .map_err(|error| error.problem())?;
    let chat = headers
        .chat
        .as_ref()
        .map(|chat| ChatId::of(&format!("{}/{chat}", tenant.name)));
    let call = if is_chat {
        parse_chat_call(configuration, body)?
    } else {
        parse_service_call(configuration, &http, &path, &headers, body)?
    };
    Ok(Request {
        id,
        tenant: TenantId::of(&tenant.name),
        chat,
        priority: headers.priority,
        deadline_ms: headers.deadline_ms,
        repeatable: call.repeatable && headers.idempotency_key.is_none(),
        idempotency_key: headers.idempotency_key,
        preferred: headers.preferred,
        target: call.target,
        prompt_tokens: call.prompt_tokens,
        decode_tokens: call.decode_tokens,
        payload: call.payload,
    })
}

/// The parts of a request that depend on the kind of its target.
struct ParsedCall {
    target: Target,
    payload: Payload,
    prompt_tokens: u32,
    decode_tokens: u32,
    repeatable: bool,
}

fn authenticate_tenant<'a>(
    headers: &HeaderMap,
    configuration: &'a Configuration,
) -> Result<&'a Tenant, Problem> {
    let unknown =
        || ProblemKind::UnknownTenant.problem(Outcome::NotRun, "the key is missing or unknown");
    let value = headers.get(AUTHORIZATION).ok_or_else(unknown)?;
    let key = value
        .to_str()
        .ok()
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(unknown)?;
    configuration.tenant_of_key(key).ok_or_else(unknown)
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .ok()
        .filter(|text| text.len() <= MAX_HEADER_VALUE_BYTES);
    match text {
        Some(text) if !text.is_empty() => Ok(Some(text)),
        _ => {
            let detail =
                format!("{name}: allowed is 1 to {MAX_HEADER_VALUE_BYTES} visible characters");
            Err(ProblemKind::MalformedHeader.problem(Outcome::NotRun, detail))
        }
    }
}

fn malformed_header(name: &str, value: &str, allowed: &str) -> Problem {
    let detail = format!("{name}: {value} is not allowed; {allowed}");
    ProblemKind::MalformedHeader.problem(Outcome::NotRun, detail)
}

fn read_headers(headers: &HeaderMap) -> Result<RequestHeaders, Problem> {
    let priority = match header_value(headers, "stacktack-priority")? {
        None | Some("normal") => Priority::Normal,
        Some("low") => Priority::Low,
        Some("high") => Priority::High,
        Some(other) => {
            return Err(malformed_header(
                "Stacktack-Priority",
                other,
                "allowed is low, normal, high",
            ));
        }
    };
    let deadline_ms = match header_value(headers, "stacktack-deadline-ms")? {
        None => None,
        Some(text) => match text.parse::<u32>() {
            Ok(value) if value > 0 => Some(value),
            _ => {
                let allowed = "allowed is a number of milliseconds from 1 to 4294967295";
                return Err(malformed_header("Stacktack-Deadline-Ms", text, allowed));
            }
        },
    };
    let placement = header_value(headers, "stacktack-placement")?;
    Ok(RequestHeaders {
        chat: header_value(headers, "stacktack-chat")?.map(String::from),
        priority,
        deadline_ms,
        idempotency_key: header_value(headers, "idempotency-key")?.map(String::from),
        preferred: placement
            .and_then(|text| u32::from_str_radix(text, 16).ok())
            .map(NodeId),
    })
}

fn check_chat_call(http: &HttpRequest) -> Result<(), Problem> {
    if http.method() != Method::POST {
        let detail = format!("{} is not served here; allowed is POST", http.method());
        return Err(ProblemKind::MethodNotAllowed.problem(Outcome::NotRun, detail));
    }
    let content_type = http
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    if !media_type.eq_ignore_ascii_case("application/json") {
        let detail = format!("{content_type:?} is not allowed; allowed is application/json");
        return Err(ProblemKind::UnsupportedContentType.problem(Outcome::NotRun, detail));
    }
    Ok(())
}

fn parse_chat_call(configuration: &Configuration, body: Bytes) -> Result<ParsedCall, Problem> {
    let parsed: ChatBody = serde_json::from_slice(&body)
        .map_err(|error| ProblemKind::MalformedBody.problem(Outcome::NotRun, error.to_string()))?;
    if configuration.model_labels(&parsed.model).is_none() {
        let detail = format!("{:?} is no configured model", parsed.model);
        return Err(ProblemKind::UnknownModel.problem(Outcome::NotRun, detail));
    }
    let decode_tokens = parsed.max_tokens.unwrap_or(DEFAULT_DECODE_TOKENS);
    if decode_tokens == 0 || decode_tokens > MAX_DECODE_TOKENS {
        let detail = format!(
            "max_tokens: {decode_tokens} is not allowed; allowed is 1 to {MAX_DECODE_TOKENS}"
        );
        return Err(ProblemKind::MalformedBody.problem(Outcome::NotRun, detail));
    }
    Ok(ParsedCall {
        target: Target::Model(parsed.model.clone()),
        prompt_tokens: estimate_prompt_tokens(&body),
        decode_tokens,
        repeatable: true,
        payload: Payload::Chat {
            model: parsed.model,
            stream: parsed.stream,
            body,
        },
    })
}

fn parse_service_call(
    configuration: &Configuration,
    http: &HttpRequest,
    path: &str,
    headers: &RequestHeaders,
    body: Bytes,
) -> Result<ParsedCall, Problem> {
    let name_and_path = path.strip_prefix(SERVICE_PATH_PREFIX).unwrap_or_default();
    let (name, inner_path) = name_and_path.split_once('/').unwrap_or((name_and_path, ""));
    let Some(service) = configuration.service(name) else {
        let detail = format!("{name:?} is no configured service");
        return Err(ProblemKind::UnknownService.problem(Outcome::NotRun, detail));
    };
    let target = match http.uri().query() {
        Some(query) => format!("/{inner_path}?{query}"),
        None => format!("/{inner_path}"),
    };
    let is_safe_method = matches!(*http.method(), Method::GET | Method::HEAD | Method::OPTIONS);
    let content_type = http.headers().get(CONTENT_TYPE);
    Ok(ParsedCall {
        target: Target::Service(service.name.clone()),
        prompt_tokens: 0,
        decode_tokens: 1,
        repeatable: is_safe_method || service.repeatable,
        payload: Payload::Service {
            service: service.name.clone(),
            method: http.method().to_string(),
            path: target,
            content_type: content_type.and_then(|value| value.to_str().ok().map(String::from)),
            idempotency_key: headers.idempotency_key.clone(),
            body,
        },
    })
}
