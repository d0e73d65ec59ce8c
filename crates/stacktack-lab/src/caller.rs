//! HTTP callers and the responses that their requests should get.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use futures_util::StreamExt;
use serde_json::{json, Value};
use stacktack_standins::response::{response_seed, response_text, ChatRequest};

use crate::error::LabError;

/// A chat of several turns; the prompt of each turn contains all earlier turns.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Identifier, unique in a fleet.
    pub id: String,
    /// Name of the tenant that the chat belongs to.
    pub tenant: String,
    messages: Vec<Value>,
}

impl Chat {
    /// A chat that begins with a system message of `words` words.
    pub fn new(id: String, tenant: String, words: usize) -> Self {
        let text: Vec<String> = (0..words).map(|word| format!("{id}w{word}")).collect();
        Chat {
            messages: vec![json!({ "role": "system", "content": text.join(" ") })],
            id,
            tenant,
        }
    }

    /// Adds the next message of the user.
    pub fn add_user_message(&mut self, text: &str) {
        self.messages
            .push(json!({ "role": "user", "content": text }));
    }

    /// Adds the text of the engine's response.
    pub fn add_response(&mut self, text: &str) {
        self.messages
            .push(json!({ "role": "assistant", "content": text }));
    }

    /// Body of a completion request with the messages so far.
    pub fn body(&self, model: &str, stream: bool, max_tokens: u32) -> String {
        json!({
            "model": model,
            "messages": self.messages,
            "stream": stream,
            "max_tokens": max_tokens,
        })
        .to_string()
    }
}

/// Number of attempts of one request whose responses count as expected.
const MAX_ATTEMPTS: u16 = 24;

/// Responses that a request may get: one for each attempt, since the engine stand-in derives the
/// text from the prompt and the number of the attempt.
#[derive(Clone, Debug)]
pub struct ExpectedResponses {
    prompt: Vec<u64>,
    length_tokens: u32,
}

impl ExpectedResponses {
    /// The responses to a request with this body.
    pub fn of(body: &str) -> Result<Self, LabError> {
        let request: ChatRequest =
            serde_json::from_str(body).map_err(|error| LabError::Request(error.to_string()))?;
        Ok(ExpectedResponses {
            prompt: request.prompt_tokens(),
            length_tokens: request.response_length(),
        })
    }

    /// Whether a text is the complete response of one attempt.
    pub fn is_complete(&self, text: &str) -> bool {
        self.texts().any(|response| response == text)
    }

    /// Whether a text is the beginning of the response of one attempt.
    pub fn is_prefix(&self, text: &str) -> bool {
        self.texts().any(|response| response.starts_with(text))
    }

    fn texts(&self) -> impl Iterator<Item = String> + '_ {
        (0..MAX_ATTEMPTS)
            .map(|attempt| response_text(response_seed(&self.prompt, attempt), self.length_tokens))
    }
}

/// Response as a caller received it.
#[derive(Clone, Debug, Default)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Text of the response, or the whole body if it is not a completion.
    pub text: String,
    /// Whether the response arrived to its end; false also for a problem in response to a
    /// completion request.
    pub complete: bool,
    /// Number of tokens of the prompt, as reported in the usage.
    pub prompt_tokens: u64,
    /// Number of tokens of the prompt that the engine had cached, as reported in the usage.
    pub cached_tokens: u64,
    /// Value of the `Stacktack-Decision` header; empty without one.
    pub decision: String,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// Time from the call to the first bytes of the body; zero for plain services.
    pub first_token: Duration,
    /// Time from the call to the end of the response.
    pub total: Duration,
}

/// An HTTP client of a router or an engine.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    base: String,
}

impl Caller {
    /// A caller of an address, without a timeout.
    pub fn new(address: SocketAddr) -> Self {
        Caller {
            client: Client::builder()
                .connector(Connector::new().limit(0))
                .disable_timeout()
                .finish(),
            base: format!("http://{address}"),
        }
    }

    /// Sends a completion request and reads the response to its end.
    pub async fn complete(
        &self,
        chat: &Chat,
        key: &str,
        body: String,
        headers: &[(&str, &str)],
    ) -> Result<CallerResponse, LabError> {
        let begin = Instant::now();
        let mut request = self
            .client
            .post(format!("{}/v1/chat/completions", self.base))
            .content_type("application/json")
            .insert_header(("stacktack-chat", chat.id.as_str()))
            .bearer_auth(key);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let failed = |error: String| LabError::Request(error);
        let mut http_response = request
            .send_body(body)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let header = |name: &str| {
            let value = http_response.headers().get(name)?;
            value.to_str().ok().map(String::from)
        };
        let mut response = CallerResponse {
            status: http_response.status().as_u16(),
            decision: header("stacktack-decision").unwrap_or_default(),
            retry_after: header("retry-after").and_then(|text| text.parse().ok()),
            ..CallerResponse::default()
        };
        let is_stream = header("content-type").is_some_and(|kind| kind.starts_with("text/event"));
        let mut bytes = Vec::new();
        let mut interrupted = false;
        while let Some(chunk) = http_response.next().await {
            match chunk {
                Ok(chunk) => {
                    if bytes.is_empty() {
                        response.first_token = begin.elapsed();
                    }
                    bytes.extend_from_slice(&chunk);
                }
                Err(_) => {
                    interrupted = true;
                    break;
                }
            }
        }
        response.total = begin.elapsed();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if is_stream {
            read_events(&text, &mut response);
        } else {
            read_body(&text, &mut response);
        }
        response.complete &= !interrupted;
        Ok(response)
    }

    /// Sends a call to a plain service and reads the response to its end.
    pub async fn call_service(
        &self,
        method: &str,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<CallerResponse, LabError> {
        let begin = Instant::now();
        let method = method
            .parse()
            .map_err(|_| LabError::Request(format!("invalid method {method}")))?;
        let mut request = self
            .client
            .request(method, format!("{}{path}", self.base))
            .bearer_auth(key);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut http_response = request
            .send_body(body)
            .await
            .map_err(|error| LabError::Request(error.to_string()))?;
        let retry_after = http_response.headers().get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = http_response
            .body()
            .await
            .map_err(|error| LabError::Request(error.to_string()))?;
        Ok(CallerResponse {
            status: http_response.status().as_u16(),
            text: String::from_utf8_lossy(&body).into_owned(),
            complete: true,
            retry_after,
            total: begin.elapsed(),
            ..CallerResponse::default()
        })
    }
}

fn read_usage(value: &Value, response: &mut CallerResponse) {
    let usage = &value["usage"];
    if usage.is_object() {
        response.prompt_tokens = usage["prompt_tokens"].as_u64().unwrap_or(0);
        let details = &usage["prompt_tokens_details"];
        response.cached_tokens = details["cached_tokens"].as_u64().unwrap_or(0);
    }
}

fn read_events(text: &str, response: &mut CallerResponse) {
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            response.complete = true;
            continue;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        if let Some(word) = value["choices"][0]["delta"]["content"].as_str() {
            response.text.push_str(word);
        }
        read_usage(&value, response);
    }
}

fn read_body(text: &str, response: &mut CallerResponse) {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    match value["choices"][0]["message"]["content"].as_str() {
        Some(content) => {
            response.text = content.to_string();
            response.complete = true;
            read_usage(&value, response);
        }
        None => response.text = text.to_string(),
    }
}
