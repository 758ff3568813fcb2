//! The other VMs, by their last heartbeats.
//!
//! Every process sends heartbeats to its peers by UDP. A VM is live while its heartbeats
//! arrive; a heartbeat of a later incarnation shows that the former one is lost.

use indexmap::IndexMap;

use crate::{job_dispatcher::PeerLoad, job_ledger::OwnerId, prelude::*};

/// Time without a heartbeat after which a VM no longer counts as live, in ms.
pub const PEER_LIVE_MS: u64 = 2_000;
/// Time without a heartbeat after which a VM counts as lost and its jobs are given up, in ms.
pub const PEER_LOST_MS: u64 = 4_000;

/// A process's heartbeat.
#[derive(Data!)]
pub struct PeerHeartbeat {
    /// Its VM and incarnation.
    pub owner: OwnerId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Configuration version in force there.
    pub config_version: u64,
    /// Whether it is shutting down and accepts no new work.
    pub stopping: bool,
    /// Its load; left empty in heartbeats to other data centres.
    pub load: PeerLoad,
}

/// State of a peer.
#[derive(Data!)]
pub struct PeerState {
    /// Its last heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// When it arrived.
    pub last_contact_at: ClockTime,
}

/// The other VMs.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: IndexMap<VmName, PeerState>,
}

impl PeerTable {
    /// A table without peers.
    pub fn new() -> PeerTable {
        PeerTable::default()
    }

    /// Records a heartbeat unless it is from a former incarnation.
    pub fn handle_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: ClockTime) {
        let vm = heartbeat.owner.vm.clone();
        if let Some(known) = self.peers.get(&vm)
            && heartbeat.owner.incarnation < known.heartbeat.owner.incarnation
        {
            return;
        }
        self.peers.insert(vm, PeerState { heartbeat, last_contact_at: now });
    }

    /// All peers that have sent a heartbeat.
    pub fn peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Live VMs of a data centre that accept work.
    pub fn live_peers_in(&self, centre: &DataCentre, now: ClockTime) -> Vec<VmName> {
        let live = self.peers.iter().filter(|(_, it)| {
            now.since_ms(it.last_contact_at) <= PEER_LIVE_MS
                && it.heartbeat.centre == *centre
                && !it.heartbeat.stopping
        });
        live.map(|(vm, _)| vm.clone()).collect()
    }

    /// Highest configuration version among the live VMs, with its VM.
    pub fn highest_version(&self, now: ClockTime) -> Option<(u64, &VmName)> {
        let live =
            self.peers.iter().filter(|(_, it)| now.since_ms(it.last_contact_at) <= PEER_LIVE_MS);
        live.map(|(vm, it)| (it.heartbeat.config_version, vm)).max()
    }

    /// Whether a process is lost: without a heartbeat for `PEER_LOST_MS`, or replaced by a
    /// later incarnation.
    ///
    /// For a VM that never sent a heartbeat, the time counts from `watched_since`.
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
