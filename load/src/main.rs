//! `yuccamux-load`: open-loop load with the mixes of both users, histograms, checks of
//! every answer, and the comparison of two runs. For trials only.

mod announce_run;
mod demo_run;
mod job_mix;
mod load_args;
mod load_client;
mod load_report;
mod load_run;
mod operator_race;
mod way_run;

use std::net::{TcpListener, UdpSocket};

use yuccamux_adapters::setting_args;

use crate::load_args::{LoadArgs, LoadCommand};

fn main() -> anyhow::Result<()> {
    let args: LoadArgs = setting_args::read();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    match args.command {
        LoadCommand::Run(it) => runtime.block_on(load_run::run(&it)),
        LoadCommand::Compare(it) => load_report::compare(&it.before, &it.after),
        LoadCommand::Demo(it) => runtime.block_on(demo_run::run(&it)),
        LoadCommand::Way(it) => runtime.block_on(way_run::run(&it)),
        LoadCommand::Announce(it) => runtime.block_on(announce_run::run(&it)),
        LoadCommand::FreePorts(it) => free_ports(it.count),
        LoadCommand::Post(it) => runtime.block_on(load_client::post(&it)),
        LoadCommand::Get(it) => runtime.block_on(load_client::get(&it)),
    }
}

/// Prints ports of 127.0.0.1 that are free by TCP and UDP, one a line.
fn free_ports(count: usize) -> anyhow::Result<()> {
    // All are held until the last is found, so that none is given twice.
    let mut held = Vec::new();
    while held.len() < count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        if let Ok(socket) = UdpSocket::bind(address) {
            println!("{}", address.port());
            held.push((listener, socket));
        }
    }
    Ok(())
}
