//! `yuccamuxctl`: publish, revise, drain, look and explain, from an operator's desk.

mod ctl_args;
mod ctl_client;
mod ctl_views;

use std::{fs, process::ExitCode};

use anyhow::Context;
use rand::RngExt;
use serde_json::{Value, json};
use yuccamux_adapters::setting_args;

use crate::{
    ctl_args::{ChangeFlags, CtlArgs, CtlCommand},
    ctl_client::{CtlClient, CtlError},
};

/// Exit code when a change was refused.
const EXIT_REFUSED: u8 = 3;
/// Exit code when nothing answered; the change may have been accepted.
const EXIT_UNREACHABLE: u8 = 4;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: CtlArgs = setting_args::read();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            match error.downcast_ref::<CtlError>() {
                Some(CtlError::Refused { hint, .. }) => {
                    eprintln!("hint: {hint}");
                    ExitCode::from(EXIT_REFUSED)
                }
                Some(CtlError::Unreachable(_)) => {
                    eprintln!(
                        "hint: check --control and --entries; a change can be sent again \
                        with the same --change-id"
                    );
                    ExitCode::from(EXIT_UNREACHABLE)
                }
                None => ExitCode::FAILURE,
            }
        }
    }
}

async fn run(args: &CtlArgs) -> anyhow::Result<()> {
    let client = CtlClient::new(args)?;
    match &args.command {
        CtlCommand::Publish(it) => {
            let text = fs::read_to_string(&it.file)
                .with_context(|| format!("could not read {}", it.file.display()))?;
            change(&client, args, "publish", json!(text), &it.flags()).await
        }
        CtlCommand::Remove(it) => {
            change(&client, args, "remove", json!([it.document]), &it.flags()).await
        }
        CtlCommand::Drain(it) => {
            change(&client, args, "drain", json!(it.endpoint), &it.flags()).await
        }
        CtlCommand::Undrain(it) => {
            change(&client, args, "undrain", json!(it.endpoint), &it.flags()).await
        }
        CtlCommand::Diff(it) => {
            let text = fs::read_to_string(&it.file)
                .with_context(|| format!("could not read {}", it.file.display()))?;
            let config = client.control_get("/v1/config").await?;
            print!("{}", ctl_views::diff(&config, &text)?);
            Ok(())
        }
        CtlCommand::Config(_) => {
            let config = client.control_get("/v1/config").await?;
            show(args, &config, ctl_views::config)
        }
        CtlCommand::History(_) => {
            let history = client.control_get("/v1/history").await?;
            show(args, &history, ctl_views::history)
        }
        CtlCommand::Revert(it) => {
            let history = client.control_get("/v1/history").await?;
            revert(&client, args, &history, it.version, &it.flags()).await
        }
        CtlCommand::Status(_) => {
            let statuses = client.statuses().await;
            show(args, &statuses, ctl_views::statuses)
        }
        CtlCommand::Endpoints(_) => {
            let statuses = client.statuses().await;
            show(args, &statuses, ctl_views::endpoints)
        }
        CtlCommand::Explain(it) => {
            let trace = client.explain(&it.job).await?;
            show(args, &trace, ctl_views::explain)
        }
    }
}

fn show(args: &CtlArgs, value: &Value, view: fn(&Value) -> String) -> anyhow::Result<()> {
    if args.json {
        println!("{}", serde_json::to_string_pretty(value)?);
    } else {
        print!("{}", view(value));
    }
    Ok(())
}

/// Sends a change; prints its id first, so that it can be sent again.
async fn change(
    client: &CtlClient,
    args: &CtlArgs,
    action: &str,
    value: Value,
    flags: &ChangeFlags,
) -> anyhow::Result<()> {
    let base_version = match flags.base_version {
        Some(version) => version,
        None => client.config_version().await?,
    };
    let change_id = flags.change_id.clone().unwrap_or_else(new_change_id);
    eprintln!("change id {change_id}, base version {base_version}");
    let body = json!({"change_id": change_id, "base_version": base_version, action: value});
    let answer = client.control_post("/v1/changes", &body).await?;
    if args.json {
        println!("{answer}");
    } else {
        println!("accepted as version {}", answer["version"]);
    }
    Ok(())
}

/// Puts the documents of a change back to what they were before it.
async fn revert(
    client: &CtlClient,
    args: &CtlArgs,
    history: &Value,
    version: u64,
    flags: &ChangeFlags,
) -> anyhow::Result<()> {
    let records = history.as_array().context("the history is a list")?;
    let record = records.iter().find(|it| it["version"] == version);
    let record = record.with_context(|| format!("version {version} is not in the history"))?;
    let former = record["former"].as_array().context("a change names its documents")?;
    let mut removed = Vec::new();
    let mut text = String::new();
    for pair in former {
        let name = pair[0].as_str().context("a document has a name")?;
        match pair[1].as_str() {
            Some(former_text) => text.push_str(&ctl_views::document_text(name, former_text)?),
            None => removed.push(name.to_owned()),
        }
    }
    // A drain is undone by its opposite, which both arms below leave to the operator.
    if !text.is_empty() {
        change(client, args, "publish", json!(text), flags).await?;
    }
    if !removed.is_empty() {
        change(client, args, "remove", json!(removed), &ChangeFlags::default()).await?;
    }
    Ok(())
}

fn new_change_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}
