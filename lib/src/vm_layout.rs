//! The VMs of the system, and the log groups that they form.

use std::str::FromStr;

use crate::prelude::*;

/// Group of the control VMs.
pub const CONTROL_GROUP: &str = "control";

/// Role of a VM.
#[derive(Data!, Copy)]
pub enum VmRole {
    /// An entry.
    Entry,
    /// A control VM, which holds a replica of the configuration.
    Control,
}

/// A VM of the system, as configured alike in every process.
#[derive(Data!)]
pub struct VmSpec {
    /// Its role.
    pub role: VmRole,
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub centre: DataCentre,
    /// IP and port for TCP and UDP between the processes of the system.
    pub address: String,
}

impl FromStr for VmSpec {
    type Err = String;

    /// Reads `ROLE:NAME=DATA-CENTRE=IP:PORT`.
    fn from_str(text: &str) -> Result<VmSpec, String> {
        let hint =
            "expected ROLE:NAME=DATA-CENTRE=IP:PORT, as in entry:entry-1=munich=10.0.0.1:7000";
        let (role, rest) = text.split_once(':').ok_or(format!("{text:?}: {hint}"))?;
        let role = match role {
            "entry" => VmRole::Entry,
            "control" => VmRole::Control,
            _ => return Err(format!("{text:?}: role {role:?} is neither entry nor control")),
        };
        let mut parts = rest.splitn(3, '=');
        let (Some(name), Some(centre), Some(address)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(format!("{text:?}: {hint}"));
        };
        if address.parse::<std::net::SocketAddr>().is_err() {
            return Err(format!("{text:?}: {address:?} is not IP:PORT"));
        }
        Ok(VmSpec {
            role,
            name: VmName::from(name),
            centre: DataCentre::from(centre),
            address: address.to_owned(),
        })
    }
}

/// All VMs of the system.
#[derive(Data!, Default)]
pub struct VmLayout {
    vms: Vec<VmSpec>,
}

impl VmLayout {
    /// A layout of these VMs, sorted by name so that the order is the same on all VMs.
    pub fn new(mut vms: Vec<VmSpec>) -> VmLayout {
        vms.sort_by(|lhs, rhs| lhs.name.cmp(&rhs.name));
        VmLayout { vms }
    }

    /// The VMs by name.
    pub fn vms(&self) -> &[VmSpec] {
        &self.vms
    }

    /// A VM by its name.
    pub fn vm(&self, name: &VmName) -> Option<&VmSpec> {
        self.vms.iter().find(|it| it.name == *name)
    }

    /// Data centres that have entries, by name.
    pub fn centres(&self) -> Vec<DataCentre> {
        let mut centres: Vec<DataCentre> = self
            .vms
            .iter()
            .filter(|it| it.role == VmRole::Entry)
            .map(|it| it.centre.clone())
            .collect();
        centres.sort();
        centres.dedup();
        centres
    }

    /// VMs of a role.
    pub fn with_role(&self, role: VmRole) -> Vec<VmName> {
        self.vms.iter().filter(|it| it.role == role).map(|it| it.name.clone()).collect()
    }

    /// Entries of a data centre.
    pub fn entries_in(&self, centre: &DataCentre) -> Vec<VmName> {
        let entries = self.vms.iter().filter(|it| it.role == VmRole::Entry && it.centre == *centre);
        entries.map(|it| it.name.clone()).collect()
    }

    /// VMs of a data centre's ledger: its entries and, when they are even in number, a
    /// witness in the next data centre.
    pub fn ledger_vms(&self, centre: &DataCentre) -> Vec<VmName> {
        let mut vms = self.entries_in(centre);
        vms.extend(self.ledger_witness(centre));
        vms
    }

    /// VM in the next data centre that makes the number of replicas odd, if the data centre
    /// has an even number of entries.
    pub fn ledger_witness(&self, centre: &DataCentre) -> Option<VmName> {
        if !self.entries_in(centre).len().is_multiple_of(2) {
            return None;
        }
        let centres = self.centres();
        let idx = centres.iter().position(|it| it == centre)?;
        let next = &centres[(idx + 1) % centres.len()];
        if next == centre {
            return None;
        }
        self.entries_in(next).first().cloned()
    }

    /// VMs of any log group.
    pub fn group_vms(&self, group: &GroupName) -> Vec<VmName> {
        if group.as_str() == CONTROL_GROUP {
            return self.with_role(VmRole::Control);
        }
        self.ledger_vms(&DataCentre::from(group.as_str()))
    }
}
