//! What must hold in a world, while it runs and at its end.

use yuccamux::{job_ledger::JobState, prelude::*};

use crate::system_world::SystemWorld;

/// Time in which a configuration must be in force where links are whole, in ms.
const IN_FORCE_MS: u64 = 7_000;

impl SystemWorld {
    /// Every VM that could hear of it has a configuration some time after its acceptance.
    pub(crate) fn check_config(&mut self) {
        let is_whole = self.frozen.is_empty() && self.whole_since <= self.now;
        if !is_whole || self.now.since_ms(self.whole_since) < IN_FORCE_MS {
            return;
        }
        let due = self.now.minus_ms(IN_FORCE_MS);
        let accepted = self.accepted_at.iter().filter(|(at, _)| *at <= due);
        let Some(required) = accepted.map(|(_, version)| *version).max() else { return };
        for (vm, entry) in &self.entries {
            let is_old = self.started_at.get(vm).is_some_and(|it| *it <= due);
            if is_old && entry.node.config_version() < required {
                let version = entry.node.config_version();
                let text = format!("{vm} has version {version}, {required} was due");
                self.record.violations.push(text);
            }
        }
    }

    pub(crate) fn check_end(&mut self) {
        for (number, record) in &self.record.submissions {
            let (vm, incarnation) = &record.entry;
            let is_alive = self.entries.get(vm).is_some_and(|it| it.incarnation == *incarnation);
            if is_alive && record.answer.is_none() {
                let text = format!("submission {number} of {} has no answer", record.key);
                self.record.violations.push(text);
            }
        }
        self.check_changes();
        self.check_images();
        self.check_groups();
        self.record.check_end();
    }

    /// No accepted change is gone from any control VM.
    pub(crate) fn check_changes(&mut self) {
        let newest = self.record.accepted.values().copied().max().unwrap_or_default();
        for (vm, control) in &self.controls {
            let state = control.node.state();
            if state.image().version < newest {
                let text = format!("{vm} ended at version {}, not {newest}", state.image().version);
                self.record.violations.push(text);
            }
            for (change_id, version) in &self.record.accepted {
                let kept = state.history().iter().find(|it| it.version == *version);
                if kept.is_none_or(|it| it.change_id != *change_id) {
                    let text = format!("{vm} lost change {change_id}, accepted as {version}");
                    self.record.violations.push(text);
                }
            }
        }
    }

    /// Every entry holds the documents that the control VMs hold.
    fn check_images(&mut self) {
        let Some(control) = self.controls.values().max_by_key(|it| it.node.state().image().version)
        else {
            return;
        };
        for (vm, entry) in &self.entries {
            if entry.node.image() != control.node.state().image() {
                let text =
                    format!("{vm} does not hold the documents of the control VMs at the end");
                self.record.violations.push(text);
            }
        }
    }

    /// Every ledger serves again, with no job left running.
    pub(crate) fn check_groups(&mut self) {
        for (vm, entry) in &self.entries {
            for (group, ledger) in entry.node.ledgers() {
                let clock = self.now.plus_ms(self.skew_ms.get(vm).copied().unwrap_or_default());
                if !ledger.is_serving(clock) {
                    let node = ledger.node();
                    let text = format!(
                        "the replica of {group} on {vm} does not serve at the end: {} {:?} of {:?}, \
                         term {}, commit {}, voters {:?}",
                        node.id(),
                        node.role(),
                        node.generation(),
                        node.term(),
                        node.commit_index(),
                        node.voters().iter().map(ToString::to_string).collect::<Vec<_>>(),
                    );
                    self.record.violations.push(text);
                }
                let owners = ledger.ledger().running_owners();
                if !owners.is_empty() {
                    let running = ledger
                        .ledger()
                        .records()
                        .filter(|(_, it)| matches!(it.state, JobState::Running));
                    let keys: Vec<&JobKey> = running.map(|(key, _)| key).collect();
                    let text = format!("jobs {keys:?} of {owners:?} run in {group} at the end");
                    self.record.violations.push(text);
                }
            }
        }
    }
}
