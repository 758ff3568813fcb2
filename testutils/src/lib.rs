//! Fakes for randomised runs over the decisions of yuccamux, in virtual time.
//!
//! A [`message_bag`] delays, drops, repeats and reorders messages and cuts links. The
//! [`system_world`] puts entries, control VMs, endpoints and callers around it, breaks
//! them at random, and checks what must always hold.

pub mod cell_fixtures;
pub mod cell_runner;
pub mod cell_world;
pub mod fake_control;
pub mod fake_endpoint;
pub mod fake_entry;
pub mod fault_plan;
pub mod load_world;
pub mod message_bag;
pub mod reference_page;
pub mod system_world;
mod world_callers;
mod world_checks;
mod world_faults;
pub mod world_record;
