//! Types that nearly every module uses.

pub(crate) use crate::derives::{Data, Id};
pub use crate::{
    clock_time::ClockTime,
    error_kind::{ErrorKind, RanState, RequestError},
    ids::{
        DataCentre, EndpointName, GenerationId, GroupName, KindName, ReplicaId, TaskId, VmName,
        WorkspaceName,
    },
    invariant_check::{Invariant, check_invariant},
    job_key::JobKey,
};
