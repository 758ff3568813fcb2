//! Stand-ins and judges of the scripts in `review/`. Exits with 1 if the rule was broken, 0 if
//! it held, 2 if the case couldn't run.

mod case_drain;
mod case_group;
mod case_roll;
mod case_split;
mod case_stop;
mod case_twice;
mod cluster;
mod http;
mod json;
mod links;
mod record;
mod runner;
mod traffic;

use std::{
    panic::{self, AssertUnwindSafe},
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::Duration,
};

use cluster::Cluster;
use record::Record;
use runner::Runner;
use traffic::World;

/// Time after which a script ends in any case.
const LIMIT: Duration = Duration::from_secs(112);

/// What a case runs on.
pub struct Stage {
    pub cluster: Arc<Cluster>,
    pub record: Arc<Record>,
    pub world: Arc<World>,
    pub runners: Vec<Arc<Runner>>,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

impl Stage {
    /// Starts all processes but those left out, with the first three control machines as seeds, and
    /// puts the first configuration in force.
    pub fn begin(&self, left_out: &[usize]) -> Result<(), String> {
        for idx in (0..self.cluster.processes.len()).filter(|it| !left_out.contains(it)) {
            self.cluster.start(idx, true, &[0, 1, 2]).map_err(|it| format!("start: {it}"))?;
        }
        self.world.balance();
        for (idx, runner) in self.runners.iter().enumerate() {
            runner.announce(self.world.controls.clone(), idx % 3);
        }
        self.world
            .put_config(1, 0, Duration::from_secs(15))
            .ok_or("the first configuration wasn't acknowledged")?;
        for _ in 0..150 {
            if self.world.n_ready() == self.world.fronts.len() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the entries don't become ready".to_owned())
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standins CASE FOLDER, in the root of the repository");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let work = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&work);
    let code = play(&case, &folder, &work, trouble);
    let _ = std::fs::remove_dir_all(&work);
    std::process::exit(code);
}

fn play(case: &str, folder: &Path, work: &Path, trouble: bool) -> i32 {
    let run: fn(&Stage) -> Result<Verdict, String> = match case {
        "group" => case_group::run,
        "roll" => case_roll::run,
        "split" => case_split::run,
        "stop" => case_stop::run,
        "twice" => case_twice::run,
        "drain" => case_drain::run,
        _ => return 2,
    };
    let record = Arc::new(Record::new());
    let stage = match case {
        "group" => case_group::stage(work, &record, trouble),
        "roll" => case_roll::stage(work, &record, trouble),
        "split" => case_split::stage(work, &record, trouble),
        "stop" => case_stop::stage(work, &record, trouble),
        "twice" => case_twice::stage(work, &record, trouble),
        _ => case_drain::stage(work, &record, trouble),
    };
    let (cluster, late) = (stage.cluster.clone(), record.clone());
    let kept = folder.to_owned();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        late.say("the time is over".to_owned());
        cluster.kill_all();
        late.write(&kept);
        std::process::exit(2);
    });
    // Also after a panic the processes are ended below.
    let played = panic::catch_unwind(AssertUnwindSafe(|| run(&stage)));
    let verdict = played
        .unwrap_or_else(|_| Err("the script panicked".to_owned()))
        .unwrap_or_else(Verdict::NotRun);
    stage.world.stopped.store(true, std::sync::atomic::Ordering::Relaxed);
    stage.cluster.kill_all();
    if let Ok(logs) = std::env::var("REVIEW_LOGS") {
        for it in &stage.cluster.processes {
            let to = Path::new(&logs).join(format!("{}.log", it.name));
            let _ = std::fs::copy(it.folder.join("log"), to);
        }
    }
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.say(text);
    record.write(folder);
    code
}

/// A stage with runners at their own addresses.
pub fn plain_stage(
    work: &Path,
    record: &Arc<Record>,
    trouble: bool,
    (n_controls, n_entries, n_runners): (usize, usize, usize),
) -> Stage {
    let cluster = Arc::new(Cluster::new(work, n_controls, n_entries, false));
    let runners = (0..n_runners)
        .map(|idx| {
            let at = cluster.runner_address(idx);
            Runner::start(idx, at, at, idx % 3, 0, record.clone())
        })
        .collect();
    let world = World::new(&cluster, record.clone());
    Stage { cluster, record: record.clone(), world, runners, trouble }
}
