//! Membership as control VMs serve it to cells: they receive the announcements of endpoints,
//! broadcast changes, and list live VMs in their heartbeats.

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_message::{CellHeartbeat, CellMessage},
        endpoint_directory::{DirectoryChange, EndpointDirectory, EndpointRecord},
    },
    config_state::ControlGroup,
    job_ledger::OwnerId,
    prelude::*,
    vm_layout::VmRole,
};

/// Time without a heartbeat after which a VM is no longer listed as a member.
const MEMBER_TIMEOUT_MS: u64 = 3_000;
/// Time without a heartbeat, a few intervals, after which a VM may have missed updates and gets
/// all endpoints again.
const RESYNC_MS: u64 = 1_200;
/// Interval between updates for an unchanged live endpoint. Entries drop an endpoint after
/// two and a half intervals.
const REPEAT_MS: u64 = 8_000;
/// Time without an announcement after which an endpoint is dropped.
const ENDPOINT_EXPIRY_MS: u64 = 20_000;

/// A control VM's view of other VMs and of endpoints.
#[derive(Clone, Debug)]
pub struct MembershipService {
    owner: OwnerId,
    centre: DataCentre,
    directory: EndpointDirectory,
    peers: IndexMap<VmName, (CellHeartbeat, ClockTime)>,
}

impl MembershipService {
    /// Creates the service without any peers or endpoints.
    pub fn new(owner: OwnerId, centre: DataCentre) -> MembershipService {
        let directory = EndpointDirectory::default();
        MembershipService { owner, centre, directory, peers: IndexMap::new() }
    }

    /// Applies an announcement by an endpoint.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) -> DirectoryChange {
        self.directory.announce(record, now)
    }

    /// Marks an endpoint as gone.
    pub fn mark_gone(&mut self, name: &EndpointName) -> DirectoryChange {
        self.directory.mark_gone(name, None)
    }

    /// Merges the endpoint updates of another control VM.
    pub fn merge(&mut self, records: Vec<(EndpointRecord, bool)>, now: ClockTime) {
        for (record, gone) in records {
            self.directory.merge(record, gone, now);
        }
    }

    /// A message with all known endpoints.
    pub fn endpoint_snapshot(&self) -> CellMessage {
        CellMessage::Endpoints(self.directory.snapshot())
    }

    /// Handles a heartbeat; returns whether its sender may lack updates, as this is the first of
    /// its incarnation or the first after `RESYNC_MS`.
    pub fn handle_heartbeat(&mut self, heartbeat: CellHeartbeat, now: ClockTime) -> bool {
        let vm = heartbeat.owner.vm.clone();
        let known = self.peers.get(&vm).map(|(it, at)| (it.owner.incarnation, *at));
        // A process that starts after its VM's clock went back has a lower incarnation than the
        // former one, which has been silent since.
        if known.is_some_and(|(it, at)| {
            heartbeat.owner.incarnation < it && now.since_ms(at) <= RESYNC_MS
        }) {
            return false;
        }
        let is_new = known.is_none_or(|(incarnation, at)| {
            incarnation != heartbeat.owner.incarnation || RESYNC_MS < now.since_ms(at)
        });
        self.peers.insert(vm, (heartbeat, now));
        is_new
    }

    /// Last heartbeats of the live VMs, with their age in ms.
    pub fn live_peers(&self, now: ClockTime) -> impl Iterator<Item = (&CellHeartbeat, u64)> {
        let aged = self.peers.values().map(move |(heartbeat, at)| (heartbeat, now.since_ms(*at)));
        aged.filter(|(_, age_ms)| *age_ms <= MEMBER_TIMEOUT_MS)
    }

    /// Drops expired endpoints and drains the updates to send to each live VM.
    pub fn drain_updates(&mut self, now: ClockTime) -> Vec<(VmName, CellMessage)> {
        let _ = self.directory.expire(ENDPOINT_EXPIRY_MS, now);
        let updates = self.directory.drain_updates(REPEAT_MS, now);
        if updates.is_empty() {
            return Vec::new();
        }
        let live = self.live_peers(now).map(|(it, _)| it.owner.vm.clone());
        live.map(|vm| (vm, CellMessage::Endpoints(updates.clone()))).collect()
    }

    /// The heartbeat to send, and to whom: live VMs, and seeds and group members that were not
    /// heard.
    pub fn heartbeats(
        &self,
        plan_version: u64,
        group: &ControlGroup,
        stopping: bool,
        seeds: &[VmName],
        now: ClockTime,
    ) -> (Vec<VmName>, CellHeartbeat) {
        let members: Vec<VmName> =
            self.live_peers(now).map(|(it, _)| it.owner.vm.clone()).collect();
        let heartbeat = CellHeartbeat {
            owner: self.owner.clone(),
            sent_at: now,
            role: VmRole::Control,
            centre: self.centre.clone(),
            weight: 0,
            plan_version,
            stopping,
            members: members.clone(),
            group: group.clone(),
            cells: Vec::new(),
        };
        let unheard = seeds.iter().chain(&group.vms).filter(|it| !members.contains(it));
        let mut to: Vec<VmName> = members.iter().chain(unheard).cloned().collect();
        to.retain(|it| *it != self.owner.vm);
        to.sort_unstable();
        to.dedup();
        (to, heartbeat)
    }
}
