//! Generated heads of responses, through a router: a caller gets the whole body of its back end, or knows
//! that it does not.

mod common;
#[path = "common/one_route.rs"]
mod one_route;
#[path = "common/raw_http.rs"]
mod raw_http;

use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use stacktack_core::direct::traffic::route::RouteKind;
use tokio::task::LocalSet;

use one_route::router;
use raw_http::{start_back_end, Caller, RawResponse, ReadResponse};

/// Responses that are played.
const CASES: u32 = 400;

/// Seed of the generator, unless the variable `SEED` names another one.
const SEED: u64 = 1;

const BODY: &str = "the whole body of a response";

/// A response that is whole.
const SOUND: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nsound";

/// How a back end frames [`BODY`] in truth, whatever its head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    Plain,
    Chunks,
}

/// A response of a back end.
#[derive(Clone, Debug)]
struct Generated {
    status_line: String,
    fields: Vec<String>,
    sent: Sent,
    /// Bytes at the end that are not sent.
    missing: usize,
}

impl Generated {
    /// What follows the head.
    fn body(&self) -> String {
        match self.sent {
            Sent::Plain => BODY.to_owned(),
            Sent::Chunks => {
                let (first, second) = BODY.split_at(9);
                let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
                format!("{}{}0\r\n\r\n", chunk(first), chunk(second))
            }
        }
    }

    fn text(&self) -> String {
        let fields = self.fields.concat();
        let text = format!("{}\r\n{fields}\r\n{}", self.status_line, self.body());
        text[..text.len().saturating_sub(self.missing)].to_owned()
    }

    /// Values of the fields of a name.
    fn values(&self, name: &str) -> Vec<&str> {
        let fields = self.fields.iter().filter_map(|field| field.split_once(':'));
        let named = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.trim()).collect()
    }

    /// Whether a caller may take this body for whole: it is, or the head names no other end than that
    /// of what was sent, so that a cut or misread body can't be told.
    fn may_look_whole(&self, body: &str) -> bool {
        let sent = self.body();
        let sent = &sent[..sent.len().saturating_sub(self.missing)];
        let length = sent.len().to_string();
        let mut lengths = self.values("content-length").into_iter();
        let has_other_end = lengths.any(|value| value.split(',').any(|one| one.trim() != length));
        let ends_as_sent = self.values("transfer-encoding").is_empty() && !has_other_end;
        body == BODY || (body == sent && ends_as_sent)
    }
}

fn name(of: &'static str) -> impl Strategy<Value = String> {
    select(vec![
        of.to_owned(),
        of.to_uppercase(),
        format!("{of} "),
        format!(" {of}"),
        of.replace('-', " "),
        of.replace('-', "\x01"),
        of.replace('-', "_"),
        format!("x-{of}"),
    ])
}

fn length() -> impl Strategy<Value = String> {
    let length = BODY.len();
    let sound = Just(length.to_string());
    let other = select(vec![
        format!("{length}, {length}"),
        format!("{length}, {}", length - 1),
        format!("+{length}"),
        format!("-{length}"),
        format!("0{length}"),
        format!("{length}x"),
        format!("0x{length:x}"),
        String::new(),
        u64::MAX.to_string(),
        "99999999999999999999".to_owned(),
    ]);
    let number = (0..2 * length).prop_map(|number| number.to_string());
    prop_oneof![4 => sound, 2 => other, 2 => number]
}

fn coding() -> impl Strategy<Value = String> {
    let other = select(
        [
            "chunke",
            "Chunked",
            "chunked ",
            "chunked, chunked",
            "gzip, chunked",
            "identity",
            "",
            "\tchunked",
            "chunked;q=1",
        ]
        .map(str::to_owned)
        .to_vec(),
    );
    prop_oneof![3 => Just("chunked".to_owned()), 2 => other]
}

fn field() -> impl Strategy<Value = String> {
    let end = select(vec!["\r\n", "\n"]);
    let framing = prop_oneof![
        (name("content-length"), length()),
        (name("transfer-encoding"), coding()),
    ];
    let framing = (framing, end).prop_map(|((name, value), end)| format!("{name}: {value}{end}"));
    let other = select(
        [
            "content-type: text/plain\r\n",
            "x-some: field\r\n",
            "no field\r\n",
            ": empty\r\n",
            "x-control: a\x01b\r\n",
            "x: a\r\n folded\r\n",
        ]
        .map(str::to_owned)
        .to_vec(),
    );
    prop_oneof![5 => framing, 2 => other]
}

fn generated() -> impl Strategy<Value = Generated> {
    let sound_line = Just("HTTP/1.1 200 OK".to_owned());
    let other_line = select(
        [
            "HTTP/1.0 200 OK",
            "HTTP/1.1 404 Not Found",
            "HTTP/1.1 500 Error",
            "HTTP/1.1 000 OK",
            "HTTP/1.1 101 OK",
            "HTTP/1.1 700 Odd",
            "HTTP/2.0 200 OK",
            "HTTP/1.1 2 00 OK",
        ]
        .map(str::to_owned)
        .to_vec(),
    );
    let missing = prop_oneof![3 => Just(0), 1 => 1..60usize];
    (
        prop_oneof![3 => sound_line, 1 => other_line],
        prop::collection::vec(field(), 0..4),
        select(vec![Sent::Plain, Sent::Chunks]),
        missing,
    )
        .prop_map(|(status_line, fields, sent, missing)| Generated {
            status_line,
            fields,
            sent,
            missing,
        })
}

/// Plays a response, after which its back end closes the connection, and two sound ones, all on the
/// connection of one caller.
fn play(kind: RouteKind, response: &Generated) -> [ReadResponse; 3] {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let responses = [
        RawResponse::closed(&response.text()),
        RawResponse::kept(SOUND),
    ];
    LocalSet::new().block_on(&runtime, async {
        let back_end = start_back_end(&responses).await;
        let mut caller = Caller::of(router(back_end, kind, None)).await;
        [
            caller.get("/x").await,
            caller.get("/x").await,
            caller.get("/x").await,
        ]
    })
}

fn check(kind: RouteKind, response: &Generated) -> Result<(), TestCaseError> {
    let [first, second, third] = play(kind, response);
    if !first.complete {
        // Only a stream that has begun may break off.
        prop_assert_eq!(kind, RouteKind::Stream);
        return Ok(());
    }
    prop_assert!(first.head.starts_with("http/1.1 "), "{first:?}");
    let is_refusal = first.text() == "lost";
    prop_assert!(
        is_refusal || response.may_look_whole(&first.text()),
        "{first:?} of {response:?}"
    );
    let statuses = [200, 404, 500];
    prop_assert!(is_refusal || statuses.contains(&first.status()));
    prop_assert_eq!(second.text(), "sound");
    prop_assert_eq!(third.text(), "sound");
    Ok(())
}

/// Guards against a head that no one thought of: its body looks whole and is not, or its rest is taken
/// for the next response.
#[test]
fn a_body_that_looks_whole_is_the_body_that_its_back_end_sent() {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.unwrap_or(SEED).to_le_bytes());
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, random);
    let kinds = select(vec![RouteKind::Once, RouteKind::Stream]);
    let result = runner.run(&(kinds, generated()), |(kind, response)| {
        check(kind, &response)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
