//! Orders to endpoints, and what came back.

use crate::{cell::job_offer::TaskRef, prelude::*};

/// Number of an order, unique within a process.
#[derive(Id!, Copy)]
pub struct OrderNumber(pub u64);

/// What an order asks of an endpoint. Times are on the endpoint's clock.
#[derive(Data!)]
pub enum OrderBody {
    /// Begin a run of a task.
    Start {
        /// The task.
        task: TaskRef,
        /// Number of the run; it grows with each run of the task.
        run: u32,
        /// What the caller handed in with the job.
        spec: String,
    },
    /// End a run; a run with this number or a lower one cannot start afterwards.
    Stop {
        /// The task.
        task: TaskRef,
        /// Number of the run.
        run: u32,
    },
    /// Report runs and ends, once one has ended or `wait_ms` have passed.
    Poll {
        /// Ends up to this number may be forgotten.
        cursor: u64,
        /// Longest wait for an end, in ms.
        wait_ms: u64,
    },
}

/// An order on its way.
#[derive(Data!)]
pub struct EndpointOrder {
    /// Its number.
    pub number: OrderNumber,
    /// Endpoint to which it goes.
    pub endpoint: EndpointName,
    /// Address of the endpoint.
    pub address: String,
    /// Token of the cell's leader.
    pub token: u64,
    /// Time on the endpoint's clock until which its runs may go on, if it is to be moved.
    pub lease_until: Option<u64>,
    /// Time for the answer, in ms.
    pub time_limit_ms: u64,
    /// What it asks.
    pub body: OrderBody,
}

/// A run as an endpoint lists it.
#[derive(Data!)]
pub struct ListedRun {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// Share of the work that is done, in percent.
    pub percent: u64,
}

/// How a run ended.
#[derive(Data!, Copy)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed by its own fault or the endpoint's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The lease ran out.
    Lapsed,
    /// It ended for the sake of others.
    Broken,
}

/// An end as an endpoint lists it.
#[derive(Data!)]
pub struct ListedEnd {
    /// Its number, growing within a life of the endpoint.
    pub number: u64,
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// What an endpoint tells of its runs.
#[derive(Data!, Default)]
pub struct RunLists {
    /// When this life of the endpoint began, as it says itself.
    pub incarnation: Option<u64>,
    /// Runs at work.
    pub running: Vec<ListedRun>,
    /// Ends that were not acknowledged.
    pub ended: Vec<ListedEnd>,
}

/// Why an endpoint did not carry out an order.
#[derive(Data!, Copy)]
pub enum OrderRefusal {
    /// A higher token is known there.
    Fenced,
    /// The run's number is not above one that has ended there.
    OldRun,
    /// The lease given had run out.
    LateLease,
    /// There is no room.
    NoRoom,
    /// Another life of the endpoint answers at the address.
    OtherLife,
    /// The endpoint says that it is unhealthy and has done nothing.
    Unhealthy,
    /// The order was not understood.
    Malformed,
}

/// What became of an order.
#[derive(Data!)]
pub enum OrderOutcome {
    /// Carried out; the endpoint's clock, and its lists for a look.
    Executed(u64, Option<RunLists>),
    /// Refused; the endpoint's clock if it was told.
    Refused(OrderRefusal, Option<u64>),
    /// Never written to a connection.
    NotSent,
    /// Sent, and its answer did not come.
    Lost,
}
