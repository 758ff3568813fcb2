//! Directory of endpoints, built from their announcements.
//!
//! A control VM receives announcements and broadcasts changes; entries merge the updates of
//! several control VMs. Of two announcements of one incarnation the one with the higher
//! sequence number is newer, and an older one is no sign of life. A later incarnation replaces
//! an earlier one under the same name. Leaving is final for an incarnation.
//!
//! An incarnation keeps its address. Endpoints that announce the same address are all kept:
//! only the answer from there tells which of them it is.
//!
//! A departure names no incarnation, so a late one may mean a former one. It is final for an
//! incarnation that has announced that it leaves; another one is back with its next
//! announcement.

use indexmap::{IndexMap, IndexSet};

use crate::{
    cell::{cell_message::CellName, job_offer::ResourceAmount},
    prelude::*,
};

/// An endpoint as it announced itself.
#[derive(Data!)]
pub struct EndpointRecord {
    /// Its name.
    pub name: EndpointName,
    /// Start time of this incarnation, in ms since the Unix epoch by the endpoint's clock.
    pub incarnation: u64,
    /// Sequence number of the announcement, increasing within an incarnation.
    pub seq: u64,
    /// Service that it belongs to.
    pub service: String,
    /// IP and port that receive orders.
    pub address: String,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its rack, or empty if it announces none.
    pub rack: String,
    /// Labels that steps of jobs may require.
    pub labels: Vec<String>,
    /// Resources that it offers to tasks.
    pub capacity: ResourceAmount,
    /// Whether it accepts no new work, as it is about to leave.
    pub leaving: bool,
}

impl EndpointRecord {
    /// Name of the cell that it belongs to.
    pub fn cell(&self) -> CellName {
        CellName {
            service: self.service.clone(),
            centre: self.centre.clone(),
            rack: self.rack.clone(),
        }
    }

    /// Whether it belongs to `cell`.
    fn is_in(&self, cell: &CellName) -> bool {
        (&self.service, &self.centre, &self.rack) == (&cell.service, &cell.centre, &cell.rack)
    }

    /// Whether this announcement is newer than `known`, of the same endpoint.
    fn is_newer_than(&self, known: &EndpointRecord) -> bool {
        (known.incarnation, known.seq) < (self.incarnation, self.seq)
    }

    /// Whether both are equal apart from the sequence number.
    fn equals_ignoring_seq(&self, other: &EndpointRecord) -> bool {
        let EndpointRecord { seq: _, .. } = self;
        let with_own_seq = EndpointRecord { seq: self.seq, ..other.clone() };
        with_own_seq == *self
    }
}

/// Effect of an announcement or update on the directory.
#[derive(Data!, Copy)]
pub enum DirectoryChange {
    /// Nothing that matters to placement.
    Same,
    /// An endpoint is new, changed, leaving, gone or in a new incarnation.
    Changed,
}

/// An endpoint with the state of its announcements.
#[derive(Data!)]
pub struct DirectoryEntry {
    /// Its last announcement.
    pub record: EndpointRecord,
    /// Whether this incarnation has ended, as far as is known.
    pub gone: bool,
    /// When its last announcement or update arrived.
    pub last_contact_at: ClockTime,
    /// When its state was last sent to others; zero if it has not been sent yet.
    pub sent_at: ClockTime,
    /// Whether the announcement came from the endpoint itself and not from a peer.
    pub is_direct: bool,
}

impl DirectoryEntry {
    /// Whether the incarnation stays gone, as it announced that it leaves.
    fn is_final(&self) -> bool {
        self.gone && self.record.leaving
    }
}

/// All known endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    entries: IndexMap<EndpointName, DirectoryEntry>,
    /// Live endpoints by cell: a scan over all endpoints for each heartbeat would cost a large
    /// fleet more than its jobs.
    names_by_cell: IndexMap<CellName, IndexSet<EndpointName>>,
}

impl EndpointDirectory {
    /// Every known endpoint, including those that are gone.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Endpoints that are not gone.
    pub fn live(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().filter(|it| !it.gone).map(|it| &it.record)
    }

    /// Cells with a live endpoint.
    pub fn cells(&self) -> impl Iterator<Item = &CellName> {
        self.names_by_cell.keys()
    }

    /// Live endpoints of a cell.
    pub fn endpoints_of(&self, cell: &CellName) -> impl Iterator<Item = &EndpointRecord> {
        let names = self.names_by_cell.get(cell).into_iter().flatten();
        names.filter_map(|it| self.entries.get(it)).map(|it| &it.record)
    }

    /// Applies an announcement by the endpoint itself.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) -> DirectoryChange {
        self.apply(record, true, now)
    }

    fn apply(
        &mut self,
        mut record: EndpointRecord,
        is_direct: bool,
        now: ClockTime,
    ) -> DirectoryChange {
        let mut change = DirectoryChange::Changed;
        let mut sent_at = ClockTime::default();
        if let Some(known) = self.entries.get_mut(&record.name) {
            if !record.is_newer_than(&known.record) {
                // An older one is no contact: another writer's with a number that the endpoint
                // never reaches expires.
                let is_repeat = record.incarnation == known.record.incarnation
                    && record.seq == known.record.seq;
                if is_repeat && !known.gone {
                    known.last_contact_at = now;
                }
                return DirectoryChange::Same;
            }
            if record.incarnation == known.record.incarnation {
                // A process listens at the same address for as long as it runs.
                if known.is_final() || record.address != known.record.address {
                    return DirectoryChange::Same;
                }
                record.leaving |= known.record.leaving;
                if !known.gone && record.equals_ignoring_seq(&known.record) {
                    change = DirectoryChange::Same;
                    sent_at = known.sent_at;
                }
            }
        }
        self.assign_cell(&record);
        let entry =
            DirectoryEntry { gone: false, last_contact_at: now, sent_at, is_direct, record };
        self.entries.insert(entry.record.name.clone(), entry);
        change
    }

    /// Lists an endpoint under its cell, and no longer under a former one.
    fn assign_cell(&mut self, record: &EndpointRecord) {
        let cell = record.cell();
        if let Some(known) = self.entries.get(&record.name)
            && !known.record.is_in(&cell)
        {
            remove_from_cell(&mut self.names_by_cell, &known.record);
        }
        self.names_by_cell.entry(cell).or_default().insert(record.name.clone());
    }

    /// Marks an endpoint as gone, unless it has a later incarnation than the given one.
    pub fn mark_gone(&mut self, name: &EndpointName, incarnation: Option<u64>) -> DirectoryChange {
        match self.entries.get_mut(name) {
            Some(entry)
                if !entry.gone && incarnation.is_none_or(|it| entry.record.incarnation <= it) =>
            {
                entry.gone = true;
                entry.sent_at = ClockTime::default();
                remove_from_cell(&mut self.names_by_cell, &entry.record);
                DirectoryChange::Changed
            }
            _ => DirectoryChange::Same,
        }
    }

    /// Merges an update that a peer sent. A departure is outdated once the incarnation has
    /// announced itself again, unless it leaves.
    pub fn merge(&mut self, record: EndpointRecord, gone: bool, now: ClockTime) -> DirectoryChange {
        let (name, incarnation) = (record.name.clone(), record.incarnation);
        let is_outdated = self.entries.get(&name).is_some_and(|it| {
            it.record.incarnation == incarnation
                && record.seq < it.record.seq
                && !it.record.leaving
                && !record.leaving
        });
        if gone && is_outdated {
            return DirectoryChange::Same;
        }
        let announced = self.apply(record, false, now);
        if gone { self.mark_gone(&name, Some(incarnation)) } else { announced }
    }

    /// Drains the updates for others, with whether each endpoint is gone: changes, and every
    /// `repeat_ms` the live endpoints that announce themselves here.
    pub fn drain_updates(&mut self, repeat_ms: u64, now: ClockTime) -> Vec<(EndpointRecord, bool)> {
        let mut updates = Vec::new();
        for entry in self.entries.values_mut() {
            let is_recent = now.since_ms(entry.last_contact_at) < repeat_ms;
            let is_due = repeat_ms <= now.since_ms(entry.sent_at);
            let is_repeat = is_due && is_recent && !entry.gone && entry.is_direct;
            if is_repeat || entry.sent_at == ClockTime::default() {
                entry.sent_at = now;
                updates.push((entry.record.clone(), entry.gone));
            }
        }
        updates
    }

    /// All known endpoints with whether each is gone, for a peer that has none.
    pub fn snapshot(&self) -> Vec<(EndpointRecord, bool)> {
        self.updates_since(ClockTime::default())
    }

    /// Last state of the endpoints that were sent at `since` or later, with whether each is gone.
    pub fn updates_since(&self, since: ClockTime) -> Vec<(EndpointRecord, bool)> {
        let sent = self.entries.values().filter(|it| since <= it.sent_at);
        sent.map(|it| (it.record.clone(), it.gone)).collect()
    }

    /// Restarts the expiry time of every endpoint, as no control VM is reachable that would send
    /// updates.
    pub fn refresh_all(&mut self, now: ClockTime) {
        for entry in self.entries.values_mut() {
            entry.last_contact_at = now;
        }
    }

    /// Drops endpoints without an announcement or update within `timeout_ms`; returns their names.
    pub fn expire(&mut self, timeout_ms: u64, now: ClockTime) -> Vec<EndpointName> {
        let is_expired = |it: &DirectoryEntry| timeout_ms < now.since_ms(it.last_contact_at);
        let mut expired = Vec::new();
        self.entries.retain(|name, it| {
            let is_kept = !is_expired(it);
            if !is_kept {
                remove_from_cell(&mut self.names_by_cell, &it.record);
                expired.push(name.clone());
            }
            is_kept
        });
        expired
    }
}

fn remove_from_cell(
    names_by_cell: &mut IndexMap<CellName, IndexSet<EndpointName>>,
    record: &EndpointRecord,
) {
    let cell = record.cell();
    if let Some(names) = names_by_cell.get_mut(&cell) {
        names.shift_remove(&record.name);
        if names.is_empty() {
            names_by_cell.swap_remove(&cell);
        }
    }
}
