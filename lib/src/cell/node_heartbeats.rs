//! Heartbeats that an entry sends, receives and relays between data centres.

use std::collections::VecDeque;

use crate::{
    cell::{
        cell_message::{CellHeartbeat, CellMessage, HeartbeatDigest},
        cell_node::{CellNode, NodeEffect, PeerView},
        decision_record::{DecisionEvent, DecisionRecord},
        heartbeat_relay,
    },
    config_state::ControlGroup,
    prelude::*,
    vm_layout::VmRole,
};

/// Control VMs and the entries that this one relays to get every n-th heartbeat only.
const REMOTE_HEARTBEAT_INTERVAL: u64 = 2;

/// Entries of other data centres get every n-th heartbeat directly, for the difference of the
/// clocks: late offers are recognised by it.
const DIRECT_HEARTBEAT_INTERVAL: u64 = 16;

/// Heartbeats in a digest at most: a datagram of a few kilobytes.
const MAX_DIGEST_HEARTBEATS: usize = 32;

/// Number of heartbeats whose minimum delay serves as the baseline for the clock difference.
const OFFSET_SAMPLES: usize = 32;

impl CellNode {
    pub(super) fn heartbeat(&self, now: ClockTime) -> CellHeartbeat {
        CellHeartbeat {
            owner: self.settings.owner.clone(),
            sent_at: now,
            role: VmRole::Entry,
            centre: self.settings.centre.clone(),
            weight: self.settings.weight,
            plan_version: self.plan.as_ref().map_or(0, |it| it.version),
            stopping: self.stopping,
            members: Vec::new(),
            group: ControlGroup::default(),
            cells: self.led.values().map(|it| it.dispatcher.report(now)).collect(),
        }
    }

    /// Sends the heartbeat that is due, and the digests for other data centres.
    pub(super) fn send_heartbeats(&mut self, now: ClockTime) {
        self.refresh_own_views(now);
        let heartbeat = self.heartbeat(now);
        self.n_heartbeats += 1;
        // Control VMs tell an entry that starts of the others.
        let includes_remote =
            self.joined_at.is_none() || self.n_heartbeats.is_multiple_of(REMOTE_HEARTBEAT_INTERVAL);
        let includes_all = std::mem::take(&mut self.has_leadership_news)
            || self.n_heartbeats.is_multiple_of(DIRECT_HEARTBEAT_INTERVAL);
        let mut to: Vec<VmName> = Vec::new();
        for (vm, peer) in &self.peers {
            let is_due = match peer.heartbeat.role {
                VmRole::Entry => includes_all || peer.heartbeat.centre == self.settings.centre,
                VmRole::Control => includes_remote,
            };
            if is_due {
                to.push(vm.clone());
            }
        }
        if includes_remote {
            to.extend(self.controls.iter().filter(|it| !self.peers.contains_key(*it)).cloned());
            self.send_digests(&heartbeat, now);
        }
        self.effects.push(NodeEffect::Heartbeat(to, heartbeat));
    }

    /// Relays the heartbeats of this data centre.
    fn send_digests(&mut self, own: &CellHeartbeat, now: ClockTime) {
        if self.relay_recipients.is_none() {
            self.relay_recipients = Some(self.relay_recipients());
        }
        let Some(recipients) = self.relay_recipients.as_ref().filter(|it| !it.is_empty()) else {
            return;
        };
        let mut heartbeats = vec![(own.clone(), 0)];
        for peer in self.peers.values() {
            if self.is_local_entry(&peer.heartbeat) && !peer.is_lost {
                heartbeats.push((peer.heartbeat.clone(), now.since_ms(peer.last_contact_at)));
            }
        }
        for part in heartbeats.chunks(MAX_DIGEST_HEARTBEATS) {
            let digest = HeartbeatDigest { sent_at: now, heartbeats: part.to_vec() };
            self.effects.push(NodeEffect::Digest(recipients.clone(), digest));
        }
    }

    /// Entries of other data centres to which this one relays. Lost ones are among them: a cut
    /// may end.
    fn relay_recipients(&self) -> Vec<VmName> {
        let is_relay = |it: &PeerView| {
            self.is_local_entry(&it.heartbeat) && !it.is_lost && !it.heartbeat.stopping
        };
        let others: Vec<&VmName> =
            self.peers.iter().filter(|(_, it)| is_relay(it)).map(|(vm, _)| vm).collect();
        let own = &self.settings.owner.vm;
        let is_remote = |it: &PeerView| {
            it.heartbeat.role == VmRole::Entry && it.heartbeat.centre != self.settings.centre
        };
        let remote = self.peers.iter().filter(|(_, it)| is_remote(it)).map(|(vm, _)| vm);
        remote.filter(|it| heartbeat_relay::is_relay(own, &others, it)).cloned().collect()
    }

    fn is_local_entry(&self, heartbeat: &CellHeartbeat) -> bool {
        heartbeat.role == VmRole::Entry && heartbeat.centre == self.settings.centre
    }

    /// Handles a heartbeat that its sender sent directly.
    pub fn handle_heartbeat(&mut self, from: &VmName, heartbeat: CellHeartbeat, now: ClockTime) {
        if heartbeat.owner.vm != *from {
            return;
        }
        self.detect_stall(now);
        let sent_at = heartbeat.sent_at;
        let Some(is_found) = self.apply_heartbeat(heartbeat, now) else { return };
        if is_found {
            let own = self.heartbeat(now);
            self.effects.push(NodeEffect::Heartbeat(vec![from.clone()], own));
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.record_offset(sent_at, now);
            // A heartbeat that was queued while this process was paused is no proof that its
            // sender is live now.
            peer.last_contact_at = now.minus_ms(peer.delay_ms(sent_at, now));
        }
        self.run_effects(now);
    }

    /// Handles the heartbeats that an entry of another data centre relays.
    pub fn handle_digest(&mut self, from: &VmName, digest: HeartbeatDigest, now: ClockTime) {
        self.detect_stall(now);
        let delay_ms = self.peers.get(from).map_or(0, |it| it.delay_ms(digest.sent_at, now));
        for (heartbeat, age_ms) in digest.heartbeats {
            let vm = heartbeat.owner.vm.clone();
            let known = self.peers.get(&vm).filter(|it| it.heartbeat.owner == heartbeat.owner);
            let is_news = known.is_none_or(|it| it.heartbeat.sent_at < heartbeat.sent_at);
            if heartbeat.centre == self.settings.centre || !is_news {
                continue;
            }
            let former_contact_at = known.map_or(ClockTime::default(), |it| it.last_contact_at);
            let Some(is_found) = self.apply_heartbeat(heartbeat, now) else { continue };
            if let Some(peer) = self.peers.get_mut(&vm) {
                peer.last_contact_at = now.minus_ms(age_ms + delay_ms).max(former_contact_at);
            }
            if is_found {
                let own = self.heartbeat(now);
                self.effects.push(NodeEffect::Heartbeat(vec![vm], own));
            }
        }
        if let Some(relay) = self.peers.get_mut(from) {
            relay.record_offset(digest.sent_at, now);
        }
        self.run_effects(now);
    }

    /// Applies a VM's heartbeat; returns whether the VM is new, restarted or was lost, or none
    /// if the heartbeat is outdated.
    fn apply_heartbeat(&mut self, heartbeat: CellHeartbeat, now: ClockTime) -> Option<bool> {
        let from = heartbeat.owner.vm.clone();
        let known = self.peers.get(&from);
        // A process that starts after its VM's clock went back has a lower incarnation than the
        // former one.
        let is_outdated = known.is_some_and(|it| {
            heartbeat.owner.incarnation < it.heartbeat.owner.incarnation && !it.is_lost
        });
        if is_outdated || from == self.settings.owner.vm {
            return None;
        }
        let is_new_incarnation =
            known.is_none_or(|it| it.heartbeat.owner.incarnation != heartbeat.owner.incarnation);
        let is_found = known.is_none_or(|it| it.is_lost) || is_new_incarnation;
        if is_found || known.is_some_and(|it| it.heartbeat.stopping != heartbeat.stopping) {
            self.relay_recipients = None;
        }
        if self.peers.values().all(|it| it.is_lost) {
            self.joined_at = Some(now);
        }
        if is_new_incarnation && self.peers.contains_key(&from) {
            self.lose_peer(&from, "another life", now);
        }
        if is_found {
            self.last_peer_found_at = now;
            let record = DecisionRecord::new(now, DecisionEvent::PeerFound, from.as_str(), "heard");
            self.log_decision(record.with("plan_version", heartbeat.plan_version));
        }
        if is_found && heartbeat.role == VmRole::Entry {
            self.repeat_cancels(&from);
        }
        if heartbeat.role == VmRole::Control && !self.controls.contains(&from) {
            self.controls.push(from.clone());
        }
        self.greet_members(&heartbeat, now);
        self.update_peer(&from, &heartbeat, now);
        for report in &heartbeat.cells {
            self.highest_token = self.highest_token.max(report.token);
        }
        let former = self.peers.get_mut(&from).filter(|_| !is_new_incarnation);
        let (found_at, offsets_ms) = former.map_or_else(
            || (now, VecDeque::new()),
            |it| (it.found_at, std::mem::take(&mut it.offsets_ms)),
        );
        let view = PeerView {
            heartbeat,
            last_contact_at: now,
            found_at,
            broken_at: None,
            is_lost: false,
            offsets_ms,
        };
        self.peers.insert(from.clone(), view);
        self.apply_reports(&from, now);
        if is_new_incarnation && self.directory.live().next().is_none() {
            self.send(&from, CellMessage::EndpointsRequest);
        }
        Some(is_found)
    }

    /// Sends a first heartbeat to unknown VMs that a control VM lists.
    fn greet_members(&mut self, heartbeat: &CellHeartbeat, now: ClockTime) {
        let is_unknown =
            |it: &&VmName| **it != self.settings.owner.vm && !self.peers.contains_key(*it);
        let unknown: Vec<VmName> = heartbeat.members.iter().filter(is_unknown).cloned().collect();
        if !unknown.is_empty() {
            let own = self.heartbeat(now);
            self.effects.push(NodeEffect::Heartbeat(unknown, own));
        }
        for vm in &heartbeat.group.vms {
            if !self.controls.contains(vm) {
                self.controls.push(vm.clone());
            }
        }
    }
}

impl PeerView {
    /// Records the difference of the clocks that a directly sent datagram shows.
    fn record_offset(&mut self, sent_at: ClockTime, now: ClockTime) {
        self.offsets_ms.push_back(now.0 as i64 - sent_at.0 as i64);
        if OFFSET_SAMPLES < self.offsets_ms.len() {
            self.offsets_ms.pop_front();
        }
    }
}
