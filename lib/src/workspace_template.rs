//! Templates and workspaces: their TOML form, their checks, and what they resolve to.
//!
//! A template states kinds with `${parameter}` in place of values; a workspace names
//! its template and gives the parameters. Both are documents of the configuration.
//!
//! ```toml
//! [template.studio.parameters]
//! board_ms = 400
//!
//! [template.studio.kinds.board-composite]
//! urgency = "high"
//! expected_ms = "${board_ms}"
//! endpoints = ["studio-*"]
//!
//! [workspace.mood-boards]
//! template = "studio"
//! quota_slots = 300
//! parameters = { board_ms = 500 }
//! ```

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::{config_state::ConfigImage, prelude::*};

/// Slots that a workspace may use when it states none.
const DEFAULT_QUOTA_SLOTS: u32 = 1_000_000;

/// How urgent a kind is; the most urgent is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UrgencyClass {
    /// A caller waits for it interactively.
    High,
    /// The default.
    Normal,
    /// Can wait.
    Low,
}

/// What a workspace optimises for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkspaceLean {
    /// Response time.
    #[default]
    Response,
    /// Fewer messages.
    Messages,
}

/// A kind of task, with its parameters filled in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// How urgent it is.
    #[serde(default = "default_urgency")]
    pub urgency: UrgencyClass,
    /// Run time on an endpoint of typical speed, in ms; only the initial estimate.
    #[serde(default = "default_expected_ms")]
    pub expected_ms: u64,
    /// Names of the endpoints that may serve it; a trailing `*` matches any suffix.
    #[serde(default = "default_endpoints")]
    pub endpoints: Vec<String>,
}

impl KindSpec {
    /// Whether an endpoint may serve the kind.
    pub fn allows(&self, endpoint: &str) -> bool {
        self.endpoints.iter().any(|it| match it.strip_suffix('*') {
            Some(prefix) => endpoint.starts_with(prefix),
            None => it == endpoint,
        })
    }
}

/// A workspace, with its template and parameters resolved.
#[derive(Data!)]
pub struct WorkspaceSpec {
    /// Most slots in use at once, in each data centre.
    pub quota_slots: u32,
    /// What it optimises for.
    pub lean: WorkspaceLean,
    /// Its kinds.
    pub kinds: IndexMap<KindName, KindSpec>,
}

/// The configuration in the form that entries work with.
#[derive(Data!, Default)]
pub struct ResolvedConfig {
    /// Version in force.
    pub version: u64,
    /// Workspaces by name.
    pub workspaces: IndexMap<WorkspaceName, WorkspaceSpec>,
    /// Endpoints that get no more work.
    pub drained: indexmap::IndexSet<EndpointName>,
}

impl ResolvedConfig {
    /// A kind of a workspace.
    ///
    /// # Errors
    ///
    /// `UnknownWorkspace` or `UnknownKind`.
    pub fn kind(&self, workspace: &str, kind: &str) -> Result<&KindSpec, RequestError> {
        let Some(spec) = self.workspaces.get(workspace) else {
            let message = format!("there is no workspace {workspace:?}");
            return Err(RequestError::new(ErrorKind::UnknownWorkspace, message));
        };
        spec.kinds.get(kind).ok_or_else(|| {
            let message = format!("workspace {workspace:?} has no kind {kind:?}");
            RequestError::new(ErrorKind::UnknownKind, message)
        })
    }
}

/// A file as published.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileText {
    #[serde(default, rename = "template")]
    _templates: IndexMap<String, TemplateText>,
    #[serde(default, rename = "workspace")]
    _workspaces: IndexMap<String, WorkspaceText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TemplateText {
    #[serde(default)]
    parameters: Table,
    kinds: IndexMap<String, Table>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceText {
    template: String,
    #[serde(default = "default_quota_slots")]
    quota_slots: u32,
    #[serde(default)]
    lean: WorkspaceLean,
    #[serde(default)]
    parameters: Table,
}

fn default_urgency() -> UrgencyClass {
    UrgencyClass::Normal
}

fn default_expected_ms() -> u64 {
    200
}

fn default_endpoints() -> Vec<String> {
    vec!["*".to_owned()]
}

fn default_quota_slots() -> u32 {
    DEFAULT_QUOTA_SLOTS
}

/// Splits a TOML file into its documents, each checked for its own form.
///
/// # Errors
///
/// `InvalidChange` with line and column where the file is not of that form.
pub fn split_documents(text: &str) -> Result<Vec<(String, String)>, RequestError> {
    // The whole file is parsed first, so that an error names its line in the file.
    toml::from_str::<FileText>(text).map_err(|error| toml_error(text, "file", &error))?;
    let table: Table = text.parse().map_err(|error| toml_error(text, "file", &error))?;
    let mut documents = Vec::new();
    for (section, value) in table {
        let entries = value.as_table().cloned().unwrap_or_default();
        for (name, entry) in entries {
            check_name(&name)?;
            let text = toml::to_string(&entry)
                .map_err(|error| invalid(format!("{section}.{name}: {error}")))?;
            documents.push((format!("{section}/{name}"), text));
        }
    }
    if documents.is_empty() {
        return Err(invalid("the file has no [template.NAME] and no [workspace.NAME]".to_owned()));
    }
    Ok(documents)
}

/// Resolves the documents in force.
///
/// # Errors
///
/// `InvalidChange` with the document, line and column where one is not of its form,
/// a template is missing, or a parameter is unknown or of the wrong type.
pub fn resolve(image: &ConfigImage) -> Result<ResolvedConfig, RequestError> {
    let mut templates: IndexMap<&str, TemplateText> = IndexMap::new();
    for (name, text) in live_documents(image, "template/") {
        let template = parse_document(&format!("template.{name}"), text)?;
        templates.insert(name, template);
    }
    let mut workspaces = IndexMap::new();
    for (name, text) in live_documents(image, "workspace/") {
        let path = format!("workspace.{name}");
        let workspace: WorkspaceText = parse_document(&path, text)?;
        let Some(template) = templates.get(workspace.template.as_str()) else {
            return Err(invalid(format!("{path}: there is no template {:?}", workspace.template)));
        };
        let spec = resolve_workspace(&path, &workspace, template)?;
        workspaces.insert(WorkspaceName::from(name), spec);
    }
    Ok(ResolvedConfig { version: image.version, workspaces, drained: image.drained() })
}

fn live_documents<'a>(
    image: &'a ConfigImage,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a str, &'a str)> {
    image.documents.iter().filter_map(move |(name, document)| {
        Some((name.strip_prefix(prefix)?, document.text.as_deref()?))
    })
}

fn resolve_workspace(
    path: &str,
    workspace: &WorkspaceText,
    template: &TemplateText,
) -> Result<WorkspaceSpec, RequestError> {
    for name in workspace.parameters.keys() {
        if !template.parameters.contains_key(name) {
            let known: Vec<&str> = template.parameters.keys().map(String::as_str).collect();
            return Err(invalid(format!(
                "{path}: template {:?} has no parameter {name:?}; it has {known:?}",
                workspace.template
            )));
        }
    }
    if workspace.quota_slots == 0 {
        return Err(invalid(format!("{path}: quota_slots must be at least 1")));
    }
    let mut kinds = IndexMap::new();
    for (name, table) in &template.kinds {
        check_name(name)?;
        let filled = fill_table(path, table, &workspace.parameters, &template.parameters)?;
        let kind: KindSpec =
            Value::Table(filled).try_into().map_err(|error: toml::de::Error| {
                invalid(format!("{path}: kind {name:?}: {}", error.message()))
            })?;
        check_kind(path, name, &kind)?;
        kinds.insert(KindName::from(name.as_str()), kind);
    }
    Ok(WorkspaceSpec { quota_slots: workspace.quota_slots, lean: workspace.lean, kinds })
}

fn check_kind(path: &str, name: &str, kind: &KindSpec) -> Result<(), RequestError> {
    if kind.expected_ms == 0 {
        return Err(invalid(format!("{path}: kind {name:?}: expected_ms must be at least 1")));
    }
    if kind.endpoints.is_empty() {
        return Err(invalid(format!("{path}: kind {name:?}: endpoints must not be empty")));
    }
    Ok(())
}

fn fill_table(
    path: &str,
    table: &Table,
    given: &Table,
    defaults: &Table,
) -> Result<Table, RequestError> {
    let filled = table.iter().map(|(name, value)| {
        let value = fill_value(path, value, given, defaults)?;
        Ok((name.clone(), value))
    });
    filled.collect()
}

fn fill_value(
    path: &str,
    value: &Value,
    given: &Table,
    defaults: &Table,
) -> Result<Value, RequestError> {
    match value {
        Value::String(text) => {
            let name = text.strip_prefix("${").and_then(|it| it.strip_suffix('}'));
            let Some(name) = name else { return Ok(value.clone()) };
            let found = given.get(name).or_else(|| defaults.get(name));
            found.cloned().ok_or_else(|| {
                invalid(format!("{path}: the template uses ${{{name}}}, which is no parameter"))
            })
        }
        Value::Array(items) => {
            let filled = items.iter().map(|it| fill_value(path, it, given, defaults));
            filled.collect::<Result<Vec<Value>, _>>().map(Value::Array)
        }
        _ => Ok(value.clone()),
    }
}

fn parse_document<T: serde::de::DeserializeOwned>(
    path: &str,
    text: &str,
) -> Result<T, RequestError> {
    toml::from_str(text).map_err(|error| toml_error(text, path, &error))
}

fn toml_error(text: &str, path: &str, error: &toml::de::Error) -> RequestError {
    let Some(span) = error.span() else {
        return invalid(format!("{path}: {}", error.message()));
    };
    let before = text.get(..span.start).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|it| *it != '\n').count() + 1;
    invalid(format!("{path}: line {line}, column {column}: {}", error.message()))
}

fn check_name(name: &str) -> Result<(), RequestError> {
    let is_valid = !name.is_empty()
        && name.len() <= 64
        && name.bytes().all(|it| it.is_ascii_alphanumeric() || it == b'-' || it == b'_');
    if is_valid {
        return Ok(());
    }
    Err(invalid(format!("name {name:?} must have 1 to 64 letters, digits, `-` or `_`")))
}

fn invalid(message: String) -> RequestError {
    RequestError::new(ErrorKind::InvalidChange, message)
}
