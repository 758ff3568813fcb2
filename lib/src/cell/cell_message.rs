//! Messages between the system's processes about cells, endpoints and routes.

use std::fmt;

use crate::{
    cell::{
        endpoint_directory::EndpointRecord,
        job_offer::{JobCode, JobOffer, JobResult},
        route_plan::RoutePlan,
    },
    config_state::ControlGroup,
    job_ledger::OwnerId,
    prelude::*,
    vm_layout::VmRole,
};

/// Name of a cell.
#[derive(Id!)]
pub struct CellName {
    /// Service that its endpoints belong to.
    pub service: String,
    /// Their data centre.
    pub centre: DataCentre,
    /// Their rack.
    pub rack: String,
}

impl fmt::Display for CellName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.centre, self.rack)
    }
}

/// A message sent by TCP.
#[derive(Data!)]
pub enum CellMessage {
    /// Offers a job to the leader of a cell, with the send time on the sender's clock.
    Offer(CellName, JobOffer, ClockTime),
    /// The callers of these jobs, given with their offer numbers, still wait; with the send time on
    /// the sender's clock.
    KeepAlive(CellName, Vec<(JobCode, u64)>, ClockTime),
    /// Result of a job, with the number of the offer that it answers.
    JobResult(CellName, JobCode, u64, JobResult),
    /// Cancels a job whose caller has left.
    Cancel(JobCode),
    /// Asks the receiver to lead a cell that the sender led under this token.
    TransferLeadership(CellName, u64),
    /// Endpoint updates, each with whether that incarnation is gone.
    Endpoints(Vec<(EndpointRecord, bool)>),
    /// Asks for all endpoints, as the sender knows none.
    EndpointsRequest,
    /// The routes in force.
    Plan(RoutePlan),
    /// Cancels jobs, each given with its route and the number of the sender's question whether the receiver is
    /// its origin; answered by [`CellMessage::CancelAnswers`].
    CancelJobs(Vec<(JobCode, String, u64)>),
    /// Answers to questions, each with whether the sender was the job's origin.
    CancelAnswers(Vec<(JobCode, u64, bool)>),
}

/// State of a cell as its leader reports it.
#[derive(Data!)]
pub struct CellReport {
    /// The cell.
    pub cell: CellName,
    /// Fencing token of the leader.
    pub token: u64,
    /// Processor capacity of the endpoints that accept work, in thousandths of a core.
    pub cpu: u64,
    /// Free processor, in thousandths of a core.
    pub free_cpu: u64,
    /// Free processor that is not reserved for jobs with data in the cell's rack, in thousandths
    /// of a core.
    pub unreserved_cpu: u64,
    /// Part of the unreserved processor on endpoints well faster than average.
    pub fast_cpu: u64,
    /// Queued work, in ms of thousandths of a core.
    pub queued_work: u64,
}

/// Heartbeat of a process, sent by UDP.
#[derive(Data!)]
pub struct CellHeartbeat {
    /// VM and incarnation of the sender.
    pub owner: OwnerId,
    /// Send time on the sender's clock.
    pub sent_at: ClockTime,
    /// Whether it is an entry or a control VM.
    pub role: VmRole,
    /// Its data centre.
    pub centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub weight: u64,
    /// Version of the routes in force at the sender; zero if it has none.
    pub plan_version: u64,
    /// Whether it is shutting down.
    pub stopping: bool,
    /// Live VMs known to the sender; empty unless it is a control VM.
    pub members: Vec<VmName>,
    /// The control group as the sender knows it; default unless it is a control VM.
    pub group: ControlGroup,
    /// Cells that it leads.
    pub cells: Vec<CellReport>,
}

/// Heartbeats of the entries of a data centre, relayed to another one by UDP.
#[derive(Data!)]
pub struct HeartbeatDigest {
    /// Send time on the relay's clock.
    pub sent_at: ClockTime,
    /// Last heartbeat of each entry, with its age at the relay, in ms.
    pub heartbeats: Vec<(CellHeartbeat, u64)>,
}
