//! Open connections between machines go silent; seconds later runners say that they drain.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::{
    Stage, Verdict,
    cluster::Cluster,
    links::{self, Silence},
    record::Record,
    runner::Runner,
    traffic::World,
};

const SHAPES: &[(u64, u64)] = &[(4, 60), (2, 200)];
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

static SILENCE: std::sync::Mutex<Option<Arc<Silence>>> = std::sync::Mutex::new(None);

pub fn stage(work: &Path, record: &Arc<Record>, trouble: bool) -> Stage {
    let cluster = Arc::new(Cluster::new(work, 3, 3, true));
    let silence = Arc::new(Silence::default());
    links::forward_links(&cluster, &silence);
    *SILENCE.lock().unwrap() = Some(silence);
    let runners = (0..9)
        .map(|idx| {
            let at = cluster.runner_address(idx);
            Runner::start(idx, at, at, idx % 3, 0, record.clone())
        })
        .collect();
    let world = World::new(&cluster, record.clone());
    Stage { cluster, record: record.clone(), world, runners, trouble }
}

pub fn run(stage: &Stage) -> Result<Verdict, String> {
    let silence = SILENCE.lock().unwrap().clone().ok_or("no proxies")?;
    let began = stage.record.now();
    stage.begin(&[])?;
    stage.world.submit_jobs(Duration::from_millis(25), 9, SHAPES);
    let mut late = Vec::new();
    let mut n_killed = 0;
    for (round, idx) in (1..).zip([0, 4, 8, 3, 7]) {
        // Control machines repeat what runners say about every 8 s; this is just after it.
        let at = began + 8_000 * round + 2_200;
        thread::sleep(Duration::from_millis(at.saturating_sub(stage.record.now())));
        if stage.trouble {
            let n_open = silence.silence_open();
            stage.record.say(format!("{n_open} open connections go silent, new ones work"));
        }
        // All machines are in touch again.
        thread::sleep(Duration::from_millis(CONTACT_MS + 400));
        let runner = &stage.runners[idx];
        runner.drain();
        let control = stage.world.controls[idx % 3];
        if !runner.beat(control) {
            return Err("a heartbeat wasn't acknowledged".to_owned());
        }
        let acked = stage.record.now();
        stage.record.say(format!("{} drains, acknowledged by {control}", runner.id));
        // It serves `drain_ms` and a little longer, then it leaves with what it runs.
        thread::sleep(Duration::from_millis(DRAIN_MS + 2_000));
        n_killed += runner.leave(control);
        stage.record.say(format!("{} leaves", runner.id));
        let runs = stage.record.runs.lock().unwrap();
        let is_late =
            |it: &&crate::record::RunRow| it.runner == runner.id && acked + DRAIN_MS < it.began;
        late.extend(runs.iter().filter(is_late).map(|it| (acked, it.clone())));
    }
    stage.world.stop_clients();
    for (acked, it) in late.iter().take(30) {
        stage.record.say(format!(
            "DRAIN: {} starts on {} {} ms after the acknowledgement; end: {:?}",
            it.task,
            it.runner,
            it.began - acked,
            it.ended
        ));
    }
    let text = format!(
        "{} starts later than {DRAIN_MS} ms after a runner's draining was acknowledged; {n_killed} \
         runs ended with their runners",
        late.len()
    );
    Ok(if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}
