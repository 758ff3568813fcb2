//! Two control machines are added; later two others are lost for some seconds, and a change is
//! acknowledged meanwhile.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::{Stage, Verdict, record::Record};

const SHAPES: &[(u64, u64)] = &[(4, 60), (2, 200)];
/// Pairs of machines that are lost at once, each for `LOST_MS`.
const PAIRS: &[[usize; 2]] = &[[0, 1], [1, 2], [0, 2], [0, 1], [1, 2], [0, 2]];
const LOST_MS: u64 = 4_000;
/// Changes before the machines are added: a few more than a control machine keeps in its log.
const N_CHANGES: usize = 32;
/// `config_apply_ms` of the deployment that the claim names.
const APPLY_MS: u64 = 3_000;

pub fn stage(work: &Path, record: &Arc<Record>, trouble: bool) -> Stage {
    // Control machines 0, 1 and 2 are the seeds; 3 and 4 are added.
    let stage = crate::plain_stage(work, record, trouble, (5, 3, 6));
    stage.cluster.tolerate(2);
    stage
}

pub fn run(stage: &Stage) -> Result<Verdict, String> {
    let world = &stage.world;
    stage.begin(&[3, 4])?;
    world.submit_jobs(Duration::from_millis(50), 5, SHAPES);
    let mut version = 1;
    for _ in 0..N_CHANGES {
        version += 1;
        let acked = world.put_config(version, version as usize % 3, Duration::from_secs(8));
        acked.ok_or("a configuration wasn't acknowledged before the trouble")?;
        thread::sleep(Duration::from_millis(50));
    }
    for idx in [3, 4] {
        stage.record.say(format!("core-{idx} is added"));
        stage.cluster.start(idx, false, &[0, 1, 2]).map_err(|it| it.to_string())?;
    }
    // More than `catch_up_s` of new machines.
    thread::sleep(Duration::from_secs(9));
    let mut broken = Vec::new();
    for (round, pair) in PAIRS.iter().enumerate() {
        if stage.trouble {
            stage.record.say(format!("core-{} and core-{} are killed", pair[0], pair[1]));
            pair.iter().for_each(|it| stage.cluster.kill(*it));
        }
        let killed = stage.record.now();
        version += 1;
        let acked = world.put_config(version, 3 + round % 2, Duration::from_secs(8));
        let acked = acked.ok_or("a configuration wasn't acknowledged by the other three")?;
        stage.record.say(format!("version {version} is acknowledged"));
        let until = killed + LOST_MS;
        thread::sleep(Duration::from_millis(until.saturating_sub(stage.record.now())));
        if stage.trouble {
            for idx in pair {
                stage.cluster.start(*idx, false, &[0, 1, 2]).map_err(|it| it.to_string())?;
            }
            stage.record.say("both are back".to_owned());
        }
        // A read, and one at each other machine if that is wrong (each read is a log entry), until
        // more than `catch_up_s` and `contact_ms` later.
        thread::sleep(Duration::from_millis(2_000));
        for at in 0..5 {
            let asked = stage.record.now();
            let is_read = at == 0 || !broken.is_empty();
            let read = if is_read { world.read_config(at) } else { None };
            if acked + APPLY_MS < asked && read.is_some_and(|it| it < version) {
                let text = format!(
                    "{} answers version {} to a read {} ms after version {version} was \
                     acknowledged",
                    world.controls[at],
                    read.unwrap_or(0),
                    asked - acked
                );
                stage.record.say(format!("CONFIG: {text}"));
                broken.push(text);
            }
            thread::sleep(Duration::from_millis(1_400));
        }
        if !broken.is_empty() {
            break;
        }
    }
    // The end of the day: all machines run, nothing was disturbed for 9 s and more.
    let mut newest = None;
    let until = stage.record.now() + 6_000;
    let mut at = 0;
    while stage.record.now() < until {
        newest = newest.max(world.read_config(at % 5));
        at += 1;
        thread::sleep(Duration::from_millis(200));
    }
    world.stop_clients();
    let text = format!(
        "{} reads answered an older version than the acknowledged {version}; read back at the \
         end: {newest:?}",
        broken.len()
    );
    let held = broken.is_empty() && newest == Some(version);
    Ok(if held { Verdict::Held(text) } else { Verdict::Broken(text) })
}
