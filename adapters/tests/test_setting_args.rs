//! Flags, environment variables and their errors.

use argh::FromArgs;
use insta::assert_snapshot;
use yuccamux_adapters::setting_args::{self, ProgramSettings};

/// A program for tests.
#[derive(FromArgs, Debug)]
struct SampleArgs {
    /// name of the VM
    #[argh(option)]
    name: String,
    /// time, in ms (5)
    #[argh(option, default = "5")]
    wait_ms: u64,
}

impl ProgramSettings for SampleArgs {
    const FLAGS: &'static [&'static str] = &["name", "wait-ms"];
}

fn check(args: &[&str], vars: &[(&str, &str)]) -> String {
    let mut all = vec!["/usr/bin/sample".to_owned()];
    all.extend(args.iter().map(|it| (*it).to_owned()));
    let vars: Vec<(String, String)> =
        vars.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
    match setting_args::parse::<SampleArgs>(&all, &vars) {
        Ok(Ok(args)) => format!("{} {}", args.name, args.wait_ms),
        Ok(Err(exit)) => exit.output.trim().to_owned(),
        Err(error) => format!("{error:#}"),
    }
}

#[test]
fn flags_go_before_variables() {
    let vars = [("YUCCAMUX_NAME", "a"), ("YUCCAMUX_WAIT_MS", "7")];
    assert_eq!(check(&[], &vars), "a 7");
    assert_eq!(check(&["--name", "b"], &vars), "b 7");
    assert_eq!(check(&["--name", "b"], &[]), "b 5");
}

#[test]
fn errors_name_the_setting() {
    assert_snapshot!(check(&["--name", "b", "--wait-ms", "x"], &[]), @"Error parsing option '--wait-ms' with value 'x': invalid digit found in string");
    assert_snapshot!(check(&["--name", "b"], &[("YUCCAMUX_WAIT_MS", "-1")]), @"Error parsing option '--wait-ms' with value '-1': invalid digit found in string");
    assert_snapshot!(check(&["--name", "b"], &[("YUCCAMUX_WAITMS", "1")]), @"YUCCAMUX_WAITMS is no setting of /usr/bin/sample; its variables are YUCCAMUX_NAME, YUCCAMUX_WAIT_MS");
}
