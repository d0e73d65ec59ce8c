//! Counts of what is under way, which go down when it ends in whatever way.

use std::cell::Cell;
use std::rc::Rc;

use crate::router::Router;

/// One of what a count of the router tells.
pub(crate) struct CountGuard {
    router: Rc<Router>,
    count: fn(&Router) -> &Cell<usize>,
}

impl CountGuard {
    /// One more, until this is dropped.
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
