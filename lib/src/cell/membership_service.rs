//! Membership as control VMs serve it to cells: they receive the announcements of endpoints,
//! broadcast changes, and list live VMs in their heartbeats.
//!
//! A change is broadcast once. What may not have arrived at a VM is repeated with that VM's next
//! heartbeat, and again should the repeat be lost, so each live VM learns of every change. A VM
//! that is new, has restarted or was silent gets all endpoints in the same way.

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

/// Another VM, and which endpoint updates it may lack.
#[derive(Clone, Debug)]
struct MemberPeer {
    heartbeat: CellHeartbeat,
    last_contact_at: ClockTime,
    /// Time from which on updates may not have arrived.
    missed_since: Option<ClockTime>,
    /// When updates were last repeated, and the time from which on those updates were first sent.
    last_repeat: Option<(ClockTime, ClockTime)>,
}

/// A control VM's view of other VMs and of endpoints.
#[derive(Clone, Debug)]
pub struct MembershipService {
    owner: OwnerId,
    centre: DataCentre,
    directory: EndpointDirectory,
    peers: IndexMap<VmName, MemberPeer>,
}

/// Endpoint updates that a VM may lack.
#[derive(Data!)]
pub struct MissedUpdates {
    /// Time from which on they were sent; zero if the VM may lack all.
    pub since: ClockTime,
    /// The endpoints, each with whether its incarnation is gone.
    pub records: Vec<(EndpointRecord, bool)>,
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

    /// Handles a heartbeat; returns whether it is the first of its sender's incarnation or the
    /// first after `RESYNC_MS`.
    pub fn handle_heartbeat(&mut self, heartbeat: CellHeartbeat, now: ClockTime) -> bool {
        let vm = heartbeat.owner.vm.clone();
        let incarnation = heartbeat.owner.incarnation;
        let Some(peer) = self.peers.get_mut(&vm) else {
            let missed_since = Some(ClockTime::default());
            let peer =
                MemberPeer { heartbeat, last_contact_at: now, missed_since, last_repeat: None };
            self.peers.insert(vm, peer);
            return true;
        };
        let was_silent = RESYNC_MS < now.since_ms(peer.last_contact_at);
        let known = peer.heartbeat.owner.incarnation;
        // A process that starts after its VM's clock went back has a lower incarnation than the
        // former one, which has been silent since.
        if incarnation < known && !was_silent {
            return false;
        }
        let is_found = incarnation != known || was_silent;
        if is_found {
            peer.missed_since = Some(ClockTime::default());
        }
        peer.heartbeat = heartbeat;
        peer.last_contact_at = now;
        is_found
    }

    /// Records that messages sent to a VM at `since` or later may not have arrived, and earlier
    /// ones have.
    pub fn handle_message_loss(&mut self, vm: &VmName, since: ClockTime) {
        // A VM that is not known yet gets all endpoints with its first heartbeat.
        let Some(peer) = self.peers.get_mut(vm) else { return };
        let lost_repeat = peer.last_repeat.filter(|(repeated_at, _)| since <= *repeated_at);
        let since = lost_repeat.map_or(since, |(_, first_sent_at)| first_sent_at.min(since));
        peer.missed_since = Some(peer.missed_since.map_or(since, |it| it.min(since)));
    }

    /// Takes the updates to repeat to a VM that was just heard, if it may lack any.
    pub fn take_missed_updates(&mut self, vm: &VmName, now: ClockTime) -> Option<MissedUpdates> {
        let peer = self.peers.get_mut(vm)?;
        let since = peer.missed_since.take()?;
        peer.last_repeat = Some((now, since));
        let records = self.directory.updates_since(since);
        (!records.is_empty()).then_some(MissedUpdates { since, records })
    }

    /// Last heartbeats of the live VMs, with their age in ms.
    pub fn live_peers(&self, now: ClockTime) -> impl Iterator<Item = (&CellHeartbeat, u64)> {
        let aged =
            self.peers.values().map(move |it| (&it.heartbeat, now.since_ms(it.last_contact_at)));
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
