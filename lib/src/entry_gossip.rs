//! Messages that an entry exchanges with the other VMs by UDP.

use crate::{
    entry_node::{EntryEffect, EntryNode, LOCAL_HEARTBEAT_MS},
    job_dispatcher::PeerLoad,
    peer_message::{PeerDatagram, PeerMessage},
    peer_table::PeerHeartbeat,
    prelude::*,
};

/// Heartbeats within a data centre for each one to other data centres.
const REMOTE_HEARTBEAT_EVERY: u64 = 5;

impl EntryNode {
    /// Handles a datagram from another VM.
    pub fn handle_datagram(&mut self, from: &VmName, datagram: PeerDatagram, now: ClockTime) {
        match datagram {
            PeerDatagram::Heartbeat(heartbeat) => {
                if heartbeat.owner.vm != *from {
                    return;
                }
                if heartbeat.centre == self.centre {
                    let load = heartbeat.load.clone();
                    self.effects.push(EntryEffect::RecordPeerLoad(from.clone(), load));
                }
                self.peers.handle_heartbeat(heartbeat, now);
            }
            PeerDatagram::CellHeartbeat(_) | PeerDatagram::HeartbeatDigest(_) => {}
            PeerDatagram::EndpointUpdate(update) => {
                let answer = self.endpoints.handle_update(update, now).unwrap_or_default();
                for part in answer.into_parts() {
                    let datagram = PeerDatagram::EndpointUpdate(part);
                    self.effects.push(EntryEffect::SendDatagram(from.clone(), datagram));
                }
            }
        }
    }

    pub(crate) fn send_heartbeats(&mut self) {
        self.n_heartbeats += 1;
        let is_remote_turn = self.n_heartbeats.is_multiple_of(REMOTE_HEARTBEAT_EVERY);
        let local_heartbeat = PeerHeartbeat {
            owner: self.settings.owner.clone(),
            centre: self.centre.clone(),
            config_version: self.image.version,
            stopping: self.stopping,
            load: self.load.clone(),
        };
        let remote_heartbeat =
            PeerHeartbeat { load: PeerLoad::default(), ..local_heartbeat.clone() };
        for vm in self.settings.layout.vms() {
            let is_local = vm.centre == self.centre;
            if vm.name == self.settings.owner.vm || (!is_local && !is_remote_turn) {
                continue;
            }
            let heartbeat =
                if is_local { local_heartbeat.clone() } else { remote_heartbeat.clone() };
            let datagram = PeerDatagram::Heartbeat(heartbeat);
            self.effects.push(EntryEffect::SendDatagram(vm.name.clone(), datagram));
        }
    }

    pub(crate) fn send_endpoint_update(&mut self, now: ClockTime) {
        let update = self.endpoints.drain_update(now, LOCAL_HEARTBEAT_MS);
        for part in update.into_parts() {
            for vm in self.settings.layout.entries_in(&self.centre) {
                if vm != self.settings.owner.vm {
                    let datagram = PeerDatagram::EndpointUpdate(part.clone());
                    self.effects.push(EntryEffect::SendDatagram(vm, datagram));
                }
            }
        }
    }

    /// Requests the changes since the own version from the VM with the highest version.
    pub(crate) fn pull_config(&mut self, now: ClockTime) {
        let highest = self.peers.highest_version(now);
        let behind = highest.filter(|(version, _)| self.image.version < *version);
        if let Some((_, vm)) = behind {
            let message = PeerMessage::ConfigPull(self.image.version);
            self.effects.push(EntryEffect::Send(vm.clone(), message));
        }
    }
}
