//! The links between the processes of a fleet.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use super::topology::Topology;
use crate::link::Link;

/// Id of a link: the indexes of the processes that it connects, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkId {
    /// Link from one replica to another.
    Replicas(usize, usize),
    /// Link from a router to a replica.
    Router(usize, usize),
    /// Link from a router to discovery.
    Discovery(usize),
    /// Link from the earlier replicas to a replacement replica, shared by all of them.
    Replacement(usize),
}

impl LinkId {
    /// Returns whether the link connects the router to a replica.
    pub fn is_from_router(&self, router: usize) -> bool {
        matches!(self, LinkId::Router(from, _) if *from == router)
    }

    /// Returns whether the link connects the replica to another one, in either direction.
    pub fn is_between_replicas(&self, replica: usize) -> bool {
        matches!(self, LinkId::Replicas(from, to) if *from == replica || *to == replica)
    }
}

/// All links of a fleet.
pub(super) struct Links {
    by_id: BTreeMap<LinkId, Link>,
}

impl Links {
    pub(super) fn new(topology: &Topology, discovery: SocketAddr) -> io::Result<Links> {
        let mut links = Links {
            by_id: BTreeMap::new(),
        };
        for replica in 0..topology.replicas {
            for peer in (0..topology.replicas).filter(|peer| *peer != replica) {
                links.add(LinkId::Replicas(peer, replica))?;
            }
            for router in 0..topology.routers {
                links.add(LinkId::Router(router, replica))?;
            }
        }
        for router in 0..topology.routers {
            links.add(LinkId::Discovery(router))?.set_target(discovery);
        }
        Ok(links)
    }

    /// Adds a link, which replaces an existing one with the same id, and returns it.
    pub(super) fn add(&mut self, id: LinkId) -> io::Result<&Link> {
        let link = Link::new("link")?;
        Ok(self.by_id.entry(id).insert_entry(link).into_mut())
    }

    pub(super) fn get(&self, id: LinkId) -> Option<&Link> {
        self.by_id.get(&id)
    }

    pub(super) fn ids(&self) -> Vec<LinkId> {
        self.by_id.keys().copied().collect()
    }

    pub(super) fn addr(&self, id: LinkId) -> Option<SocketAddr> {
        self.get(id).map(Link::addr)
    }

    pub(super) fn matching(
        &self,
        matches: impl Fn(&LinkId) -> bool,
    ) -> impl Iterator<Item = &Link> {
        self.by_id
            .iter()
            .filter(move |(id, _)| matches(id))
            .map(|(_, link)| link)
    }
}
