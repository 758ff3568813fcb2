//! A control machine is replaced; later all control processes are killed, and one disk is lost.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::{Stage, Verdict, record::Record};

const SHAPES: &[(u64, u64)] = &[(4, 60), (2, 200)];

pub fn stage(work: &Path, record: &Arc<Record>, trouble: bool) -> Stage {
    // Control machines 0, 1 and 2 are the seeds; 3 is the successor of 2.
    crate::plain_stage(work, record, trouble, (4, 3, 6))
}

pub fn run(stage: &Stage) -> Result<Verdict, String> {
    stage.begin(&[3])?;
    stage.world.submit_jobs(Duration::from_millis(50), 5, SHAPES);
    let mut version = 1;
    for _ in 0..40 {
        version += 1;
        let acked = stage.world.put_config(version, version as usize % 2, Duration::from_secs(8));
        acked.ok_or("a configuration wasn't acknowledged before the trouble")?;
        thread::sleep(Duration::from_millis(100));
    }
    if stage.trouble {
        stage.record.say("core-2 is gone for good".to_owned());
        stage.cluster.kill(2);
    }
    thread::sleep(Duration::from_secs(1));
    if stage.trouble {
        stage.record.say("core-3 starts in its place, with an empty disk".to_owned());
        stage.cluster.start(3, false, &[0, 1, 3]).map_err(|it| it.to_string())?;
    }
    // More than `catch_up_s` of the successor.
    thread::sleep(Duration::from_secs(10));
    version += 1;
    let acked = stage.world.put_config(version, 0, Duration::from_secs(8));
    acked.ok_or("a configuration wasn't acknowledged after the replacement")?;
    if stage.trouble {
        stage.record.say("all control processes are killed, core-0 loses its disk".to_owned());
        for idx in [0, 1, 3] {
            stage.cluster.kill(idx);
        }
        stage.cluster.empty_disk(0);
        thread::sleep(Duration::from_secs(1));
        for idx in [0, 1, 3] {
            stage.cluster.start(idx, false, &[0, 1, 3]).map_err(|it| it.to_string())?;
        }
    }
    let back = stage.record.now();
    stage.record.say(format!("all are back; the operator reads back version {version}"));
    // `recovery_s` is 12; reads go on for `contact_ms` after it, and more.
    let mut newest = None;
    let mut at = 0;
    while stage.record.now() < back + 30_000 {
        newest = newest.max(stage.world.read_config([0, 1, 3][at % 3]));
        at += 1;
        if newest == Some(version) && back + 12_000 < stage.record.now() {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    stage.world.stop_clients();
    let text = format!(
        "version {version} was acknowledged; read back within {} s after all were back: {newest:?}",
        (stage.record.now() - back) / 1_000
    );
    Ok(if newest == Some(version) { Verdict::Held(text) } else { Verdict::Broken(text) })
}
