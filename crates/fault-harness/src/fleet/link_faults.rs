//! The faults of a fleet's links.

use super::links::LinkId;
use super::test_fleet::TestFleet;
use crate::link::{Link, LinkFaults};

impl TestFleet {
    /// A link, where there is one.
    pub fn link(&self, id: LinkId) -> Option<&Link> {
        self.links.get(id)
    }

    /// The ids of all links.
    pub fn link_ids(&self) -> Vec<LinkId> {
        self.links.ids()
    }

    /// Sets the faults of a link, where there is one.
    pub fn fail_link(&self, id: LinkId, faults: LinkFaults) {
        self.fail_links(faults, |other| *other == id);
    }

    /// Sets the faults of all links that match.
    pub fn fail_links(&self, faults: LinkFaults, matches: impl Fn(&LinkId) -> bool) {
        self.links
            .matching(matches)
            .for_each(|link| link.set_faults(faults));
    }

    /// Sets the faults of the links from a router to all replicas.
    pub fn fail_router_links(&self, router: usize, faults: LinkFaults) {
        self.fail_links(faults, |id| id.is_from_router(router));
    }

    /// Closes the connections that are open on all links that match.
    pub fn reset_links(&self, matches: impl Fn(&LinkId) -> bool) {
        self.links
            .matching(matches)
            .for_each(Link::reset_connections);
    }

    /// Takes the faults of all links back.
    pub fn restore_links(&self) {
        self.fail_links(LinkFaults::default(), |_| true);
    }
}
