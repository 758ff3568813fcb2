//! Scheduling of tasks with processor and memory demands on cells of endpoints.
//!
//! A *cell* is the set of endpoints of one service in one rack. One entry at a time
//! leads a cell and sends orders to its endpoints. Each order carries a fencing token
//! that rises with every change of leader, so endpoints reject a former leader. This
//! needs no consensus, so a partitioned data centre keeps working.
//!
//! - [`job_router`]: the origin of a job (the entry to which its caller connected) keeps
//!   it until it is answered, offers it to the leader of a cell, and offers it again when
//!   the leader changes.
//! - [`cell_dispatcher`]: the leader's queue, placement and orders. After a takeover it
//!   adopts the runs that the endpoints still list.
//! - [`cell_node`]: the state machine of an entry, which combines both with the
//!   [`endpoint_directory`], the [`route_plan`] and the heartbeats of peers.
//!
//! A task is ordered again only on proof ([`run_proof`]) that its former run has ended or never
//! began: the endpoint listed its end, refused its start, acknowledged a stop some time ago, or
//! its lease has expired on the endpoint's clock. An expired lease proves nothing about starts
//! still on their way, so the endpoint then gets a higher token before it gets another lease.

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
mod heartbeat_relay;
pub mod job_offer;
pub mod job_router;
mod local_load;
pub mod membership_service;
mod node_callers;
pub mod node_cancels;
mod node_cells;
mod node_heartbeats;
mod node_peers;
mod placement_timeline;
pub mod route_plan;
pub mod run_bounds;
pub mod run_forecast;
pub mod run_proof;
pub mod service_shares;
mod straggler_check;
pub mod tolerance_watch;
pub mod wait_forecast;
