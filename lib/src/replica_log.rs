//! The entries of a replicated log and its latest snapshot, in memory.
//!
//! Hosts with a disk store the same changes there; see
//! [`StoreEffect`](crate::replica_effect::StoreEffect).

use indexmap::IndexSet;

use crate::prelude::*;

/// The content of a log entry.
#[derive(Data!)]
pub enum EntryPayload {
    /// Nothing; a new leader appends it to commit what came before.
    Noop,
    /// A command for the state machine, encoded by its owner.
    Command(Vec<u8>),
    /// The voters from this entry on.
    Voters(IndexSet<ReplicaId>),
}

/// One entry of the log.
#[derive(Data!)]
pub struct LogEntry {
    /// Position, from one.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Its content.
    pub payload: EntryPayload,
}

/// The state after an index, in place of the entries up to it.
#[derive(Data!, Default)]
pub struct LogSnapshot {
    /// Last index covered.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voters as of that entry.
    pub voters: IndexSet<ReplicaId>,
    /// Time before which an earlier generation may have accepted commands.
    pub fence: ClockTime,
    /// State, encoded by its owner; empty right after a bootstrap, and where a log was
    /// trimmed.
    pub state: Vec<u8>,
}

/// A snapshot and the entries after it.
#[derive(Data!, Default)]
pub struct ReplicaLog {
    snapshot: LogSnapshot,
    entries: Vec<LogEntry>,
}

impl ReplicaLog {
    /// A log that starts at `snapshot`.
    pub fn new(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> ReplicaLog {
        ReplicaLog { snapshot, entries }
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &LogSnapshot {
        &self.snapshot
    }

    /// Index of the last entry, or of the snapshot.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last entry, or of the snapshot.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |it| it.term)
    }

    /// Number of entries after the snapshot.
    pub fn n_entries(&self) -> usize {
        self.entries.len()
    }

    /// Term of the entry at `index`, if it is known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry_at(index).map(|it| it.term)
    }

    /// The entry at `index`, if it is kept.
    pub fn entry_at(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `index` on, at most `n_most` of them and about `max_bytes`.
    pub fn entries_from(&self, index: u64, n_most: usize, max_bytes: usize) -> &[LogEntry] {
        let Some(offset) = index.checked_sub(self.snapshot.index + 1) else {
            return &[];
        };
        let Some(tail) = self.entries.get(offset as usize..) else {
            return &[];
        };
        let mut n_taken = 0;
        let mut n_bytes = 0;
        for entry in tail.iter().take(n_most) {
            n_taken += 1;
            if let EntryPayload::Command(command) = &entry.payload {
                n_bytes += command.len();
            }
            if max_bytes <= n_bytes {
                break;
            }
        }
        &tail[..n_taken]
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(kept as usize);
    }

    /// Puts `state` in place of the entries up to `index`.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Some(term) = self.term_at(index) else { return };
        let voters = self.voters_at(index).clone();
        let n_dropped = (index - self.snapshot.index) as usize;
        self.entries.drain(..n_dropped);
        let fence = self.snapshot.fence;
        self.snapshot = LogSnapshot { index, term, voters, fence, state };
    }

    /// Drops the entries up to `index` and keeps no state in their place.
    pub fn trim(&mut self, index: u64) {
        if self.snapshot.index < index {
            self.compact(index, Vec::new());
        }
    }

    /// Replaces the whole log by `snapshot`, keeping entries that follow it.
    pub fn install(&mut self, snapshot: LogSnapshot) {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            let n_dropped = (snapshot.index - self.snapshot.index) as usize;
            self.entries.drain(..n_dropped);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// Voters in force at `index`.
    pub fn voters_at(&self, index: u64) -> &IndexSet<ReplicaId> {
        let voters = self.entries.iter().rev().filter(|it| it.index <= index).find_map(|it| {
            match &it.payload {
                EntryPayload::Voters(voters) => Some(voters),
                EntryPayload::Noop | EntryPayload::Command(_) => None,
            }
        });
        voters.unwrap_or(&self.snapshot.voters)
    }

    /// Index of the newest voters entry after `index`, if any.
    pub fn voters_entry_after(&self, index: u64) -> Option<u64> {
        let newest = self.entries.iter().rev().take_while(|it| index < it.index);
        newest.filter(|it| matches!(it.payload, EntryPayload::Voters(_))).map(|it| it.index).next()
    }
}
