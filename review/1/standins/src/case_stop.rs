//! Entries get SIGHUP and, some ms later, SIGTERM, while their share of the processor is used up.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::{Stage, Verdict, cluster::GRACE_S, http::CallError, record::Record, traffic::Attempt};

const SHAPES: &[(u64, u64)] = &[(4, 60), (2, 200), (2, 700)];
/// Entries that are stopped, one after the other.
const N_STOPPED: usize = 7;
/// Time for which the process isn't scheduled, as when its share of the processor is used up.
const PAUSE: Duration = Duration::from_millis(80);

pub fn stage(work: &Path, record: &Arc<Record>, trouble: bool) -> Stage {
    crate::plain_stage(work, record, trouble, (3, 6, 12))
}

pub fn run(stage: &Stage) -> Result<Verdict, String> {
    stage.begin(&[])?;
    stage.world.submit_jobs(Duration::from_millis(20), 11, SHAPES);
    thread::sleep(Duration::from_secs(4));
    let mut n_ignored = 0;
    let mut lost = Vec::new();
    for number in 0..N_STOPPED {
        let front = number % stage.world.fronts.len();
        let idx = 3 + front;
        // The settings file is written anew, with the same content, as before a SIGHUP.
        stage.cluster.write_settings(idx, false, &[0, 1, 2]);
        let signals: &[&str] = if stage.trouble { &["HUP", "TERM"] } else { &["TERM"] };
        stage.cluster.signal(idx, &["STOP"]);
        let mut signalled = 0;
        for signal in signals {
            thread::sleep(PAUSE / 3);
            signalled = stage.record.now();
            stage.cluster.signal(idx, &[signal]);
        }
        thread::sleep(PAUSE / 3);
        stage.cluster.signal(idx, &["CONT"]);
        stage.record.say(format!("edge-{front} gets {signals:?}"));
        let mut has_ended = false;
        while stage.record.now() < signalled + GRACE_S * 1_000 {
            has_ended = stage.cluster.has_ended(idx);
            if has_ended {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let ended = stage.record.now();
        if has_ended {
            stage.record.say(format!("edge-{front} ends {} ms later", ended - signalled));
        } else {
            n_ignored += 1;
            stage.cluster.kill(idx);
            stage.record.say(format!("edge-{front} still works after grace_s and gets SIGKILL"));
        }
        thread::sleep(Duration::from_millis(500));
        lost.extend(lost_requests(stage, front, signalled));
        stage.cluster.start(idx, false, &[0, 1, 2]).map_err(|it| it.to_string())?;
        thread::sleep(Duration::from_secs(3));
    }
    stage.world.stop_clients();
    for it in &lost {
        stage.record.say(format!(
            "LOST: job {:016x} was sent at {} to edge-{}, passed on to a runner, cut at {}",
            it.job, it.sent, it.entry, it.ended
        ));
    }
    let text = format!(
        "{N_STOPPED} entries were asked to stop, {n_ignored} took no note of it, {} requests were \
         lost",
        lost.len()
    );
    Ok(if lost.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// Requests that were passed on to a runner and cut without an answer, by the rule LOST.
fn lost_requests(stage: &Stage, front: usize, signalled: u64) -> Vec<Attempt> {
    let attempts = stage.world.attempts.lock().unwrap();
    let runs = stage.record.runs.lock().unwrap();
    let cut = attempts.iter().filter(|it| {
        let is_planned = signalled <= it.ended && it.ended <= signalled + GRACE_S * 1_000 + 1_000;
        it.entry == front && it.outcome == Err(CallError::Broken) && is_planned
    });
    let counted = cut.filter(|it| {
        let prefix = format!("{:016x}.", it.job);
        let mut own = runs.iter().filter(|run| {
            run.task.starts_with(&prefix) && it.sent <= run.began && run.began <= it.ended
        });
        // Excused: at work in the last sixth of `grace_s`, if sent up to 3 s after the SIGTERM.
        let is_excused =
            it.sent <= signalled + 3_000 && signalled + GRACE_S * 1_000 * 5 / 6 <= it.ended;
        own.next().is_some() && !is_excused
    });
    counted.cloned().collect()
}
