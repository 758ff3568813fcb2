//! What an entry tells the other VMs by UDP, and what it hears from them.

use crate::{
    entry_node::{EntryEffect, EntryNode, NEAR_HEARTBEAT_MS},
    job_dispatcher::PeerLoad,
    peer_message::{PeerDatagram, PeerMessage},
    peer_table::PeerHeartbeat,
    prelude::*,
};

/// Heartbeats within a data centre for each one to other data centres.
const FAR_HEARTBEAT_EVERY: u64 = 5;

impl EntryNode {
    /// Takes a message that came by UDP.
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
            PeerDatagram::CellHeartbeat(_) => {}
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
        let is_far_turn = self.n_heartbeats.is_multiple_of(FAR_HEARTBEAT_EVERY);
        let near = PeerHeartbeat {
            owner: self.settings.owner.clone(),
            centre: self.centre.clone(),
            config_version: self.image.version,
            stopping: self.stopping,
            load: self.load.clone(),
        };
        let far = PeerHeartbeat { load: PeerLoad::default(), ..near.clone() };
        for vm in self.settings.layout.vms() {
            let is_near = vm.centre == self.centre;
            if vm.name == self.settings.owner.vm || (!is_near && !is_far_turn) {
                continue;
            }
            let heartbeat = if is_near { near.clone() } else { far.clone() };
            let datagram = PeerDatagram::Heartbeat(heartbeat);
            self.effects.push(EntryEffect::SendDatagram(vm.name.clone(), datagram));
        }
    }

    pub(crate) fn send_endpoint_update(&mut self, now: ClockTime) {
        let update = self.endpoints.drain_update(now, NEAR_HEARTBEAT_MS);
        for part in update.into_parts() {
            for vm in self.settings.layout.entries_in(&self.centre) {
                if vm != self.settings.owner.vm {
                    let datagram = PeerDatagram::EndpointUpdate(part.clone());
                    self.effects.push(EntryEffect::SendDatagram(vm, datagram));
                }
            }
        }
    }

    /// Asks the VM with the highest version for what changed.
    pub(crate) fn pull_config(&mut self, now: ClockTime) {
        let highest = self.peers.highest_version(now);
        let behind = highest.filter(|(version, _)| self.image.version < *version);
        if let Some((_, vm)) = behind {
            let message = PeerMessage::ConfigPull(self.image.version);
            self.effects.push(EntryEffect::Send(vm.clone(), message));
        }
    }
}
