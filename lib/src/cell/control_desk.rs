//! A control VM's part in cells: it takes announcements of endpoints and spreads them,
//! and tells VMs of each other.

use indexmap::IndexMap;

use crate::{
    cell::{
        cell_message::{CellMessage, PeerBeat},
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
pub struct ControlDesk {
    owner: OwnerId,
    centre: DataCentre,
    directory: EndpointDirectory,
    peers: IndexMap<VmName, (PeerBeat, ClockTime)>,
}

impl ControlDesk {
    /// A desk that knows of nothing.
    pub fn new(owner: OwnerId, centre: DataCentre) -> ControlDesk {
        let directory = EndpointDirectory::default();
        ControlDesk { owner, centre, directory, peers: IndexMap::new() }
    }

    /// Takes an announcement of an endpoint.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) -> DirectoryChange {
        self.directory.announce(record, now)
    }

    /// Takes word of an endpoint that it is gone.
    pub fn leave(&mut self, name: &EndpointName) -> DirectoryChange {
        self.directory.leave(name, None)
    }

    /// Takes what another control VM tells.
    pub fn merge(&mut self, records: Vec<(EndpointRecord, bool)>, now: ClockTime) {
        for (record, gone) in records {
            self.directory.merge(record, gone, now);
        }
    }

    /// Everything that is known of endpoints.
    pub fn everything(&self) -> CellMessage {
        CellMessage::Endpoints(self.directory.everything())
    }

    /// Takes a beat; whether its sender may lack what was told, as it is the first of a
    /// life or after a silence.
    pub fn take_beat(&mut self, beat: PeerBeat, now: ClockTime) -> bool {
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
    pub fn living(&self, now: ClockTime) -> impl Iterator<Item = (&PeerBeat, u64)> {
        let aged = self.peers.values().map(move |(beat, at)| (beat, now.since_ms(*at)));
        aged.filter(|(_, age_ms)| *age_ms <= MEMBER_MS)
    }

    /// Messages that tell others what has changed.
    pub fn take_news(&mut self, now: ClockTime) -> Vec<(VmName, CellMessage)> {
        let _ = self.directory.expire(FORGET_MS, now);
        let news = self.directory.take_news(REPEAT_MS, now);
        if news.is_empty() {
            return Vec::new();
        }
        let living = self.living(now).map(|(it, _)| it.owner.vm.clone());
        living.map(|vm| (vm, CellMessage::Endpoints(news.clone()))).collect()
    }

    /// What this VM tells of itself, and to whom.
    pub fn beats(
        &self,
        plan_version: u64,
        group: &ControlGroup,
        stopping: bool,
        seeds: &[VmName],
        now: ClockTime,
    ) -> Vec<(VmName, PeerBeat)> {
        let members: Vec<VmName> = self.living(now).map(|(it, _)| it.owner.vm.clone()).collect();
        let beat = PeerBeat {
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
