//! The endpoints of a data centre, and how its entries replicate the table by gossip.
//!
//! An endpoint announces itself to any entry of its data centre once a second. That
//! entry sends the full record to the others when it is new or has changed, and only
//! its digest while it is repeated unchanged. An entry that receives an unknown digest
//! requests the record.

use indexmap::IndexMap;

use crate::prelude::*;

/// Age up to which an announcement is valid, in ms.
pub const ANNOUNCEMENT_TTL_MS: u64 = 3_000;
/// Age of the last announcement at which an endpoint is dropped from the table, in ms.
const EXPIRY_MS: u64 = 60_000;

/// An endpoint's announcement.
#[derive(Data!)]
pub struct EndpointRecord {
    /// Its name.
    pub name: EndpointName,
    /// Host and port of its HTTP server.
    pub address: String,
    /// Incarnation of the endpoint; grows with each restart.
    pub incarnation: u64,
    /// Most tasks that it runs at once.
    pub slots: u32,
    /// Most connections that it accepts.
    pub connections: u32,
    /// Kinds that it serves; empty for any.
    pub kinds: Vec<KindName>,
    /// Worker that it runs on.
    pub worker: String,
    /// Rack of the worker.
    pub rack: String,
    /// Processors of the worker.
    pub processors: u32,
    /// Memory of the worker, in MB.
    pub memory_mb: u64,
    /// Whether it is shutting down and accepts no new work.
    pub leaving: bool,
}

impl EndpointRecord {
    /// Digest of the record.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash = blake3::hash(&bytes);
        let mut head = [0; 8];
        head.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_be_bytes(head)
    }
}

/// What this entry knows of an endpoint.
#[derive(Data!)]
pub struct EndpointState {
    /// Its last announcement.
    pub record: EndpointRecord,
    /// Digest of that record.
    pub digest: u64,
    /// When it last announced itself to any entry.
    pub last_contact_at: ClockTime,
    /// When it last announced itself to this entry.
    pub announced_at: Option<ClockTime>,
    /// Whether the record has not been sent to the other entries yet.
    pub is_unsent: bool,
}

/// A gossip message about endpoints between entries.
#[derive(Data!, Default)]
pub struct EndpointUpdate {
    /// When it was sent, by the sender's clock; a paused process may read it much later.
    pub sent_at: ClockTime,
    /// Full records.
    pub records: Vec<EndpointRecord>,
    /// Digests of unchanged records announced again, with the announcement's age in ms.
    pub fresh_digests: Vec<(u64, u16)>,
    /// Digests whose record the sender requests.
    pub wanted_digests: Vec<u64>,
}

/// Most records in a datagram, so that it fits a network packet.
const MAX_RECORDS_PER_DATAGRAM: usize = 12;
/// Most digests in a datagram.
const MAX_DIGESTS_PER_DATAGRAM: usize = 100;

impl EndpointUpdate {
    /// Splits the update into parts that each fit a datagram; none when it is empty.
    pub fn into_parts(self) -> Vec<EndpointUpdate> {
        let sent_at = self.sent_at;
        let mut parts = Vec::new();
        for records in self.records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            parts.push(EndpointUpdate {
                sent_at,
                records: records.to_vec(),
                ..EndpointUpdate::default()
            });
        }
        for fresh_digests in self.fresh_digests.chunks(MAX_DIGESTS_PER_DATAGRAM) {
            parts.push(EndpointUpdate {
                sent_at,
                fresh_digests: fresh_digests.to_vec(),
                ..EndpointUpdate::default()
            });
        }
        for wanted_digests in self.wanted_digests.chunks(MAX_DIGESTS_PER_DATAGRAM) {
            parts.push(EndpointUpdate {
                sent_at,
                wanted_digests: wanted_digests.to_vec(),
                ..EndpointUpdate::default()
            });
        }
        parts
    }
}

/// The endpoints of a data centre.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: IndexMap<EndpointName, EndpointState>,
    by_digest: IndexMap<u64, EndpointName>,
    version: u64,
}

impl EndpointTable {
    /// An empty table.
    pub fn new() -> EndpointTable {
        EndpointTable::default()
    }

    /// Counter of changes other than repeated announcements.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values()
    }

    /// Records an announcement made to this entry.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) {
        if let Some(state) = self.upsert(record, now) {
            state.announced_at = Some(now);
        }
    }

    /// Merges an update from another entry; returns requested records and digests to request,
    /// if any.
    pub fn handle_update(
        &mut self,
        update: EndpointUpdate,
        now: ClockTime,
    ) -> Option<EndpointUpdate> {
        let mut answer = EndpointUpdate { sent_at: now, ..EndpointUpdate::default() };
        // An update may have waited in the socket of a paused process, so its age is counted
        // from when it was sent.
        let sent_at = update.sent_at.min(now);
        for record in update.records {
            if let Some(state) = self.upsert(record, sent_at) {
                state.is_unsent = false;
            }
        }
        for (digest, age_ms) in update.fresh_digests {
            let last_contact_at = sent_at.minus_ms(u64::from(age_ms));
            match self.by_digest.get(&digest).and_then(|it| self.endpoints.get_mut(it)) {
                Some(state) if state.digest == digest => {
                    state.last_contact_at = state.last_contact_at.max(last_contact_at);
                }
                _ => answer.wanted_digests.push(digest),
            }
        }
        for digest in update.wanted_digests {
            let known = self.by_digest.get(&digest).and_then(|it| self.endpoints.get(it));
            answer.records.extend(known.map(|it| it.record.clone()));
        }
        let is_empty = answer.records.is_empty() && answer.wanted_digests.is_empty();
        if is_empty { None } else { Some(answer) }
    }

    /// The update that this entry sends to the others once an interval: unsent records, and
    /// digests of announcements younger than the interval.
    pub fn drain_update(&mut self, now: ClockTime, interval_ms: u64) -> EndpointUpdate {
        let mut update = EndpointUpdate { sent_at: now, ..EndpointUpdate::default() };
        for state in self.endpoints.values_mut() {
            let Some(announced_at) = state.announced_at else { continue };
            let age_ms = now.since_ms(announced_at);
            if std::mem::take(&mut state.is_unsent) {
                update.records.push(state.record.clone());
            } else if age_ms < interval_ms {
                update.fresh_digests.push((state.digest, age_ms as u16));
            }
        }
        update
    }

    /// Drops endpoints without an announcement for `EXPIRY_MS`.
    pub fn expire(&mut self, now: ClockTime) {
        let n_before = self.endpoints.len();
        self.endpoints.retain(|_, it| now.since_ms(it.last_contact_at) < EXPIRY_MS);
        let endpoints = &self.endpoints;
        self.by_digest
            .retain(|digest, name| endpoints.get(name).is_some_and(|it| it.digest == *digest));
        if self.endpoints.len() < n_before {
            self.version += 1;
        }
    }

    /// Stores a record unless a later incarnation or its shutdown is known.
    fn upsert(&mut self, record: EndpointRecord, now: ClockTime) -> Option<&mut EndpointState> {
        let digest = record.digest();
        let name = record.name.clone();
        if let Some(state) = self.endpoints.get(&name) {
            let is_older = record.incarnation < state.record.incarnation;
            // Leaving is final for an incarnation: an older announcement may arrive later.
            let is_undone = record.incarnation == state.record.incarnation
                && state.record.leaving
                && !record.leaving;
            if is_older || is_undone {
                return None;
            }
        }
        let is_changed = self.endpoints.get(&name).is_none_or(|it| it.digest != digest);
        if is_changed {
            self.version += 1;
            self.by_digest.insert(digest, name.clone());
            let announced_at = self.endpoints.get(&name).and_then(|it| it.announced_at);
            let state = EndpointState {
                record,
                digest,
                last_contact_at: now,
                announced_at,
                is_unsent: true,
            };
            self.endpoints.insert(name.clone(), state);
        }
        let state = self.endpoints.get_mut(&name)?;
        state.last_contact_at = state.last_contact_at.max(now);
        Some(state)
    }
}
