//! Messages about cells, endpoints and plans between the system's processes.

use std::fmt;

use crate::{
    cell::{
        endpoint_directory::EndpointRecord,
        job_offer::{JobCode, JobOffer, JobVerdict},
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
    /// Service of its endpoints.
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

/// A message by TCP.
#[derive(Data!)]
pub enum CellMessage {
    /// Run this job in a cell that the receiver leads; the sender's time.
    Offer(CellName, JobOffer, ClockTime),
    /// The callers of these offers to a cell, by job and number, still wait.
    KeepAlive(CellName, Vec<(JobCode, u64)>),
    /// How the job of an offer with this number ended.
    JobResult(CellName, JobCode, u64, JobVerdict),
    /// The caller of a job has left.
    Cancel(JobCode),
    /// Lead this cell, which the sender led with this token.
    TransferLeadership(CellName, u64),
    /// Endpoints, and whether their life is over.
    Endpoints(Vec<(EndpointRecord, bool)>),
    /// The sender knows no endpoints.
    EndpointsRequest,
    /// The routes in force.
    Plan(RoutePlan),
}

/// What a leader tells of a cell.
#[derive(Data!)]
pub struct CellReport {
    /// The cell.
    pub cell: CellName,
    /// Token of the leader.
    pub token: u64,
    /// Processor offered by endpoints that take work, in thousandths of a core.
    pub cpu: u64,
    /// Processor that is free, in thousandths of a core.
    pub free_cpu: u64,
    /// Processor that is free beyond what is kept for jobs with data in the cell's rack, in
    /// thousandths of a core.
    pub unreserved_cpu: u64,
    /// Of the open processor, that of endpoints well faster than average.
    pub fast_cpu: u64,
    /// Work that waits, in ms of thousandths of a core.
    pub queued_work: u64,
}

/// What a process tells of itself, by UDP.
#[derive(Data!)]
pub struct CellHeartbeat {
    /// Its VM and life.
    pub owner: OwnerId,
    /// Its time.
    pub sent_at: ClockTime,
    /// What it runs.
    pub role: VmRole,
    /// Its data centre.
    pub centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub weight: u64,
    /// Version of the routes in force there.
    pub plan_version: u64,
    /// Whether it stops.
    pub stopping: bool,
    /// VMs that it hears; told by control VMs only.
    pub members: Vec<VmName>,
    /// The control group as its members know it; told by control VMs only.
    pub group: ControlGroup,
    /// Cells that it leads.
    pub cells: Vec<CellReport>,
}
