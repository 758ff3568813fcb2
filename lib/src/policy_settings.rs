//! Scheduling policies and their alternatives.

use std::str::FromStr;

use crate::{prelude::*, quarantine_list::QuarantineRule, slot_leases::LeaseRule};

/// How an endpoint is chosen for a task.
#[derive(Data!, Copy)]
pub enum PlacementRule {
    /// A random one with a free slot.
    Random,
    /// The one with the fewest of this entry's tasks.
    LeastOutstanding,
    /// The less loaded of two chosen at random.
    TwoChoices,
    /// The one where the task is expected to finish first, even if it must wait for a slot.
    ExpectedFinish,
}

/// The order in which queued tasks are served.
#[derive(Data!, Copy)]
pub enum OrderRule {
    /// First come, first served.
    Arrival,
    /// The most urgent class first, then by arrival.
    Urgency,
    /// The most urgent class first, then the workspace furthest below its quota, then
    /// the job with the fewest unfinished tasks.
    UrgencyFairNearest,
}

/// When a job is refused before it is claimed.
#[derive(Data!, Copy)]
pub enum AdmissionRule {
    /// Never.
    Off,
    /// When the queue is full.
    BoundedQueue,
    /// When the predicted end lies past the deadline, or the predicted wait is too long.
    PredictedWait,
}

/// Policy of an entry.
#[derive(Data!, Copy)]
pub struct PolicySettings {
    /// Choice of endpoint.
    pub placement: PlacementRule,
    /// Division of slots among entries.
    pub leases: LeaseRule,
    /// Order of the queue.
    pub order: OrderRule,
    /// Admission control.
    pub admission: AdmissionRule,
    /// Quarantine of endpoints.
    pub quarantine: QuarantineRule,
    /// Most tasks in the queue under [`AdmissionRule::BoundedQueue`].
    pub max_queued: u32,
    /// Longest predicted wait under [`AdmissionRule::PredictedWait`], in ms.
    pub max_wait_ms: u64,
}

impl Default for PolicySettings {
    fn default() -> PolicySettings {
        PolicySettings {
            placement: PlacementRule::ExpectedFinish,
            leases: LeaseRule::Shares,
            order: OrderRule::UrgencyFairNearest,
            admission: AdmissionRule::PredictedWait,
            quarantine: QuarantineRule::FailuresAndStalls,
            max_queued: 10_000,
            max_wait_ms: 2_000,
        }
    }
}

/// Implements `FromStr` for a rule's values on the command line.
macro_rules! impl_rule_from_str {
    ($rule:ident { $($name:literal => $choice:ident,)* }) => {
        impl FromStr for $rule {
            type Err = String;

            fn from_str(text: &str) -> Result<$rule, String> {
                match text {
                    $($name => Ok($rule::$choice),)*
                    _ => {
                        let allowed = [$($name),*].join(", ");
                        Err(format!("{text:?} is not one of: {allowed}"))
                    }
                }
            }
        }
    };
}

impl_rule_from_str!(PlacementRule {
    "random" => Random,
    "least-outstanding" => LeastOutstanding,
    "two-choices" => TwoChoices,
    "expected-finish" => ExpectedFinish,
});
impl_rule_from_str!(LeaseRule {
    "uncoordinated" => Uncoordinated,
    "shares" => Shares,
    "single-owner" => SingleOwner,
});
impl_rule_from_str!(OrderRule {
    "arrival" => Arrival,
    "urgency" => Urgency,
    "urgency-fair-nearest" => UrgencyFairNearest,
});
impl_rule_from_str!(AdmissionRule {
    "off" => Off,
    "bounded-queue" => BoundedQueue,
    "predicted-wait" => PredictedWait,
});
impl_rule_from_str!(QuarantineRule {
    "off" => Off,
    "failures" => Failures,
    "failures-and-stalls" => FailuresAndStalls,
});
