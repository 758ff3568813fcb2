//! Orders to endpoints and their outcomes.

use crate::{cell::job_offer::TaskRef, prelude::*};

/// Number of an order, unique within a process.
#[derive(Id!, Copy)]
pub struct OrderNumber(pub u64);

/// What an endpoint is ordered to do.
#[derive(Data!)]
pub enum OrderBody {
    /// Begin a run of a task.
    Start {
        /// The task.
        task: TaskRef,
        /// Number of the run; it increases with each run of the task.
        run: u32,
        /// The task specification that the caller sent with the job.
        spec: String,
    },
    /// End a run; a run with this number or a lower one cannot start afterwards.
    Stop {
        /// The task.
        task: TaskRef,
        /// Number of the run.
        run: u32,
    },
    /// List running and ended runs, once one has ended or `wait_ms` have passed.
    Poll {
        /// Ends up to this number are acknowledged and may be dropped.
        cursor: u64,
        /// Longest wait for a run to end, in ms.
        wait_ms: u64,
    },
}

/// An order to an endpoint.
#[derive(Data!)]
pub struct EndpointOrder {
    /// Its number.
    pub number: OrderNumber,
    /// Endpoint to which it goes.
    pub endpoint: EndpointName,
    /// Address of the endpoint.
    pub address: String,
    /// Incarnation of the endpoint for which the order was decided; 0 if it is not known.
    pub incarnation: u64,
    /// Fencing token of the cell's leader.
    pub token: u64,
    /// End of the lease on the endpoint's clock, if the order extends it.
    pub lease_until: Option<u64>,
    /// Timeout for the answer, in ms.
    pub time_limit_ms: u64,
    /// What to do.
    pub body: OrderBody,
}

/// A run as an endpoint lists it.
#[derive(Data!)]
pub struct ListedRun {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// Progress, in percent.
    pub percent: u64,
}

/// How a run ended.
#[derive(Data!, Copy)]
pub enum RunEnd {
    /// It completed its work.
    Done,
    /// It failed, through the task or the endpoint.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The endpoint's lease expired.
    Lapsed,
    /// It was ended because of other runs.
    Broken,
}

/// An ended run as an endpoint lists it.
#[derive(Data!)]
pub struct ListedEnd {
    /// Its number, increasing within an incarnation of the endpoint.
    pub number: u64,
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// Runs as an endpoint lists them in its answer to a poll.
#[derive(Data!, Default)]
pub struct RunLists {
    /// The endpoint's incarnation, as it reports it itself.
    pub incarnation: Option<u64>,
    /// Runs in progress.
    pub running: Vec<ListedRun>,
    /// Ended runs that were not acknowledged.
    pub ended: Vec<ListedEnd>,
}

/// Why an endpoint refused an order.
#[derive(Data!, Copy)]
pub enum OrderRefusal {
    /// The endpoint has seen a higher fencing token.
    Fenced,
    /// A run of the task with this number or a higher one has ended there.
    OldRun,
    /// The granted lease had already expired.
    LateLease,
    /// Too few resources are free.
    NoRoom,
    /// Another incarnation of the endpoint answers at the address.
    OtherLife,
    /// The endpoint is unhealthy and has not executed the order.
    Unhealthy,
    /// The order was not understood.
    Malformed,
}

/// Outcome of an order.
#[derive(Data!)]
pub enum OrderOutcome {
    /// Executed; the endpoint's clock, and its run lists if it returned them.
    Executed(u64, Option<RunLists>),
    /// Refused; the endpoint's clock if the answer has it.
    Refused(OrderRefusal, Option<u64>),
    /// Never written to a connection, so the endpoint can't have received it.
    NotSent,
    /// A start that was not sent, as this incarnation answers at the address instead of the one for
    /// which the start was decided.
    OtherIncarnation(u64),
    /// Sent without an answer: it may have been executed or may still be.
    Lost,
}
