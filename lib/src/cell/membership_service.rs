//! A control VM's part in cells: it takes announcements of endpoints and spreads them,
//! and tells VMs of each other.

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

/// Silence after which a VM is no longer told of, in ms.
const MEMBER_MS: u64 = 3_000;
/// Silence after which a VM may have missed what it was told, in ms: a few beats.
const SILENT_MS: u64 = 1_200;
/// Time after which a living endpoint is told of again, in ms: entries forget it after twice
/// and a half of it.
const REPEAT_MS: u64 = 8_000;
/// Silence after which an endpoint is forgotten, in ms.
const FORGET_MS: u64 = 20_000;

/// What a control VM knows of the others and of endpoints.
#[derive(Clone, Debug)]
pub struct MembershipService {
    owner: OwnerId,
    centre: DataCentre,
    directory: EndpointDirectory,
    peers: IndexMap<VmName, (CellHeartbeat, ClockTime)>,
}

impl MembershipService {
    /// A desk that knows of nothing.
    pub fn new(owner: OwnerId, centre: DataCentre) -> MembershipService {
        let directory = EndpointDirectory::default();
        MembershipService { owner, centre, directory, peers: IndexMap::new() }
    }

    /// Takes an announcement of an endpoint.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) -> DirectoryChange {
        self.directory.announce(record, now)
    }

    /// Takes word of an endpoint that it is gone.
    pub fn mark_gone(&mut self, name: &EndpointName) -> DirectoryChange {
        self.directory.mark_gone(name, None)
    }

    /// Takes what another control VM tells.
    pub fn merge(&mut self, records: Vec<(EndpointRecord, bool)>, now: ClockTime) {
        for (record, gone) in records {
            self.directory.merge(record, gone, now);
        }
    }

    /// Everything that is known of endpoints.
    pub fn endpoint_snapshot(&self) -> CellMessage {
        CellMessage::Endpoints(self.directory.snapshot())
    }

    /// Takes a beat; whether its sender may lack what was told, as it is the first of a
    /// life or after a silence.
    pub fn handle_heartbeat(&mut self, beat: CellHeartbeat, now: ClockTime) -> bool {
        let vm = beat.owner.vm.clone();
        let known = self.peers.get(&vm).map(|(it, at)| (it.owner.incarnation, *at));
        if known.is_some_and(|(it, _)| beat.owner.incarnation < it) {
            return false;
        }
        let is_new = known.is_none_or(|(incarnation, at)| {
            incarnation != beat.owner.incarnation || SILENT_MS < now.since_ms(at)
        });
        self.peers.insert(vm, (beat, now));
        is_new
    }

    /// Beats of VMs that were heard lately, with their age in ms.
    pub fn live_peers(&self, now: ClockTime) -> impl Iterator<Item = (&CellHeartbeat, u64)> {
        let aged = self.peers.values().map(move |(beat, at)| (beat, now.since_ms(*at)));
        aged.filter(|(_, age_ms)| *age_ms <= MEMBER_MS)
    }

    /// Messages that tell others what has changed.
    pub fn drain_updates(&mut self, now: ClockTime) -> Vec<(VmName, CellMessage)> {
        let _ = self.directory.expire(FORGET_MS, now);
        let news = self.directory.drain_updates(REPEAT_MS, now);
        if news.is_empty() {
            return Vec::new();
        }
        let living = self.live_peers(now).map(|(it, _)| it.owner.vm.clone());
        living.map(|vm| (vm, CellMessage::Endpoints(news.clone()))).collect()
    }

    /// What this VM tells of itself, and to whom.
    pub fn heartbeats(
        &self,
        plan_version: u64,
        group: &ControlGroup,
        stopping: bool,
        seeds: &[VmName],
        now: ClockTime,
    ) -> Vec<(VmName, CellHeartbeat)> {
        let members: Vec<VmName> =
            self.live_peers(now).map(|(it, _)| it.owner.vm.clone()).collect();
        let beat = CellHeartbeat {
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
        to.dedup();
        to.into_iter().map(|vm| (vm, beat.clone())).collect()
    }
}
