//! Faults of the links of a fleet.

use super::links::LinkId;
use super::test_fleet::TestFleet;
use crate::link::{Link, LinkFaults};

impl TestFleet {
    /// Returns a link, if it exists.
    pub fn link(&self, id: LinkId) -> Option<&Link> {
        self.links.get(id)
    }

    /// Returns the ids of all links.
    pub fn link_ids(&self) -> Vec<LinkId> {
        self.links.ids()
    }

    /// Sets the faults of a link, if it exists.
    pub fn fail_link(&self, id: LinkId, faults: LinkFaults) {
        self.fail_links(faults, |other| *other == id);
    }

    /// Sets the faults of all matching links.
    pub fn fail_links(&self, faults: LinkFaults, matches: impl Fn(&LinkId) -> bool) {
        self.links
            .matching(matches)
            .for_each(|link| link.set_faults(faults));
    }

    /// Sets the faults of the links from a router to all replicas.
    pub fn fail_router_links(&self, router: usize, faults: LinkFaults) {
        self.fail_links(faults, |id| id.is_from_router(router));
    }

    /// Closes the open connections of all matching links.
    pub fn reset_links(&self, matches: impl Fn(&LinkId) -> bool) {
        self.links
            .matching(matches)
            .for_each(Link::reset_connections);
    }

    /// Removes the faults of all links.
    pub fn restore_links(&self) {
        self.fail_links(LinkFaults::default(), |_| true);
    }
}
