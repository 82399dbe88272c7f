//! Agents at which processes record which version began a stream: the homes of the stream (see
//! [`origin`](super::origin)), chosen by a hash ring in each availability zone.

use std::{collections::BTreeMap, hash::BuildHasher, net::SocketAddr};

use model::id::{StreamKey, ZoneName};

use super::HASHER;

/// Number of homes at which a stream is recorded.
pub const HOMES: usize = 2;
/// Number of agents near a process at which it records a stream, if others are unreachable, and which it asks
/// first.
const NEAR_AGENTS: usize = 4;
/// Maximum number of agents of a zone that may be homes.
const MAX_HOMES_PER_ZONE: usize = 128;
/// Number of points of each agent on the hash ring.
const POINTS_PER_AGENT: u32 = 4;

/// Agents that may be homes of streams, by availability zone.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    /// All agents of the list of targets, sorted.
    listed: Vec<(ZoneName, SocketAddr)>,
    rings: BTreeMap<ZoneName, Ring>,
}

/// Agents of one availability zone on a hash ring.
#[derive(Clone, Debug, Default)]
struct Ring {
    /// At most [`MAX_HOMES_PER_ZONE`] agents.
    agents: Vec<SocketAddr>,
    /// Points on the ring in ascending order, each with the index of its agent.
    points: Vec<(u64, u32)>,
}

impl Homes {
    /// Replaces the agents, each given with its availability zone. Returns whether they changed.
    pub fn replace(&mut self, mut listed: Vec<(ZoneName, SocketAddr)>) -> bool {
        listed.sort_unstable();
        listed.dedup();
        if listed == self.listed {
            return false;
        }
        let mut zones: BTreeMap<ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for (zone, agent) in &listed {
            zones.entry(zone.clone()).or_default().push(*agent);
        }
        self.rings = zones.into_iter().map(|(zone, agents)| (zone, Ring::new(agents))).collect();
        self.listed = listed;
        true
    }

    /// Returns the agents at which a process in the zone `own` records a stream, in the order in which they are
    /// used, and which another process in that zone asks first: agents of the zone and of the next one.
    pub fn near(&self, own: &ZoneName, key: &StreamKey) -> Vec<SocketAddr> {
        let rings: Vec<&Ring> = self.rings_from(own).take(HOMES).collect();
        let per_ring = if rings.len() < HOMES { NEAR_AGENTS } else { NEAR_AGENTS / HOMES };
        let nearest: Vec<Vec<SocketAddr>> =
            rings.into_iter().map(|ring| ring.nearest(key, per_ring)).collect();
        let by_rank = (0..per_ring)
            .flat_map(|rank| nearest.iter().filter_map(move |agents| agents.get(rank).copied()));
        by_rank.collect()
    }

    /// Returns the agents of all zones at which any process may have recorded a stream.
    pub fn all(&self, own: &ZoneName, key: &StreamKey) -> Vec<SocketAddr> {
        self.rings_from(own).flat_map(|ring| ring.nearest(key, NEAR_AGENTS / HOMES)).collect()
    }

    /// Returns the rings of all zones in cyclic order from the zone `own` on.
    fn rings_from(&self, own: &ZoneName) -> impl Iterator<Item = &Ring> {
        let following = self.rings.range::<ZoneName, _>(own..);
        following.chain(self.rings.range::<ZoneName, _>(..own)).map(|(_, ring)| ring)
    }
}

impl Ring {
    fn new(mut agents: Vec<SocketAddr>) -> Ring {
        // The same agents stay in use when others join or leave.
        agents.sort_unstable_by_key(|agent| HASHER.hash_one(agent));
        agents.truncate(MAX_HOMES_PER_ZONE);
        let points = agents.iter().zip(0_u32..).flat_map(|(agent, index)| {
            (0..POINTS_PER_AGENT).map(move |point| (HASHER.hash_one((agent, point)), index))
        });
        let mut points: Vec<(u64, u32)> = points.collect();
        points.sort_unstable();
        Ring { agents, points }
    }

    /// Returns the first `count` agents that follow a stream on the ring.
    fn nearest(&self, key: &StreamKey, count: usize) -> Vec<SocketAddr> {
        let hash = HASHER.hash_one(key);
        let start = self.points.partition_point(|&(point, _)| point < hash);
        let mut nearest: Vec<SocketAddr> = Vec::new();
        for &(_, index) in self.points[start..].iter().chain(&self.points[..start]) {
            let Some(agent) = self.agents.get(index as usize) else {
                continue;
            };
            if nearest.len() == count {
                break;
            }
            if !nearest.contains(agent) {
                nearest.push(*agent);
            }
        }
        nearest
    }
}
