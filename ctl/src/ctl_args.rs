//! Arguments of `yuccamuxctl`.

use std::path::PathBuf;

use argh::FromArgs;
use yuccamux_adapters::setting_args::ProgramSettings;

/// Operates yuccamux: publishes templates and workspaces, drains endpoints, shows the
/// state of VMs and explains jobs. Exit codes: 0 done, 1 failed, 2 wrong arguments,
/// 3 refused, 4 nothing answered.
#[derive(FromArgs, Debug)]
pub(crate) struct CtlArgs {
    /// control VMs' HTTP, IP:PORT, separated by commas (YUCCAMUX_CONTROL)
    #[argh(option, default = "String::new()")]
    pub(crate) control: String,
    /// entries' HTTP, IP:PORT, separated by commas (YUCCAMUX_ENTRIES)
    #[argh(option, default = "String::new()")]
    pub(crate) entries: String,
    /// file with the operator's bearer token (YUCCAMUX_TOKEN_FILE)
    #[argh(option)]
    pub(crate) token_file: Option<PathBuf>,
    /// print JSON in place of tables
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: CtlCommand,
}

impl ProgramSettings for CtlArgs {
    const FLAGS: &'static [&'static str] = &["control", "entries", "token-file"];
}

/// What to do.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum CtlCommand {
    Publish(PublishCommand),
    Remove(RemoveCommand),
    Drain(DrainCommand),
    Undrain(UndrainCommand),
    Diff(DiffCommand),
    Config(ConfigCommand),
    History(HistoryCommand),
    Revert(RevertCommand),
    Status(StatusCommand),
    Endpoints(EndpointsCommand),
    Explain(ExplainCommand),
}

/// Flags that every change has.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeFlags {
    pub(crate) base_version: Option<u64>,
    pub(crate) change_id: Option<String>,
}

/// Declares a subcommand that changes the configuration.
macro_rules! change_command {
    ($(#[$doc:meta])* $name:ident, $word:literal, $(#[$field_doc:meta])* $field:ident: $kind:ty) => {
        $(#[$doc])*
        #[derive(FromArgs, Debug)]
        #[argh(subcommand, name = $word)]
        pub(crate) struct $name {
            $(#[$field_doc])*
            #[argh(positional)]
            pub(crate) $field: $kind,
            /// version that you have seen; another change since is a conflict (the one in force)
            #[argh(option)]
            pub(crate) base_version: Option<u64>,
            /// id of the change, to send it again after a lost answer (a new one)
            #[argh(option)]
            pub(crate) change_id: Option<String>,
        }

        impl $name {
            pub(crate) fn flags(&self) -> ChangeFlags {
                ChangeFlags {
                    base_version: self.base_version,
                    change_id: self.change_id.clone(),
                }
            }
        }
    };
}

change_command!(
    /// put the templates and workspaces of a TOML file in force
    PublishCommand, "publish",
    /// TOML file with [template.NAME] and [workspace.NAME]
    file: PathBuf
);
change_command!(
    /// remove a document, named template/NAME or workspace/NAME
    RemoveCommand, "remove",
    /// document to remove
    document: String
);
change_command!(
    /// give an endpoint no more work
    DrainCommand, "drain",
    /// name of the endpoint
    endpoint: String
);
change_command!(
    /// give an endpoint work again
    UndrainCommand, "undrain",
    /// name of the endpoint
    endpoint: String
);
change_command!(
    /// put the documents of a change back to what they were before it
    RevertCommand, "revert",
    /// version that the change made, as in history
    version: u64
);

/// compare a TOML file with what is in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffCommand {
    /// TOML file with templates and workspaces
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// show the documents in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigCommand {}

/// show accepted changes, oldest first
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub(crate) struct HistoryCommand {}

/// show every VM: role, leader, configuration version, reachability
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {}

/// show the endpoints that entries know
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "endpoints")]
pub(crate) struct EndpointsCommand {}

/// explain where each task of a job went and why
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCommand {
    /// key of the job
    #[argh(positional)]
    pub(crate) job: String,
}
