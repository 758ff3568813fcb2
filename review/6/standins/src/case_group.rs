//! A control machine is replaced on a plan. The newcomer is lost right after the repair, and
//! replaced in its turn. Much later another control machine is lost for good and replaced. With
//! one machine lost at a time, the configuration must be read and changed.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    cluster::{self, Cluster, Role},
    http,
};

const START_LIMIT: Duration = Duration::from_secs(15);
/// How long the newcomer runs before the former machine gets SIGTERM: more than `catch_up_s`.
const PLANNED_LEAD: Duration = Duration::from_secs(8);
/// When the newcomer is lost, after that SIGTERM.
const LOSS_AFTER: Duration = Duration::from_millis(450);
/// When a machine that is gone for good is replaced.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
/// Grace of a SIGTERM: `grace_s`.
const GRACE: Duration = Duration::from_secs(6);
/// Calm time between the losses: several times `catch_up_s` and `recovery_s`.
const CALM_TIME: Duration = Duration::from_secs(25);
/// Time in which the configuration must be read at the end: over `recovery_s` and `ack_ms`.
const READ_LIMIT: Duration = Duration::from_secs(40);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let mut cluster = Cluster::new(&case.root, &case.scratch, record, &["bayern-muc"]);
    cluster.start_all();
    if !cluster.configure(&cluster::config(7, 1_500, true), START_LIMIT) {
        return Verdict::CouldNotRun("the configuration is not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let controls = cluster.with_role(Role::Control);
    let zone = cluster.machines[controls[2]].zone.clone();
    let newcomer = cluster.add_control(&zone);
    thread::sleep(PLANNED_LEAD);
    cluster.signal(controls[2], "TERM");
    thread::sleep(LOSS_AFTER);
    if case.has_trouble {
        cluster.remove(newcomer);
    }
    thread::sleep(REPLACED_AFTER);
    if case.has_trouble {
        cluster.add_control(&zone);
    }
    thread::sleep(GRACE - REPLACED_AFTER - LOSS_AFTER);
    cluster.remove(controls[2]);
    thread::sleep(CALM_TIME);
    if !cluster.configure(&cluster::config(9, 1_500, true), START_LIMIT) {
        record.line("version 9 is not acknowledged");
        return Verdict::Broken;
    }
    let zone = cluster.machines[controls[1]].zone.clone();
    cluster.remove(controls[1]);
    thread::sleep(REPLACED_AFTER);
    cluster.add_control(&zone);
    let end = Instant::now() + READ_LIMIT;
    let mut n_reads = 0;
    while Instant::now() < end {
        let addresses = cluster.controls();
        let address = addresses[n_reads % addresses.len()];
        n_reads += 1;
        let host = address.to_string();
        let limit = Duration::from_secs(2);
        let answer = http::call(address, "GET", "/yuccamux/config", &host, "", "", limit);
        let status = answer.as_ref().map(|(status, _)| *status);
        record.line(&format!("operator: GET config at {address}: {status:?}"));
        if let Some((200, body)) = answer {
            let is_newest = String::from_utf8_lossy(&body).contains("\"version\":9");
            record.line(&format!("the configuration is read back, the newest: {is_newest}"));
            return if is_newest { Verdict::Held } else { Verdict::Broken };
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.line("the configuration is not read back");
    Verdict::Broken
}
