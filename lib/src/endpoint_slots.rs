//! The dispatcher's state of an endpoint: its lease and the tasks in flight there.

use indexmap::IndexMap;

use crate::{
    endpoint_table::{ANNOUNCEMENT_TTL_MS, EndpointRecord},
    job_run::TaskRef,
    prelude::*,
    quarantine_list::TrustLevel,
    run_estimates::KindPath,
    slot_leases::SlotLease,
    workspace_template::UrgencyClass,
};

/// A task sent to an endpoint whose end has not been reported.
#[derive(Clone, Debug)]
pub(crate) struct InFlightTask {
    pub(crate) kind: KindPath,
    pub(crate) urgency: UrgencyClass,
    pub(crate) started_at: ClockTime,
    pub(crate) expected_ms: f64,
}

/// An endpoint with this entry's lease on it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointSlots {
    pub(crate) record: EndpointRecord,
    pub(crate) last_contact_at: ClockTime,
    pub(crate) accepts_work: bool,
    pub(crate) lease: SlotLease,
    pub(crate) in_flight: IndexMap<TaskRef, InFlightTask>,
    pub(crate) paused_until: ClockTime,
}

impl EndpointSlots {
    /// An endpoint without leased slots.
    pub(crate) fn new(record: EndpointRecord, last_contact_at: ClockTime) -> EndpointSlots {
        EndpointSlots {
            record,
            last_contact_at,
            accepts_work: false,
            lease: SlotLease::default(),
            in_flight: IndexMap::new(),
            paused_until: ClockTime::default(),
        }
    }

    /// Whether the last announcement is younger than [`ANNOUNCEMENT_TTL_MS`].
    pub(crate) fn is_fresh(&self, now: ClockTime) -> bool {
        now.since_ms(self.last_contact_at) <= ANNOUNCEMENT_TTL_MS
    }

    /// Slots that this entry may use, limited by the endpoint's connections and trust level.
    pub(crate) fn capacity(&self, trust: TrustLevel) -> u32 {
        let capacity = self.lease.capacity().min(self.record.connections);
        match trust {
            TrustLevel::Full => capacity,
            TrustLevel::Single => capacity.min(1),
            TrustLevel::None => 0,
        }
    }

    /// Free slots of this entry; none during the pause after a refusal.
    pub(crate) fn n_free(&self, trust: TrustLevel, now: ClockTime) -> u32 {
        if now < self.paused_until {
            return 0;
        }
        self.capacity(trust).saturating_sub(self.in_flight.len() as u32)
    }

    /// Tasks of the most urgent class in flight there.
    pub(crate) fn n_urgent(&self) -> u32 {
        let urgent = self.in_flight.values().filter(|it| it.urgency == UrgencyClass::High);
        urgent.count() as u32
    }

    /// Whether the endpoint serves this kind.
    pub(crate) fn serves(&self, kind: &KindName) -> bool {
        self.record.kinds.is_empty() || self.record.kinds.contains(kind)
    }
}
