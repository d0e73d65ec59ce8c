//! The gate: duplicate offers, cancels that overtake offers, fair queueing between tenants.

use std::sync::Arc;

use bytes::Bytes;
use stacktack_core::configuration::validation::parse;
use stacktack_core::configuration::Configuration;
use stacktack_core::gate::queue::{FairQueue, QueuedAttempt};
use stacktack_core::gate::{ConnectionId, Gate, GateInput, GateOutput};
use stacktack_core::protection::Protections;
use stacktack_core::time::Time;
use stacktack_wire::identity::{
    AttemptId, ConfigurationVersion, Incarnation, NodeId, RequestId, TenantId,
};
use stacktack_wire::message::{Offer, Payload, Priority, Refusal, ToAgent, ToRouter};

const DOCUMENT: &str = r#"
[[model]]
name = "m"

[[back_end]]
name = "engine-1"
kind = "engine"
models = ["m"]
concurrency = 1

[[tenant]]
name = "t"
key_hashes = []
"#;

const CONNECTION: ConnectionId = ConnectionId(1);

fn gate() -> Gate {
    let protections = Protections::default();
    let node = NodeId::of("engine-1");
    let mut gate = Gate::new(node, Incarnation(1), protections, Time(0)).expect("chart");
    let document = parse(DOCUMENT).expect("valid");
    let configuration = Configuration::new(ConfigurationVersion(1), document);
    let input = GateInput::Configuration {
        configuration: Arc::new(configuration),
        changes: Vec::new(),
    };
    gate.handle(Time(0), input, &mut Vec::new());
    gate
}

fn offer(number: u128) -> Offer {
    Offer {
        attempt: AttemptId {
            request: RequestId(number),
            number: 1,
        },
        incarnation: Incarnation(1),
        version: ConfigurationVersion(1),
        tenant: TenantId::of("t"),
        chat: None,
        priority: Priority::Normal,
        deadline_ms: None,
        repeatable: true,
        prompt_tokens: 10,
        decode_tokens: 10,
        collected: Vec::new(),
        last_resort: false,
        payload: Payload::Chat {
            model: String::from("m"),
            stream: false,
            body: Bytes::new(),
        },
    }
}

fn send(gate: &mut Gate, message: ToAgent) -> Vec<GateOutput> {
    let mut outputs = Vec::new();
    let input = GateInput::FromRouter {
        connection: CONNECTION,
        message,
    };
    gate.handle(Time(1), input, &mut outputs);
    outputs
}

fn starts(outputs: &[GateOutput]) -> usize {
    let is_start = |output: &&GateOutput| matches!(output, GateOutput::StartBackend { .. });
    outputs.iter().filter(is_start).count()
}

#[test]
fn a_copy_of_a_waiting_offer_does_not_start_it() {
    let mut gate = gate();
    assert_eq!(
        starts(&send(&mut gate, ToAgent::Offer(Box::new(offer(1))))),
        1
    );
    assert_eq!(
        starts(&send(&mut gate, ToAgent::Offer(Box::new(offer(2))))),
        0
    );
    assert_eq!(
        starts(&send(&mut gate, ToAgent::Offer(Box::new(offer(2))))),
        0
    );
    assert_eq!(gate.in_flight(), 2);
}

#[test]
fn a_cancel_that_overtakes_its_offer_refuses_it() {
    let mut gate = gate();
    let attempt = offer(1).attempt;
    send(&mut gate, ToAgent::Cancel { attempt });
    let outputs = send(&mut gate, ToAgent::Offer(Box::new(offer(1))));
    assert_eq!(starts(&outputs), 0);
    let refused = outputs.iter().any(|output| {
        matches!(
            output,
            GateOutput::ToRouter {
                message: ToRouter::Refused {
                    refusal: Refusal::Tombstoned,
                    ..
                },
                ..
            }
        )
    });
    assert!(refused, "{outputs:?}");
}

#[test]
fn tenants_share_the_queue_by_weight_and_priorities_go_first() {
    let mut queue = FairQueue::default();
    let (heavy, light) = (TenantId::of("heavy"), TenantId::of("light"));
    let waiting = |number: u128| QueuedAttempt {
        attempt: AttemptId {
            request: RequestId(number),
            number: 1,
        },
        work: 512.0,
    };
    for number in 0..30 {
        queue.push(heavy, 1.0, Priority::Normal, waiting(number));
    }
    for number in 100..110 {
        queue.push(light, 1.0, Priority::Normal, waiting(number));
    }
    queue.push(light, 1.0, Priority::High, waiting(200));
    let order: Vec<u128> = (0..10)
        .filter_map(|_| queue.pop())
        .map(|waiting| waiting.attempt.request.0)
        .collect();
    let of_light = order.iter().filter(|number| **number >= 100).count();
    assert_eq!(of_light, 5, "{order:?}");
    let first_of_light = order.iter().find(|number| **number >= 100);
    assert_eq!(first_of_light, Some(&200));
}
