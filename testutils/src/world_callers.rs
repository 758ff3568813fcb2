//! Callers that submit jobs, and operators that change the configuration.

use rand::{RngExt, seq::IndexedRandom};
use yuccamux::{
    config_state::{ChangeAction, ConfigChange},
    entry_node::CallNumber,
    job_run::RepeatRule,
    prelude::*,
};

use crate::{
    fake_entry::CallerJob,
    system_world::{QUIET_MS, SystemWorld, WorldEvent},
    world_record::CallerRecord,
};

impl SystemWorld {
    pub(crate) fn next_arrival(&mut self) {
        let mean_ms = self.settings.arrival_mean_ms;
        let wait_ms = self.rng.random_range(1..=2 * mean_ms);
        if self.quiet_from.plus_ms(QUIET_MS / 4) <= self.now {
            return;
        }
        self.at(wait_ms, WorldEvent::Arrival);
        let centres = self.layout.centres();
        let Some(home) = centres.choose(&mut self.rng) else { return };
        let key = JobKey::mint(home, self.now, &self.rng.random());
        let n_tasks = self.rng.random_range(1..=6);
        let repeat_rule =
            if self.rng.random_bool(0.2) { RepeatRule::Idempotent } else { RepeatRule::AtMostOnce };
        let submit = |entry| WorldEvent::Submit { key: key.clone(), n_tasks, repeat_rule, entry };
        self.at(0, submit(None));
        // Callers that believe a job lost send it again, at once or later.
        while self.rng.random_bool(0.4) {
            let longest_ms = if self.rng.random_bool(0.5) { 50 } else { 8_000 };
            let delay_ms = self.rng.random_range(0..longest_ms);
            self.at(delay_ms, submit(None));
        }
        if self.rng.random_bool(0.05) {
            let delay_ms = self.rng.random_range(0..400);
            self.at(delay_ms, WorldEvent::Cancel { key });
        }
    }

    pub(crate) fn submit(
        &mut self,
        key: JobKey,
        n_tasks: u32,
        repeat_rule: RepeatRule,
        entry: Option<VmName>,
    ) {
        let vms: Vec<VmName> = self.entries.keys().cloned().collect();
        let Some(vm) = entry.or_else(|| vms.choose(&mut self.rng).cloned()) else { return };
        if self.frozen.contains(&vm) {
            // The bytes wait in the frozen process's socket.
            let entry = Some(vm);
            self.at(200, WorldEvent::Submit { key, n_tasks, repeat_rule, entry });
            return;
        }
        let clock = self.clock_of(&vm);
        let Some(entry) = self.entries.get_mut(&vm) else { return };
        self.next_submission += 1;
        let number = self.next_submission;
        let record = CallerRecord {
            key: key.clone(),
            n_tasks,
            sent_at: self.now,
            entry: (vm.clone(), entry.incarnation),
            answer: None,
        };
        self.record.submissions.insert(number, record);
        let deadline = clock.plus_ms(self.rng.random_range(500..6_000));
        let nonce = self.rng.random();
        entry.submit(CallerJob { number, key, n_tasks, deadline, repeat_rule, nonce }, clock);
        self.drain_entry(&vm);
    }

    pub(crate) fn next_change(&mut self) {
        if self.quiet_from.plus_ms(QUIET_MS / 4) <= self.now {
            return;
        }
        let wait_ms = self.rng.random_range(100..2_000);
        self.at(wait_ms, WorldEvent::Change);
        let newest = self.controls.values().map(|it| it.node.state().image().version).max();
        let base_version = newest.unwrap_or_default();
        let teams = [None, Some(1), Some(2), Some(3)];
        let team = teams.choose(&mut self.rng).copied().flatten().filter(|_| 0 < base_version);
        // Two operators often race from one base version.
        let n_rivals = if self.rng.random_bool(0.4) { 2 } else { 1 };
        for _ in 0..n_rivals {
            self.next_change += 1;
            let quota = 1_000 + self.next_change;
            let text = match team {
                None => format!(
                    "[template.t.kinds.task]\nexpected_ms = 50\n\
                     [workspace.work]\ntemplate = \"t\"\nquota_slots = {quota}\n"
                ),
                Some(team) => {
                    format!("[workspace.team-{team}]\ntemplate = \"t\"\nquota_slots = {quota}\n")
                }
            };
            let change_id = format!("change-{}", self.next_change);
            let action = ChangeAction::Publish(text);
            self.send_change(ConfigChange { change_id, base_version, action });
        }
    }

    pub(crate) fn send_change(&mut self, change: ConfigChange) {
        let vms: Vec<VmName> = self.controls.keys().cloned().collect();
        let Some(vm) = vms.choose(&mut self.rng).cloned() else { return };
        if self.frozen.contains(&vm) {
            return;
        }
        let clock = self.clock_of(&vm);
        self.next_call += 1;
        let call = CallNumber(self.next_call);
        self.changes.insert((vm.clone(), call), change.clone());
        if let Some(control) = self.controls.get_mut(&vm) {
            control.node.change(call, change, 3_000, clock);
        }
        self.drain_control(&vm);
    }

    pub(crate) fn end_change(
        &mut self,
        vm: &VmName,
        call: CallNumber,
        result: Result<u64, RequestError>,
    ) {
        let Some(change) = self.changes.swap_remove(&(vm.clone(), call)) else { return };
        if let Ok(version) = &result {
            self.accepted_at.push((self.now, *version));
            let first = self.accepted_bases.entry((change.base_version, touched(&change)));
            let first = first.or_insert_with(|| change.change_id.clone());
            if *first != change.change_id {
                let text = format!(
                    "changes {first} and {} were both accepted on base version {}",
                    change.change_id, change.base_version
                );
                self.record.violations.push(text);
            }
        }
        let is_unanswered = result.as_ref().is_err_and(|it| it.kind == ErrorKind::NoLeader);
        self.record.note_change(&change.change_id, result);
        if is_unanswered || self.rng.random_bool(0.3) {
            let delay_ms = self.rng.random_range(10..4_000);
            self.at(delay_ms, WorldEvent::Resend(change));
        }
    }
}

/// The workspace that a change of this world touches.
fn touched(change: &ConfigChange) -> String {
    let ChangeAction::Publish(text) = &change.action else { return String::new() };
    let workspace = text.split("[workspace.").nth(1).and_then(|it| it.split(']').next());
    workspace.unwrap_or_default().to_owned()
}
