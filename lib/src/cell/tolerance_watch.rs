//! Watches whether the control group can bear as many losses as its settings ask for.

use crate::prelude::*;

/// Time in ms in which the group regains its full tolerance after a single loss, once a VM that
/// may replace the lost one is up: 2.5 s of silence, a removal, an addition and an admission
/// take about four, and a newcomer that is lost meanwhile adds two.
pub const REGAIN_MS: u64 = 8_000;

/// What a control VM sees of its group.
#[derive(Data!, Copy)]
pub enum GroupHealth {
    /// The group bears all losses that it should, or its leader has to tell.
    Sound,
    /// The leader has too few voters that answer: this many, for a group of so many VMs.
    FewVoters(usize, usize),
    /// This replica hears no leader.
    NoLeader,
    /// This VM knows of no group.
    NoGroup,
}

/// A change of the alarm.
#[derive(Data!, Copy)]
pub enum ToleranceChange {
    /// The tolerance has been short for longer than it may; what is seen now.
    Short(GroupHealth),
    /// The tolerance is full again, after this time in ms.
    Regained(u64),
}

/// Since when the group has borne too few losses.
#[derive(Clone, Debug, Default)]
pub struct ToleranceWatch {
    short_since: Option<ClockTime>,
    is_reported: bool,
}

impl ToleranceWatch {
    /// Records what is seen; returns a change of the alarm.
    pub fn observe(&mut self, health: GroupHealth, now: ClockTime) -> Option<ToleranceChange> {
        if health == GroupHealth::Sound {
            let since = self.short_since.take()?;
            let was_reported = std::mem::take(&mut self.is_reported);
            return was_reported.then(|| ToleranceChange::Regained(now.since_ms(since)));
        }
        let since = *self.short_since.get_or_insert(now);
        if self.is_reported || now.since_ms(since) < REGAIN_MS {
            return None;
        }
        self.is_reported = true;
        Some(ToleranceChange::Short(health))
    }

    /// Whether the alarm is on.
    pub fn is_alarmed(&self) -> bool {
        self.is_reported
    }
}
