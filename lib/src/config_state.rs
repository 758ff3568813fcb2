//! The configuration: documents with versions, changed through a replicated log.
//!
//! It is the state machine of the control group. A change names the version it is
//! based on and carries an id. The first change to commit wins; another that touches
//! the same document from the same base gets a conflict. A change that is sent again
//! gets its first answer, whatever happened since.
//!
//! Every accepted change raises the version by one. Replicas and entries hold the
//! same documents, so an entry can catch up from any version with the documents that
//! changed since.

use indexmap::{IndexMap, IndexSet};

use crate::{
    cell::route_plan::RoutePlan,
    group_members::{GroupMembers, MemberSwap},
    prelude::*,
    workspace_template,
};

/// Change ids whose first answer is kept.
const MAX_KEPT_ANSWERS: usize = 10_000;
/// Changes whose former documents are kept.
const MAX_KEPT_HISTORY: usize = 2_000;

/// Name of a document: `template/…`, `workspace/…` or `drain/…`.
pub type DocumentName = String;

/// A document as of its last change.
#[derive(Data!)]
pub struct ConfigDocument {
    /// Configuration version at which it was last changed.
    pub version: u64,
    /// Its text, or none when it was removed.
    pub text: Option<String>,
}

/// What a change does.
#[derive(Data!)]
pub enum ChangeAction {
    /// Put every template and workspace of a TOML file in force.
    Publish(String),
    /// Remove documents.
    Remove(Vec<DocumentName>),
    /// Give an endpoint no more work.
    Drain(EndpointName),
    /// Give an endpoint work again.
    Undrain(EndpointName),
}

/// A change of the configuration, as an operator sends it.
#[derive(Data!)]
pub struct ConfigChange {
    /// Id that is the same each time the change is sent.
    pub change_id: String,
    /// Version that the operator has seen.
    pub base_version: u64,
    /// What it does.
    pub action: ChangeAction,
}

/// A command to the control group.
#[derive(Data!)]
pub enum ConfigCommand {
    /// Change the configuration; the leader's clock.
    Change(ConfigChange, ClockTime),
    /// Record that a data centre's ledger was bootstrapped.
    RecordBootstrap(DataCentre, GenerationId),
    /// Put routes in force unless a plan of their version or a higher one is.
    PutPlan(StoredPlan),
    /// Read the plan in force, as of this position in the log.
    ReadPlan,
    /// Change the VMs of the control group, by one more or one less, or end a swap of members.
    SetGroup(Vec<VmName>),
    /// Add the joining VM to the control group, which is to take the leaving one's place.
    BeginSwap(Vec<VmName>, MemberSwap),
}

/// Number of [`ConfigCommand::SetGroup`] in an encoded command.
const SET_GROUP_NUMBER: u32 = 4;
/// Number of [`ConfigCommand::BeginSwap`] in an encoded command.
const BEGIN_SWAP_NUMBER: u32 = 5;
/// Encoded form of a state's field `swap` without one.
const NO_SWAP: u8 = 0;

/// Routes with the text that they came in.
#[derive(Data!)]
pub struct StoredPlan {
    /// The routes.
    pub plan: RoutePlan,
    /// The text, as an operator sent it.
    pub source: String,
}

/// The VMs of the control group as of a change.
#[derive(Data!, Default)]
pub struct ControlGroup {
    /// Number of the change.
    pub version: u64,
    /// The VMs; empty before the first change.
    pub vms: Vec<VmName>,
}

/// The answer to a command.
#[derive(Data!)]
pub enum ConfigAnswer {
    /// The change is accepted as this version.
    Accepted(u64),
    /// The change is refused.
    Refused(RequestError),
    /// The bootstrap is the first that the control group knows of, or a later one.
    BootstrapRecorded(BootstrapRank),
    /// Version of the plan in force after a put.
    PlanInForce(u64),
    /// The plan in force.
    PlanRead(Option<StoredPlan>),
    /// The group was changed.
    GroupSet,
}

/// Whether a ledger's bootstrap was its data centre's first.
#[derive(Data!, Copy)]
pub enum BootstrapRank {
    /// No other bootstrap is known.
    First,
    /// Another was known before.
    Later,
}

/// A change with its answer, as kept.
#[derive(Data!)]
pub struct ChangeRecord {
    /// Id of the change.
    pub change_id: String,
    /// Version that it made.
    pub version: u64,
    /// When the leader received it.
    pub at: ClockTime,
    /// What it did, for a person.
    pub summary: String,
    /// Documents that it touched, as they were before.
    pub former: Vec<(DocumentName, Option<String>)>,
}

/// The documents in force, or those that changed since a version.
#[derive(Data!, Default)]
pub struct ConfigImage {
    /// Version in force.
    pub version: u64,
    /// Documents by name.
    pub documents: IndexMap<DocumentName, ConfigDocument>,
}

/// What changed from one version to another.
#[derive(Data!)]
pub struct ConfigDelta {
    /// Version from which it starts.
    pub since: u64,
    /// The version that it leads to, with the documents that changed after `since`.
    pub changed: ConfigImage,
}

/// The result of merging a delta.
#[derive(Data!, Copy)]
pub enum MergeOutcome {
    /// The image is at the delta's version.
    Merged,
    /// The image was at that version or a later one.
    Known,
    /// The delta starts after the image's version: documents in between are missing.
    Gap,
}

impl ConfigImage {
    /// What changed after `version`.
    pub fn since(&self, version: u64) -> ConfigDelta {
        let changed = self.documents.iter().filter(|(_, it)| version < it.version);
        let documents = changed.map(|(name, it)| (name.clone(), it.clone())).collect();
        let changed = ConfigImage { version: self.version, documents };
        ConfigDelta { since: version, changed }
    }

    /// Merges a delta; documents that are not newer are ignored.
    pub fn merge(&mut self, delta: ConfigDelta) -> MergeOutcome {
        let ConfigDelta { since, changed } = delta;
        if changed.version <= self.version {
            return MergeOutcome::Known;
        }
        if self.version < since {
            return MergeOutcome::Gap;
        }
        self.version = changed.version;
        for (name, document) in changed.documents {
            let known = self.documents.get(&name).map_or(0, |it| it.version);
            if known < document.version {
                self.documents.insert(name, document);
            }
        }
        MergeOutcome::Merged
    }

    /// Names of the drained endpoints.
    pub fn drained(&self) -> IndexSet<EndpointName> {
        let live = self.documents.iter().filter(|(_, it)| it.text.is_some());
        live.filter_map(|(name, _)| name.strip_prefix("drain/")).map(EndpointName::from).collect()
    }

    fn version_of(&self, name: &str) -> u64 {
        self.documents.get(name).map_or(0, |it| it.version)
    }

    fn text_of(&self, name: &str) -> Option<String> {
        self.documents.get(name).and_then(|it| it.text.clone())
    }
}

/// State of the control group.
#[derive(Data!, Default)]
pub struct ConfigState {
    image: ConfigImage,
    answers: IndexMap<String, ConfigAnswer>,
    history: Vec<ChangeRecord>,
    first_generations: IndexMap<DataCentre, GenerationId>,
    plan: Option<StoredPlan>,
    group: ControlGroup,
    /// The swap that the group's last change began. It is the last field, as states that were stored
    /// before it was added end without it.
    swap: Option<MemberSwap>,
}

impl ConfigState {
    /// The state in a snapshot.
    ///
    /// # Errors
    ///
    /// When the bytes are no such state.
    pub fn decode(bytes: &[u8]) -> Result<ConfigState, postcard::Error> {
        postcard::from_bytes(bytes).or_else(|error| {
            let mut with_swap = bytes.to_vec();
            with_swap.push(NO_SWAP);
            postcard::from_bytes(&with_swap).map_err(|_| error)
        })
    }

    /// The group that an encoded command sets, if it is such a command.
    pub fn group_in_command(bytes: &[u8]) -> Option<GroupMembers> {
        // Other commands are as large as all routes, so they are not decoded.
        let (number, _) = postcard::take_from_bytes::<u32>(bytes).ok()?;
        if ![SET_GROUP_NUMBER, BEGIN_SWAP_NUMBER].contains(&number) {
            return None;
        }
        match postcard::from_bytes(bytes) {
            Ok(ConfigCommand::SetGroup(vms)) if !vms.is_empty() => {
                Some(GroupMembers { vms, swap: None })
            }
            Ok(ConfigCommand::BeginSwap(vms, swap)) if swap.is_among(&vms) => {
                Some(GroupMembers { vms, swap: Some(swap) })
            }
            _ => None,
        }
    }

    /// The group in an encoded state, if it has been set.
    pub fn group_in_state(bytes: &[u8]) -> Option<GroupMembers> {
        let state = ConfigState::decode(bytes).ok()?;
        let members = GroupMembers { vms: state.group.vms, swap: state.swap };
        Some(members).filter(|it| !it.vms.is_empty())
    }

    /// Bytes for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The documents in force.
    pub fn image(&self) -> &ConfigImage {
        &self.image
    }

    /// The routes in force.
    pub fn plan(&self) -> Option<&StoredPlan> {
        self.plan.as_ref()
    }

    /// The control group as of its last change.
    pub fn group(&self) -> &ControlGroup {
        &self.group
    }

    /// Accepted changes that are kept, oldest first.
    pub fn history(&self) -> &[ChangeRecord] {
        &self.history
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: ConfigCommand) -> ConfigAnswer {
        match command {
            ConfigCommand::Change(change, at) => self.change(change, at),
            ConfigCommand::RecordBootstrap(centre, generation) => {
                self.record_bootstrap(centre, generation)
            }
            ConfigCommand::PutPlan(plan) => ConfigAnswer::PlanInForce(self.put_plan(plan)),
            ConfigCommand::ReadPlan => ConfigAnswer::PlanRead(self.plan.clone()),
            ConfigCommand::SetGroup(vms) if vms.is_empty() => {
                let message = "a control group without a VM can never lead";
                ConfigAnswer::Refused(RequestError::new(ErrorKind::InvalidChange, message))
            }
            ConfigCommand::SetGroup(vms) => {
                self.group = ControlGroup { version: self.group.version + 1, vms };
                self.swap = None;
                ConfigAnswer::GroupSet
            }
            ConfigCommand::BeginSwap(vms, swap) if !swap.is_among(&vms) => {
                let message = "a swap names two VMs of the control group";
                ConfigAnswer::Refused(RequestError::new(ErrorKind::InvalidChange, message))
            }
            ConfigCommand::BeginSwap(vms, swap) => {
                self.group = ControlGroup { version: self.group.version + 1, vms };
                self.swap = Some(swap);
                ConfigAnswer::GroupSet
            }
        }
    }

    /// Keeps the first plan of a version, so that a plan that was read is not replaced.
    fn put_plan(&mut self, put: StoredPlan) -> u64 {
        let kept = self.plan.as_ref().map(|it| it.plan.version);
        if kept.is_none_or(|it| it < put.plan.version) {
            self.plan = Some(put);
        }
        self.plan.as_ref().map_or(0, |it| it.plan.version)
    }

    fn record_bootstrap(&mut self, centre: DataCentre, generation: GenerationId) -> ConfigAnswer {
        let first = *self.first_generations.entry(centre).or_insert(generation);
        let rank = if first == generation { BootstrapRank::First } else { BootstrapRank::Later };
        ConfigAnswer::BootstrapRecorded(rank)
    }

    fn change(&mut self, change: ConfigChange, at: ClockTime) -> ConfigAnswer {
        if let Some(answer) = self.answers.get(&change.change_id) {
            return answer.clone();
        }
        let former_version = self.image.version;
        let answer = match self.accept(&change, at) {
            Ok(version) => ConfigAnswer::Accepted(version),
            Err(error) => ConfigAnswer::Refused(error),
        };
        check_invariant(Invariant::ConfigNeverReverts, former_version <= self.image.version);
        self.answers.insert(change.change_id, answer.clone());
        if MAX_KEPT_ANSWERS < self.answers.len() {
            self.answers.shift_remove_index(0);
        }
        answer
    }

    fn accept(&mut self, change: &ConfigChange, at: ClockTime) -> Result<u64, RequestError> {
        let touched = documents_of(&change.action)?;
        self.check_base(change.base_version, &touched)?;
        let version = self.image.version + 1;
        let mut image = self.image.clone();
        let mut former = Vec::new();
        for (name, text) in touched {
            former.push((name.clone(), image.text_of(&name)));
            image.documents.insert(name, ConfigDocument { version, text });
        }
        image.version = version;
        workspace_template::resolve(&image)?;
        self.image = image;
        let summary = summary_of(&change.action, &former);
        let change_id = change.change_id.clone();
        self.history.push(ChangeRecord { change_id, version, at, summary, former });
        if MAX_KEPT_HISTORY < self.history.len() {
            self.history.remove(0);
        }
        Ok(version)
    }

    fn check_base(
        &self,
        base_version: u64,
        touched: &[(DocumentName, Option<String>)],
    ) -> Result<(), RequestError> {
        if self.image.version < base_version {
            let message = format!(
                "base version {base_version} does not exist yet; version {} is in force",
                self.image.version
            );
            return Err(RequestError::new(ErrorKind::VersionConflict, message));
        }
        for (name, _) in touched {
            let version = self.image.version_of(name);
            if base_version < version {
                let message = format!(
                    "{name} was changed at version {version}, after base version {base_version}"
                );
                return Err(RequestError::new(ErrorKind::VersionConflict, message));
            }
        }
        Ok(())
    }
}

fn documents_of(
    action: &ChangeAction,
) -> Result<Vec<(DocumentName, Option<String>)>, RequestError> {
    match action {
        ChangeAction::Publish(text) => {
            let documents = workspace_template::split_documents(text)?;
            Ok(documents.into_iter().map(|(name, text)| (name, Some(text))).collect())
        }
        ChangeAction::Remove(names) => Ok(names.iter().map(|it| (it.clone(), None)).collect()),
        ChangeAction::Drain(name) => Ok(vec![(format!("drain/{name}"), Some(String::new()))]),
        ChangeAction::Undrain(name) => Ok(vec![(format!("drain/{name}"), None)]),
    }
}

fn summary_of(action: &ChangeAction, former: &[(DocumentName, Option<String>)]) -> String {
    let verb = match action {
        ChangeAction::Publish(_) => "publish",
        ChangeAction::Remove(_) => "remove",
        ChangeAction::Drain(_) => "drain",
        ChangeAction::Undrain(_) => "undrain",
    };
    let names: Vec<&str> = former.iter().map(|(name, _)| name.as_str()).collect();
    format!("{verb} {}", names.join(" "))
}
