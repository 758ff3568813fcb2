//! The control machines are replaced one after the other, as planned work; then one is lost.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::{Stage, Verdict, record::Record};

const SHAPES: &[(u64, u64)] = &[(4, 60), (2, 200)];

pub fn stage(work: &Path, record: &Arc<Record>, trouble: bool) -> Stage {
    // Control machines 0, 1 and 2 are the seeds; 3, 4 and 5 are their successors.
    crate::plain_stage(work, record, trouble, (6, 3, 6))
}

pub fn run(stage: &Stage) -> Result<Verdict, String> {
    stage.begin(&[3, 4, 5])?;
    stage.world.submit_jobs(Duration::from_millis(50), 5, SHAPES);
    let mut version = 1;
    for _ in 0..40 {
        version += 1;
        let acked = stage.world.put_config(version, version as usize % 3, Duration::from_secs(8));
        acked.ok_or("a configuration wasn't acknowledged before the trouble")?;
        thread::sleep(Duration::from_millis(50));
    }
    let mut live = vec![0, 1, 2];
    for old in 0..3 {
        if stage.trouble {
            replace(stage, old, &mut live)?;
        }
        // More than `catch_up_s` of the successor.
        thread::sleep(Duration::from_secs(9));
        version += 1;
        let acked = stage.world.put_config(version, live[0], Duration::from_secs(8));
        acked.ok_or("a configuration wasn't acknowledged between the replacements")?;
    }
    if stage.trouble {
        let lost = live.remove(0);
        stage.record.say(format!("core-{lost} is lost"));
        stage.cluster.kill(lost);
    }
    let from = stage.record.now();
    stage.record.say(format!("the operator reads back version {version}"));
    let mut newest = None;
    let mut at = 0;
    while stage.record.now() < from + 25_000 && newest != Some(version) {
        newest = newest.max(stage.world.read_config(live[at % live.len()]));
        at += 1;
        thread::sleep(Duration::from_millis(500));
    }
    stage.world.stop_clients();
    let text = format!(
        "version {version} was acknowledged; read back within {} s: {newest:?}",
        (stage.record.now() - from) / 1_000
    );
    Ok(if newest == Some(version) { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// Starts the successor, with an empty disk, then stops the old machine and lets it end.
fn replace(stage: &Stage, old: usize, live: &mut Vec<usize>) -> Result<(), String> {
    let new = old + 3;
    live.push(new);
    stage.record.say(format!("core-{new} starts, with an empty disk"));
    let seeds: Vec<usize> = live.iter().copied().filter(|it| *it != old).collect();
    stage.cluster.start(new, false, &seeds).map_err(|it| it.to_string())?;
    thread::sleep(Duration::from_secs(1));
    live.retain(|it| *it != old);
    stage.record.say(format!("core-{old} is stopped for good"));
    stage.cluster.signal(old, &["TERM"]);
    for _ in 0..600 {
        if stage.cluster.has_ended(old) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(10));
    }
    stage.cluster.kill(old);
    Ok(())
}
