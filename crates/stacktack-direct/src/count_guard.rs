//! Counts of work in flight, which are decremented however the work ends.

use std::cell::Cell;
use std::rc::Rc;

use crate::router::Router;

/// Keeps a count of the router raised by one until dropped.
pub(crate) struct CountGuard {
    router: Rc<Router>,
    count: fn(&Router) -> &Cell<usize>,
}

impl CountGuard {
    /// Increments a count.
    pub(crate) fn new(router: Rc<Router>, count: fn(&Router) -> &Cell<usize>) -> Self {
        let cell = count(&router);
        cell.set(cell.get() + 1);
        CountGuard { router, count }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let cell = (self.count)(&self.router);
        cell.set(cell.get() - 1);
    }
}
