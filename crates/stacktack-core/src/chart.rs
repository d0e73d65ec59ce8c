//! Interpreter of the state charts in `charts/`.
//!
//! A chart is a TOML file with states, events and transitions; the code
//! implements the actions. [`Chart::parse`] rejects a chart in which a state is
//! unreachable or an event has no transition in some state, so that every event
//! is handled whenever it arrives.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use thiserror::Error;

/// State chart with the states `S`, events `E` and actions `A`.
#[derive(Debug)]
pub struct Chart<S, E, A> {
    initial: S,
    transitions: BTreeMap<(S, E), (S, Vec<A>)>,
}

/// Why a chart file is rejected.
#[derive(Debug, Error)]
pub enum ChartError {
    /// The file is not valid TOML, or names an unknown state, event or action.
    #[error("cannot parse chart: {0}")]
    Parse(#[from] toml::de::Error),
    /// A state has two transitions for the same event.
    #[error("state {state} has two transitions for event {event}")]
    Duplicate {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// A state has no transition for an event.
    #[error("state {state} has no transition for event {event}")]
    Unhandled {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// No path of transitions leads from the initial state to a state.
    #[error("state {state} is unreachable")]
    Unreachable {
        /// The state.
        state: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile<S, E, A> {
    initial: S,
    states: Vec<S>,
    events: Vec<E>,
    transition: Vec<TransitionEntry<S, E, A>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransitionEntry<S, E, A> {
    from: Vec<S>,
    on: Vec<E>,
    /// Next state; absent if the state stays the same.
    to: Option<S>,
    #[serde(default = "Vec::new", rename = "do")]
    actions: Vec<A>,
}

impl<S, E, A> Chart<S, E, A>
where
    S: Copy + Ord + Debug + DeserializeOwned,
    E: Copy + Ord + Debug + DeserializeOwned,
    A: Clone + DeserializeOwned,
{
    /// Parses a chart and checks that it is complete.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile<S, E, A> = toml::from_str(text)?;
        let chart = Chart {
            initial: file.initial,
            transitions: collect_transitions(file.transition)?,
        };
        chart.check_complete(&file.states, &file.events)?;
        chart.check_reachable(&file.states)?;
        Ok(chart)
    }

    /// The state in which each instance begins.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Next state and the actions to perform, in order.
    ///
    /// # Panics
    /// Never for states and events of the chart file: every pair has a transition.
    pub fn step(&self, state: S, event: E) -> (S, &[A]) {
        let (next, actions) = &self.transitions[&(state, event)];
        (*next, actions)
    }

    fn check_complete(&self, states: &[S], events: &[E]) -> Result<(), ChartError> {
        for state in states {
            for event in events {
                if !self.transitions.contains_key(&(*state, *event)) {
                    return Err(ChartError::Unhandled {
                        state: format!("{state:?}"),
                        event: format!("{event:?}"),
                    });
                }
            }
        }
        Ok(())
    }

    fn check_reachable(&self, states: &[S]) -> Result<(), ChartError> {
        let mut reached = BTreeSet::from([self.initial]);
        loop {
            let found: Vec<S> = self
                .transitions
                .iter()
                .filter(|((from, _), (to, _))| reached.contains(from) && !reached.contains(to))
                .map(|(_, (to, _))| *to)
                .collect();
            if found.is_empty() {
                break;
            }
            reached.extend(found);
        }
        match states.iter().find(|state| !reached.contains(state)) {
            Some(state) => Err(ChartError::Unreachable {
                state: format!("{state:?}"),
            }),
            None => Ok(()),
        }
    }
}

type Transitions<S, E, A> = BTreeMap<(S, E), (S, Vec<A>)>;

fn collect_transitions<S, E, A>(
    entries: Vec<TransitionEntry<S, E, A>>,
) -> Result<Transitions<S, E, A>, ChartError>
where
    S: Copy + Ord + Debug,
    E: Copy + Ord + Debug,
    A: Clone,
{
    let mut transitions = BTreeMap::new();
    for entry in entries {
        for from in &entry.from {
            for event in &entry.on {
                let to = entry.to.unwrap_or(*from);
                let replaced = transitions.insert((*from, *event), (to, entry.actions.clone()));
                if replaced.is_some() {
                    return Err(ChartError::Duplicate {
                        state: format!("{from:?}"),
                        event: format!("{event:?}"),
                    });
                }
            }
        }
    }
    Ok(transitions)
}
