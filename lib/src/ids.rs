//! Newtypes for identifiers.

use std::{borrow::Borrow, fmt};

use crate::prelude::*;

/// Declares a name type over `String`.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Id!)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(text.to_owned())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a VM that runs a process of the system.
    VmName
);
name_type!(
    /// Name of a data centre.
    DataCentre
);
name_type!(
    /// Name of a workspace.
    WorkspaceName
);
name_type!(
    /// Name of a kind of task within a workspace.
    KindName
);
name_type!(
    /// Name of an endpoint, unique within its data centre.
    EndpointName
);
name_type!(
    /// Name of a replicated log group: a data centre's ledger or the control group.
    GroupName
);

/// One incarnation of a replica: a restart without its state begins a new one.
#[derive(Id!)]
pub struct ReplicaId {
    /// VM that runs the replica.
    pub vm: VmName,
    /// Number that grows with each incarnation on that VM.
    pub incarnation: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.incarnation)
    }
}

/// Number of a bootstrap of a replicated log group.
#[derive(Id!, Copy)]
pub struct GenerationId(pub u64);

/// A task of a job, or one attempt at it when the request is idempotent.
#[derive(Id!)]
pub struct TaskId {
    /// Digest of the job's key.
    pub job: u128,
    /// Position in the job, from zero.
    pub idx: u32,
    /// Zero for the first attempt.
    pub attempt: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}.{}", self.job, self.idx)?;
        if 0 < self.attempt {
            write!(f, ".r{}", self.attempt)?;
        }
        Ok(())
    }
}
