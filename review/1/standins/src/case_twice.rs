//! Links to runners lose packets, and a start arrives after its answer was given up.

use std::{
    collections::HashMap,
    path::Path,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use crate::{
    Stage, Verdict,
    cluster::Cluster,
    links::{self, Loss},
    record::{Record, RunRow},
    runner::Runner,
    traffic::World,
};

const SHAPES: &[(u64, u64)] = &[(8, 60), (8, 60), (4, 60)];
/// Share of lost packets on the links of one zone, in thousandths, and for how long: the dose of
/// `lossy`.
const LOST_MILLI: u64 = 25;
const SPELL: Duration = Duration::from_millis(5_500);
const PAUSE: Duration = Duration::from_secs(1);
const N_SPELLS: usize = 12;

pub fn stage(work: &Path, record: &Arc<Record>, trouble: bool) -> Stage {
    let cluster = Arc::new(Cluster::new(work, 3, 3, false));
    let (loss, no_loss) = (Arc::new(Loss::default()), Arc::new(Loss::default()));
    let runners = (0..12)
        .map(|idx| {
            let (near, far) = (cluster.runner_address(idx), cluster.runner_address(50 + idx));
            // Only the links to the runners of one zone lose packets.
            let loss = if idx % 3 == 0 { &loss } else { &no_loss };
            links::forward_lossy(near, far, loss.clone(), 77 + idx as u64);
            Runner::start(idx, far, near, idx % 3, 0, record.clone())
        })
        .collect();
    *LOSS.lock().unwrap() = Some(loss);
    let world = World::new(&cluster, record.clone());
    Stage { cluster, record: record.clone(), world, runners, trouble }
}

static LOSS: std::sync::Mutex<Option<Arc<Loss>>> = std::sync::Mutex::new(None);

pub fn run(stage: &Stage) -> Result<Verdict, String> {
    let loss = LOSS.lock().unwrap().clone().ok_or("no proxies")?;
    stage.begin(&[])?;
    thread::sleep(Duration::from_secs(3));
    stage.world.submit_jobs(Duration::from_millis(10), 3, SHAPES);
    thread::sleep(Duration::from_secs(2));
    for number in 0..N_SPELLS {
        loss.milli.store(if stage.trouble { LOST_MILLI } else { 0 }, Ordering::Relaxed);
        stage.record.note(format!("spell {number} of lost packets begins"));
        thread::sleep(SPELL);
        loss.milli.store(0, Ordering::Relaxed);
        thread::sleep(PAUSE);
    }
    stage.world.stop_clients();
    thread::sleep(Duration::from_millis(500));
    let twice = overlaps(&stage.record.runs.lock().unwrap());
    for (first, second) in &twice {
        let (ended, how) = first.ended.unwrap_or((0, "-"));
        stage.record.say(format!(
            "TWICE: {} run {} on {} from {} to {ended} ({how}), run {} on {} from {}",
            first.task,
            first.run,
            first.runner,
            first.began,
            second.run,
            second.runner,
            second.began
        ));
    }
    let (n_done, n_all) = stage.world.n_completed(0, u64::MAX);
    let text = format!(
        "{} times two runs of one task at once; {n_done} of {n_all} attempts completed, {} runs, \
         {} of {} packets lost",
        twice.len(),
        stage.record.runs.lock().unwrap().len(),
        loss.n_lost.load(Ordering::Relaxed),
        loss.n_sent.load(Ordering::Relaxed)
    );
    Ok(if twice.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// Pairs of runs of one task that overlap by more than the clock's grain.
pub fn overlaps(runs: &[RunRow]) -> Vec<(RunRow, RunRow)> {
    let mut by_task: HashMap<&str, Vec<&RunRow>> = HashMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut found = Vec::new();
    for rows in by_task.values() {
        for (idx, second) in rows.iter().enumerate() {
            for first in &rows[..idx] {
                let ended = first.ended.map_or(u64::MAX, |(at, _)| at);
                if second.began + 2 < ended {
                    found.push(((*first).clone(), (*second).clone()));
                }
            }
        }
    }
    found.sort_by_key(|(_, second)| second.began);
    found
}
