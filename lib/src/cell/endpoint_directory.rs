//! The endpoints, as they announce themselves.
//!
//! A control VM takes announcements and spreads what changed; entries merge what
//! several control VMs tell. Of two announcements of one life the one with the higher
//! number is newer; a later life replaces an earlier one, under the same name or at
//! the same address. Leaving is final for a life.

use indexmap::IndexMap;

use crate::{cell::job_offer::ResourceRoom, prelude::*};

/// An endpoint as it announced itself.
#[derive(Data!)]
pub struct EndpointRecord {
    /// Its name.
    pub name: EndpointName,
    /// When this life began, in its own ms since the Unix epoch.
    pub incarnation: u64,
    /// Number of the announcement, growing within a life.
    pub seq: u64,
    /// Service that it belongs to.
    pub service: String,
    /// IP and port for orders.
    pub address: String,
    /// Its data centre.
    pub centre: DataCentre,
    /// Rack, or empty when it names none.
    pub rack: String,
    /// Labels.
    pub labels: Vec<String>,
    /// What it offers.
    pub capacity: ResourceRoom,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl EndpointRecord {
    /// Whether this announcement is newer than `known`, of the same endpoint.
    fn is_newer_than(&self, known: &EndpointRecord) -> bool {
        (known.incarnation, known.seq) < (self.incarnation, self.seq)
    }

    /// Whether both say the same apart from the number.
    fn says_same(&self, other: &EndpointRecord) -> bool {
        let EndpointRecord { seq: _, .. } = self;
        let numbered = EndpointRecord { seq: self.seq, ..other.clone() };
        numbered == *self
    }
}

/// What a merge did to the directory.
#[derive(Data!, Copy)]
pub enum DirectoryChange {
    /// Nothing that matters to placement.
    Same,
    /// An endpoint is new, changed, leaves or began another life.
    Changed,
}

/// An endpoint with what is known of its announcements.
#[derive(Data!)]
pub struct DirectoryEntry {
    /// Its last announcement.
    pub record: EndpointRecord,
    /// Whether this life has ended.
    pub gone: bool,
    /// When it was last announced or told of.
    pub last_contact_at: ClockTime,
    /// When it was last told to others; zero when that is still to be done.
    pub sent_at: ClockTime,
    /// Whether the endpoint itself told of this announcement.
    pub is_direct: bool,
}

/// All endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    entries: IndexMap<EndpointName, DirectoryEntry>,
    /// Endpoint that was last born at each address.
    names_by_address: IndexMap<String, EndpointName>,
}

impl EndpointDirectory {
    /// Every endpoint, also those that are gone.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Endpoints whose life goes on.
    pub fn live(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().filter(|it| !it.gone).map(|it| &it.record)
    }

    /// Takes an announcement.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) -> DirectoryChange {
        self.take(record, true, now)
    }

    fn take(
        &mut self,
        mut record: EndpointRecord,
        is_direct: bool,
        now: ClockTime,
    ) -> DirectoryChange {
        let at_address = self.at_address(&record.address);
        let usurped = at_address.is_some_and(|it| {
            it.record.name != record.name && record.incarnation < it.record.incarnation
        });
        if usurped {
            return DirectoryChange::Same;
        }
        let mut change = DirectoryChange::Changed;
        let mut sent_at = ClockTime::default();
        if let Some(known) = self.entries.get_mut(&record.name) {
            if !record.is_newer_than(&known.record) {
                if record.incarnation == known.record.incarnation && !known.gone {
                    known.last_contact_at = now;
                }
                return DirectoryChange::Same;
            }
            if record.incarnation == known.record.incarnation {
                if known.gone {
                    return DirectoryChange::Same;
                }
                record.leaving |= known.record.leaving;
                if record.says_same(&known.record) {
                    change = DirectoryChange::Same;
                    sent_at = known.sent_at;
                }
            }
        }
        self.take_address(&record);
        let entry =
            DirectoryEntry { gone: false, last_contact_at: now, sent_at, is_direct, record };
        self.entries.insert(entry.record.name.clone(), entry);
        change
    }

    fn at_address(&self, address: &str) -> Option<&DirectoryEntry> {
        let entry = self.entries.get(self.names_by_address.get(address)?)?;
        (entry.record.address == address).then_some(entry)
    }

    /// Ends the life of another endpoint at the address of one that is newer.
    fn take_address(&mut self, record: &EndpointRecord) {
        let former = self.names_by_address.get(&record.address);
        if former == Some(&record.name) {
            return;
        }
        if let Some(former) = former.cloned()
            && let Some(entry) = self.entries.get_mut(&former)
            && entry.record.address == record.address
        {
            entry.gone = true;
        }
        self.names_by_address.insert(record.address.clone(), record.name.clone());
    }

    /// Takes word that an endpoint's present life is over.
    pub fn mark_gone(&mut self, name: &EndpointName, incarnation: Option<u64>) -> DirectoryChange {
        match self.entries.get_mut(name) {
            Some(entry)
                if !entry.gone && incarnation.is_none_or(|it| entry.record.incarnation <= it) =>
            {
                entry.gone = true;
                entry.sent_at = ClockTime::default();
                DirectoryChange::Changed
            }
            _ => DirectoryChange::Same,
        }
    }

    /// Takes what a peer told of an endpoint.
    pub fn merge(&mut self, record: EndpointRecord, gone: bool, now: ClockTime) -> DirectoryChange {
        let (name, incarnation) = (record.name.clone(), record.incarnation);
        let announced = self.take(record, false, now);
        if gone { self.mark_gone(&name, Some(incarnation)) } else { announced }
    }

    /// Endpoints to tell others of: changed ones, and the living each `repeat_ms`.
    pub fn drain_updates(&mut self, repeat_ms: u64, now: ClockTime) -> Vec<(EndpointRecord, bool)> {
        let mut news = Vec::new();
        for entry in self.entries.values_mut() {
            let is_heard = now.since_ms(entry.last_contact_at) < repeat_ms;
            let is_due = repeat_ms <= now.since_ms(entry.sent_at);
            let is_repeat = is_due && is_heard && !entry.gone && entry.is_direct;
            if is_repeat || entry.sent_at == ClockTime::default() {
                entry.sent_at = now;
                news.push((entry.record.clone(), entry.gone));
            }
        }
        news
    }

    /// Everything, for a peer that knows nothing.
    pub fn snapshot(&self) -> Vec<(EndpointRecord, bool)> {
        self.entries.values().map(|it| (it.record.clone(), it.gone)).collect()
    }

    /// Counts every endpoint as heard of, as nobody who would tell of them is.
    pub fn refresh_all(&mut self, now: ClockTime) {
        for entry in self.entries.values_mut() {
            entry.last_contact_at = now;
        }
    }

    /// Forgets endpoints not heard of within `span_ms`; returns their names.
    pub fn expire(&mut self, span_ms: u64, now: ClockTime) -> Vec<EndpointName> {
        let is_old = |it: &DirectoryEntry| span_ms < now.since_ms(it.last_contact_at);
        let old: Vec<EndpointName> = self
            .entries
            .iter()
            .filter(|(_, it)| is_old(it))
            .map(|(name, _)| name.clone())
            .collect();
        self.entries.retain(|_, it| !is_old(it));
        self.names_by_address.retain(|_, name| self.entries.contains_key(name));
        old
    }
}
