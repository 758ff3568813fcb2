//! Types of the public JSON bodies, generated from `schema/api.json`.
//!
//! `YUCCAMUX_REGENERATE=1 cargo test -p yuccamux-adapters --test test_api_types`
//! writes this file again.

///Answer to an announcement.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct AnnounceAnswer {
    ///Whether an operator has drained the endpoint.
    pub drained: bool,
    ///Time until the next announcement is due, in ms.
    pub interval_ms: u64,
}
///Body of `POST /v1/endpoints`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct AnnounceBody {
    ///IP and port of the endpoint's HTTP server.
    pub address: ::std::string::String,
    ///Connections that it accepts.
    #[serde(default = "defaults::default_u64::<u32, 60>")]
    pub connections: u32,
    ///Number that grows with each restart.
    pub incarnation: u64,
    ///Kinds that it serves; empty for any.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub kinds: ::std::vec::Vec<::std::string::String>,
    ///Whether it accepts no new work.
    #[serde(default)]
    pub leaving: bool,
    ///Memory of the worker, in MB.
    #[serde(default)]
    pub memory_mb: u64,
    ///Name, unique in the data centre.
    pub name: ::std::string::String,
    ///Processors of the worker.
    #[serde(default)]
    pub processors: u32,
    ///Rack of the worker.
    #[serde(default)]
    pub rack: ::std::string::String,
    ///Tasks that it runs at the same time.
    pub slots: u32,
    ///Worker that it runs on.
    #[serde(default)]
    pub worker: ::std::string::String,
}
///Answer to an accepted change.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ChangeAnswer {
    ///Version that the change made.
    pub version: u64,
}
///Body of `POST /v1/changes`: exactly one of publish, remove, drain and undrain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    ///Configuration version on which the change is based.
    pub base_version: u64,
    ///Id of the change; a retry sends the same one.
    pub change_id: ::std::string::String,
    ///Endpoint that gets no more work.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub drain: ::std::option::Option<::std::string::String>,
    ///TOML file with templates and workspaces.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub publish: ::std::option::Option<::std::string::String>,
    ///Documents to remove, as in `workspace/NAME`.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub remove: ::std::vec::Vec<::std::string::String>,
    ///Endpoint that gets work again.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub undrain: ::std::option::Option<::std::string::String>,
}
///Body of every answer that is an error.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ErrorAnswer {
    ///The error.
    pub error: ErrorBody,
}
///An error.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct ErrorBody {
    ///What to do next.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub hint: ::std::option::Option<::std::string::String>,
    ///Kind of error.
    pub kind: ::std::string::String,
    ///What happened.
    pub message: ::std::string::String,
    ///Whether the work has run.
    pub ran: ::std::string::String,
}
///Answer to a job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct JobAnswer {
    ///The error, when failed.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub error: ::std::option::Option<ErrorBody>,
    ///The job's key.
    pub job: ::std::string::String,
    ///Every task's output in order, when complete.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub outputs: ::std::vec::Vec<Box<serde_json::value::RawValue>>,
    ///State of the job.
    pub state: JobAnswerState,
}
///State of a job in an answer.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum JobAnswerState {
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "complete")]
    Complete,
    #[serde(rename = "failed")]
    Failed,
}
impl ::std::fmt::Display for JobAnswerState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Running => f.write_str("running"),
            Self::Complete => f.write_str("complete"),
            Self::Failed => f.write_str("failed"),
        }
    }
}
impl ::std::str::FromStr for JobAnswerState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "running" => Ok(Self::Running),
            "complete" => Ok(Self::Complete),
            "failed" => Ok(Self::Failed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for JobAnswerState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for JobAnswerState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Body of `POST /v1/jobs`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    ///Time limit of the job, in ms; a later answer is of no use to the caller.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub deadline_ms: ::std::option::Option<::std::num::NonZeroU64>,
    ///The tasks, 1 to 300.
    pub tasks: ::std::vec::Vec<TaskBody>,
    ///Name of the workspace.
    pub workspace: ::std::string::String,
}
///A task of a job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    ///Run time that the caller expects, in ms.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub declared_ms: ::std::option::Option<u64>,
    ///Input, any JSON value.
    pub input: Box<serde_json::value::RawValue>,
    ///Name of a kind of the workspace.
    pub kind: ::std::string::String,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
