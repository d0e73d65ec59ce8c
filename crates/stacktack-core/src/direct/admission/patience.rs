//! How long callers of a route usually wait: who has clearly less time left was here
//! before.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::admission::AdmissionRequest;
use crate::time::Time;

/// Routes that are remembered in one pool, and time for which one is that is not seen.
const MAXIMUM_ROUTES: usize = 1024;
const REMEMBER_ROUTE: Duration = Duration::from_secs(60);

/// A caller whose patience is shorter than the usual by this much waited before.
const RETURNED_AFTER: Duration = Duration::from_millis(100);

/// Share of the distance by which the usual patience follows a shorter one.
const PATIENCE_WEIGHT: f64 = 0.001;

/// The usual patience of each route's callers.
#[derive(Clone, Debug, Default)]
pub struct UsualPatience {
    routes: HashMap<String, RoutePatience>,
}

/// The patience of callers that a route sees first.
#[derive(Clone, Debug)]
struct RoutePatience {
    patience: Duration,
    seen: Time,
}

impl UsualPatience {
    /// Whether the caller came before: it has less patience than is usual.
    pub fn has_returned(&self, request: &AdmissionRequest<'_>) -> bool {
        self.routes
            .get(request.route)
            .is_some_and(|known| request.patience + RETURNED_AFTER < known.patience)
    }

    /// A request came.
    pub fn note(&mut self, request: &AdmissionRequest<'_>, now: Time) {
        if let Some(usual) = self.routes.get_mut(request.route) {
            usual.note(request.patience, now);
            return;
        }
        if self.routes.len() >= MAXIMUM_ROUTES {
            self.routes
                .retain(|_, usual| now.since(usual.seen) < REMEMBER_ROUTE);
        }
        if self.routes.len() < MAXIMUM_ROUTES {
            let first = RoutePatience {
                patience: request.patience,
                seen: now,
            };
            self.routes.insert(request.route.to_owned(), first);
        }
    }
}

impl RoutePatience {
    fn note(&mut self, patience: Duration, now: Time) {
        self.seen = now;
        if patience >= self.patience {
            self.patience = patience;
            return;
        }
        let distance = self.patience - patience;
        self.patience -= distance.mul_f64(PATIENCE_WEIGHT);
    }
}
