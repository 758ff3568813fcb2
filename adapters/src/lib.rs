//! I/O for the state machines of the `yuccamux` crate: sockets, files, clocks, metrics
//! and logs.
//!
//! One thread of a process owns its control state ([`entry_control`],
//! [`control_service`]); requests of callers and endpoints are served on others
//! ([`job_service`], [`entry_http`]).

#[expect(missing_docs, reason = "generated code")]
#[expect(clippy::all, reason = "generated code")]
#[rustfmt::skip]
pub mod api_types;
pub mod bearer_guard;
pub mod byte_budget;
pub mod cell_metrics;
pub mod cell_service;
pub mod connection_guard;
pub mod connection_pool;
mod connection_refusal;
pub mod control_http;
pub mod control_service;
mod control_thread;
pub mod decision_log;
pub mod endpoint_client;
pub mod entry_control;
pub mod entry_http;
pub mod entry_metrics;
pub mod eviction_order;
pub mod guarded_connection;
pub mod http_server;
pub mod job_service;
mod link_handshake;
pub mod link_key;
mod listener_guard;
pub mod log_lines;
pub mod log_store;
pub mod peer_limits;
pub mod peer_link;
pub mod process_setup;
pub mod request_body;
pub mod setting_args;
pub mod wall_clock;
