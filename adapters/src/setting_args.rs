//! Settings from command-line flags and environment variables.
//!
//! Flag `--data-folder` can be given as `YUCCAMUX_DATA_FOLDER`. A flag on the command
//! line overrides the variable. A variable that matches no flag of the program is an
//! error, so that misspelt ones are noticed.

use std::env;

use anyhow::bail;
use argh::{EarlyExit, TopLevelCommand};

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "YUCCAMUX_";

/// A program's settings, parsed from flags and environment variables.
pub trait ProgramSettings: TopLevelCommand {
    /// Long flags that take a value, without dashes.
    const FLAGS: &'static [&'static str];
}

/// Reads the settings of this process; prints help or the error and exits.
pub fn read<T: ProgramSettings>() -> T {
    let args: Vec<String> = env::args().collect();
    let vars: Vec<(String, String)> =
        env::vars().filter(|(name, _)| name.starts_with(ENV_PREFIX)).collect();
    match parse(&args, &vars) {
        Ok(Ok(settings)) => settings,
        Ok(Err(exit)) => {
            if exit.status.is_ok() {
                println!("{}", exit.output);
                std::process::exit(0);
            }
            eprintln!("{}", exit.output.trim_end());
            std::process::exit(2);
        }
        Err(error) => {
            eprintln!("error: {error:#}");
            std::process::exit(2);
        }
    }
}

/// Parses arguments and environment variables; arguments override variables.
///
/// # Errors
///
/// When a variable matches no flag of the program. The inner error is argh's: the help text
/// or what is wrong with the arguments.
pub fn parse<T: ProgramSettings>(
    args: &[String],
    vars: &[(String, String)],
) -> anyhow::Result<Result<T, EarlyExit>> {
    let name = args.first().map_or("yuccamux", String::as_str);
    let mut merged: Vec<String> = Vec::new();
    for (variable, value) in vars {
        let flag = variable[ENV_PREFIX.len()..].to_lowercase().replace('_', "-");
        if !T::FLAGS.contains(&flag.as_str()) {
            let known: Vec<String> = T::FLAGS.iter().map(|it| variable_of(it)).collect();
            bail!("{variable} is no setting of {name}; its variables are {}", known.join(", "));
        }
        let long = format!("--{flag}");
        let is_given = args.iter().any(|it| *it == long || it.starts_with(&format!("{long}=")));
        if !is_given {
            merged.push(long);
            merged.push(value.clone());
        }
    }
    merged.extend(args.iter().skip(1).cloned());
    let merged: Vec<&str> = merged.iter().map(String::as_str).collect();
    let program = name.rsplit('/').next().unwrap_or(name);
    Ok(T::from_args(&[program], &merged))
}

/// The environment variable of a flag.
pub fn variable_of(flag: &str) -> String {
    format!("{ENV_PREFIX}{}", flag.to_uppercase().replace('-', "_"))
}
