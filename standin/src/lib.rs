//! A stand-in endpoint for trials and tests: slots, a speed, scripted faults, and a
//! record of every task start.

pub mod standin_endpoint;
pub mod standin_script;
