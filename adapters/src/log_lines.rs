//! Sets up log4rs, with text or JSON lines.

use log::LevelFilter;
use log4rs::{
    Config,
    append::console::{ConsoleAppender, Target},
    config::{Appender, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl std::str::FromStr for LogForm {
    type Err = String;

    fn from_str(text: &str) -> Result<LogForm, String> {
        match text {
            "text" => Ok(LogForm::Text),
            "json" => Ok(LogForm::Json),
            _ => Err(format!("{text:?} is not one of: text, json")),
        }
    }
}

/// Starts logging to standard error.
///
/// # Errors
///
/// When logging has already been started.
pub fn start(form: LogForm) -> anyhow::Result<()> {
    start_on(form, Target::Stderr)
}

/// Starts logging to standard output.
///
/// # Errors
///
/// When logging has already been started.
pub fn start_on_stdout(form: LogForm) -> anyhow::Result<()> {
    start_on(form, Target::Stdout)
}

fn start_on(form: LogForm, target: Target) -> anyhow::Result<()> {
    let encoder: Box<dyn Encode> = match form {
        LogForm::Text => {
            Box::new(PatternEncoder::new("{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)} {l} {m}{n}"))
        }
        LogForm::Json => Box::new(JsonEncoder::new()),
    };
    let appender = ConsoleAppender::builder().target(target).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(appender)))
        .build(Root::builder().appender("console").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
