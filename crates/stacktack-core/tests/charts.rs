//! The state charts of the product are complete, and an invalid chart is refused.

use serde::Deserialize;
use stacktack_core::chart::{Chart, ChartError};
use stacktack_core::direct::rollout::state;
use stacktack_core::direct::sources::directory_source;
use stacktack_core::{dispatch, gate};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Door {
    Open,
    Shut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Push {
    In,
    Out,
}

type DoorChart = Chart<Door, Push, String>;

const HEADER: &str = "initial = 'open'\nstates = ['open', 'shut']\nevents = ['in', 'out']\n";

#[test]
fn product_charts_are_complete() {
    gate::attempt::AttemptChart::parse(gate::attempt::CHART).expect("gate chart");
    dispatch::request::RequestChart::parse(dispatch::request::CHART).expect("router chart");
    directory_source::SourceChart::parse(directory_source::CHART).expect("directory chart");
    state::RolloutChart::parse(state::CHART).expect("roll-out chart");
}

#[test]
fn an_unanswered_event_is_refused() {
    let text =
        format!("{HEADER}[[transition]]\nfrom = ['open']\non = ['in', 'out']\nto = 'shut'\n");
    let result = DoorChart::parse(&text);
    assert!(matches!(result, Err(ChartError::Unhandled { .. })));
}

#[test]
fn an_unreachable_state_is_refused() {
    let text = format!("{HEADER}[[transition]]\nfrom = ['open', 'shut']\non = ['in', 'out']\n");
    let result = DoorChart::parse(&text);
    assert!(matches!(result, Err(ChartError::Unreachable { .. })));
}

#[test]
fn a_duplicate_transition_is_refused() {
    let transition = "[[transition]]\nfrom = ['open', 'shut']\non = ['in', 'out']\nto = 'shut'\n";
    let result = DoorChart::parse(&format!("{HEADER}{transition}{transition}"));
    assert!(matches!(result, Err(ChartError::Duplicate { .. })));
}
