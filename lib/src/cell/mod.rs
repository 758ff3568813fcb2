//! Tasks that need processor and memory, placed on endpoints that one entry leads.
//!
//! A *cell* is the set of endpoints of one service in one rack. One entry at a time
//! leads a cell: it alone sends orders to the cell's endpoints, under a fencing token
//! that rises with each change of leader, so the endpoints themselves refuse a former
//! leader. No agreement is needed for it, and a data centre that is cut off goes on.
//!
//! - [`job_router`]: the entry that a caller reached keeps the job until it is
//!   answered, offers it to the leader of a cell and offers it again when the leader
//!   changes.
//! - [`cell_dispatcher`]: the leader's queue, placement and orders. After a takeover it
//!   adopts what the endpoints still run, as their own lists tell.
//! - [`cell_node`]: the state of an entry, which joins both with the
//!   [`endpoint_directory`], the [`route_plan`] and what peers tell of themselves.
//!
//! A task is ordered again only on proof that its former run has not started or has
//! ended: the endpoint listed its end, acknowledged a stop, refused it, began another
//! life, or its lease has run out on the endpoint's clock.

pub mod cell_dispatcher;
pub mod cell_leadership;
pub mod cell_message;
pub mod cell_node;
mod cell_placement;
pub mod control_group;
pub mod decision_record;
mod dispatch_endpoints;
mod dispatch_ends;
mod dispatch_jobs;
mod dispatch_outcomes;
mod dispatch_starts;
mod dispatch_waits;
pub mod endpoint_directory;
pub mod endpoint_order;
mod endpoint_state;
mod home_load;
pub mod job_offer;
pub mod job_router;
pub mod membership_service;
mod node_callers;
mod node_cells;
mod node_peers;
pub mod route_plan;
pub mod run_forecast;
