//! The other VMs, as last heard.
//!
//! Every process sends a heartbeat by UDP to the others it needs to know of. A VM is
//! alive while its heartbeats come; a heartbeat of a later life tells that the former
//! one is lost.

use indexmap::IndexMap;

use crate::{job_dispatcher::PeerLoad, job_ledger::OwnerId, prelude::*};

/// Silence after which a VM no longer counts as alive, in ms.
pub const PEER_LIVE_MS: u64 = 2_000;
/// Silence after which a VM's jobs are given up, in ms.
pub const PEER_LOST_MS: u64 = 4_000;

/// What a process tells of itself.
#[derive(Data!)]
pub struct PeerHeartbeat {
    /// Its VM and life.
    pub owner: OwnerId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Configuration version in force there.
    pub config_version: u64,
    /// Whether it takes no new work because it stops.
    pub stopping: bool,
    /// Its load; empty between data centres.
    pub load: PeerLoad,
}

/// A VM as last heard.
#[derive(Data!)]
pub struct PeerState {
    /// Its last heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// When it came.
    pub last_contact_at: ClockTime,
}

/// The other VMs.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: IndexMap<VmName, PeerState>,
}

impl PeerTable {
    /// None heard yet.
    pub fn new() -> PeerTable {
        PeerTable::default()
    }

    /// Takes a heartbeat unless it is of a former life.
    pub fn handle_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: ClockTime) {
        let vm = heartbeat.owner.vm.clone();
        if let Some(known) = self.peers.get(&vm)
            && heartbeat.owner.incarnation < known.heartbeat.owner.incarnation
        {
            return;
        }
        self.peers.insert(vm, PeerState { heartbeat, last_contact_at: now });
    }

    /// Every VM heard so far.
    pub fn peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// VMs of a data centre that are alive and take work.
    pub fn live_peers_in(&self, centre: &DataCentre, now: ClockTime) -> Vec<VmName> {
        let alive = self.peers.iter().filter(|(_, it)| {
            now.since_ms(it.last_contact_at) <= PEER_LIVE_MS
                && it.heartbeat.centre == *centre
                && !it.heartbeat.stopping
        });
        alive.map(|(vm, _)| vm.clone()).collect()
    }

    /// Highest configuration version among the VMs that are alive.
    pub fn highest_version(&self, now: ClockTime) -> Option<(u64, &VmName)> {
        let alive =
            self.peers.iter().filter(|(_, it)| now.since_ms(it.last_contact_at) <= PEER_LIVE_MS);
        alive.map(|(vm, it)| (it.heartbeat.config_version, vm)).max()
    }

    /// Whether a process is gone: silent for long, or followed by a later life.
    ///
    /// A VM that was never heard counts from `watched_since`.
    pub fn is_lost(&self, owner: &OwnerId, watched_since: ClockTime, now: ClockTime) -> bool {
        match self.peers.get(&owner.vm) {
            Some(state) => {
                owner.incarnation < state.heartbeat.owner.incarnation
                    || PEER_LOST_MS < now.since_ms(state.last_contact_at)
            }
            None => PEER_LOST_MS < now.since_ms(watched_since),
        }
    }
}
