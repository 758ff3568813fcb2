//! Arguments of `yuccamux-load`.

use std::path::PathBuf;

use argh::FromArgs;
use yuccamux_adapters::setting_args::ProgramSettings;

/// Puts load on yuccamux, for trials; traffic stays on loopback.
#[derive(FromArgs, Debug)]
pub(crate) struct LoadArgs {
    #[argh(subcommand)]
    pub(crate) command: LoadCommand,
}

impl ProgramSettings for LoadArgs {
    const FLAGS: &'static [&'static str] = &[];
}

/// What to do.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum LoadCommand {
    Run(RunCommand),
    Compare(CompareCommand),
    Demo(DemoCommand),
    Way(WayCommand),
    Announce(AnnounceCommand),
    FreePorts(FreePortsCommand),
    Post(PostCommand),
    Get(GetCommand),
}

/// run an open-loop load and write its result
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "run")]
pub(crate) struct RunCommand {
    /// entries' HTTP, IP:PORT, separated by commas
    #[argh(option)]
    pub(crate) entries: String,
    /// stand-ins' HTTP, IP:PORT, separated by commas; their records are checked at the end
    #[argh(option, default = "String::new()")]
    pub(crate) standins: String,
    /// control VMs' HTTP, IP:PORT, separated by commas; operators race there during the run
    #[argh(option, default = "String::new()")]
    pub(crate) controls: String,
    /// work that the endpoints do at once: the sum of slots over factor
    #[argh(option)]
    pub(crate) capacity: f64,
    /// factor of the fastest endpoint
    #[argh(option, default = "1.0")]
    pub(crate) fastest: f64,
    /// share of the capacity that is asked for (0.5)
    #[argh(option, default = "0.5")]
    pub(crate) load: f64,
    /// length of the run, in seconds (20)
    #[argh(option, default = "20.0")]
    pub(crate) seconds: f64,
    /// first part of the run that is not measured, in seconds (4)
    #[argh(option, default = "4.0")]
    pub(crate) warmup: f64,
    /// seed of arrivals and jobs (1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// mix: both, mood-boards, notices (both)
    #[argh(option, default = "String::from(\"both\")")]
    pub(crate) mix: String,
    /// deadline of each job, in ms (10000)
    #[argh(option, default = "10_000")]
    pub(crate) deadline_ms: u64,
    /// share of jobs that are sent twice with the same key (0.02)
    #[argh(option, default = "0.02")]
    pub(crate) resubmit: f64,
    /// share of jobs that are cancelled in one wave in the middle of the run (0)
    #[argh(option, default = "0.0")]
    pub(crate) cancel_share: f64,
    /// times the usual rate of notices for two seconds in the middle of the run (1)
    #[argh(option, default = "1.0")]
    pub(crate) burst: f64,
    /// largest factor by which declared run times are off (4)
    #[argh(option, default = "4.0")]
    pub(crate) misdeclare: f64,
    /// name of the run, for its report
    #[argh(option, default = "String::from(\"run\")")]
    pub(crate) name: String,
    /// file for the result as JSON
    #[argh(option)]
    pub(crate) output: Option<PathBuf>,
    /// file for a plot as SVG
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
    /// fail when an answer or a record breaks what must always hold
    #[argh(switch)]
    pub(crate) strict: bool,
}

/// compare the results of two runs
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "compare")]
pub(crate) struct CompareCommand {
    /// result of the first run
    #[argh(positional)]
    pub(crate) before: PathBuf,
    /// result of the second run
    #[argh(positional)]
    pub(crate) after: PathBuf,
}

/// submit the demonstration's jobs and print its tables
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoCommand {
    /// entries' HTTP, IP:PORT, separated by commas
    #[argh(option)]
    pub(crate) entries: String,
    /// stand-ins' HTTP, IP:PORT, separated by commas
    #[argh(option)]
    pub(crate) standins: String,
    /// factor of the fastest endpoint of each data centre
    #[argh(option, default = "0.5")]
    pub(crate) fastest: f64,
}

/// measure where the time of jobs of one task goes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "way")]
pub(crate) struct WayCommand {
    /// entries' HTTP, IP:PORT, separated by commas
    #[argh(option)]
    pub(crate) entries: String,
    /// number of jobs, one after the other (500)
    #[argh(option, default = "500")]
    pub(crate) jobs: usize,
}

/// announce endpoints that do not exist, and measure what they cost an entry
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "announce")]
pub(crate) struct AnnounceCommand {
    /// entries' HTTP, IP:PORT, separated by commas
    #[argh(option)]
    pub(crate) entries: String,
    /// number of endpoints
    #[argh(option)]
    pub(crate) count: usize,
    /// length, in seconds (15)
    #[argh(option, default = "15")]
    pub(crate) seconds: u64,
}

/// print free ports of loopback
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "free-ports")]
pub(crate) struct FreePortsCommand {
    /// number of ports
    #[argh(positional)]
    pub(crate) count: usize,
}

/// post a body and print the answer
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "post")]
pub(crate) struct PostCommand {
    /// IP:PORT
    #[argh(positional)]
    pub(crate) address: String,
    /// path
    #[argh(positional)]
    pub(crate) path: String,
    /// body
    #[argh(positional)]
    pub(crate) body: String,
    /// idempotency key
    #[argh(option)]
    pub(crate) key: Option<String>,
}

/// get a path and print the answer
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetCommand {
    /// IP:PORT
    #[argh(positional)]
    pub(crate) address: String,
    /// path
    #[argh(positional)]
    pub(crate) path: String,
}
