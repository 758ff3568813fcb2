//! Decisions of the yuccamux dispatcher for sub-second tasks.
//!
//! The crate has no sockets, files, clocks or threads. Each state machine takes a
//! time and an event and appends to a list of effects, which the adapters run. Long
//! randomised simulations are therefore cheap and deterministic.
//!
//! - A replicated log ([`replica_node`], [`log_group`]) drives two state machines: the
//!   [`job_ledger`] of each data centre and the [`config_state`] of the control group.
//! - The [`job_dispatcher`] of each entry queues the jobs that it has claimed, places
//!   their tasks and gathers their outputs.
//! - The [`endpoint_table`] and the [`peer_table`] hold the state of endpoints and of the
//!   other VMs.

#[macro_use]
extern crate macro_rules_attribute;

#[macro_use]
pub mod derives;

pub mod cell;
pub mod clock_time;
pub mod config_state;
mod control_membership;
pub mod control_node;
mod dispatch_admission;
mod dispatch_leases;
mod dispatch_pass;
mod dispatch_queue;
mod endpoint_slots;
pub mod endpoint_table;
mod entry_gossip;
pub mod entry_node;
mod entry_requests;
pub mod error_kind;
pub mod group_members;
pub mod ids;
pub mod invariant_check;
pub mod job_dispatcher;
pub mod job_key;
pub mod job_ledger;
pub mod job_run;
pub mod job_submission;
pub mod ledger_group;
pub mod log_group;
pub mod peer_message;
pub mod peer_table;
pub mod placement_choice;
pub mod policy_settings;
pub mod prelude;
pub mod proposal_client;
pub mod quarantine_list;
mod replica_bootstrap;
pub mod replica_effect;
mod replica_election;
mod replica_group;
pub mod replica_log;
pub mod replica_message;
pub mod replica_node;
mod replica_replication;
pub mod retry_budget;
pub mod run_estimates;
pub mod slot_leases;
pub mod urgent_reserve;
pub mod vm_layout;
pub mod workspace_template;
