//! The jobs of both users, by random number.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// A kind of task in a mix.
struct MixKind {
    name: &'static str,
    run_ms: f64,
    weight: f64,
    n_tasks: std::ops::RangeInclusive<usize>,
}

/// The kinds of a workspace in a mix; a job has tasks of one kind.
pub(crate) struct WorkspaceMix {
    pub(crate) workspace: &'static str,
    weight: f64,
    kinds: &'static [MixKind],
}

const MOOD_BOARDS: WorkspaceMix = WorkspaceMix {
    workspace: "mood-boards",
    weight: 0.6,
    kinds: &[
        MixKind { name: "swatch-preview", run_ms: 60.0, weight: 0.6, n_tasks: 1..=2 },
        MixKind { name: "palette-check", run_ms: 50.0, weight: 0.2, n_tasks: 1..=3 },
        MixKind { name: "board-composite", run_ms: 300.0, weight: 0.2, n_tasks: 4..=24 },
    ],
};

const NOTICES: WorkspaceMix = WorkspaceMix {
    workspace: "notices",
    weight: 0.4,
    kinds: &[
        MixKind { name: "headline-check", run_ms: 80.0, weight: 0.5, n_tasks: 1..=2 },
        MixKind { name: "glossary-lookup", run_ms: 200.0, weight: 0.35, n_tasks: 2..=12 },
        MixKind { name: "article-digest", run_ms: 800.0, weight: 0.15, n_tasks: 4..=16 },
    ],
};

/// A job to submit.
#[derive(Clone, Debug)]
pub(crate) struct MixJob {
    pub(crate) workspace: &'static str,
    pub(crate) kind: &'static str,
    pub(crate) n_tasks: usize,
    /// Run time of its longest task on an endpoint of factor one, in ms.
    pub(crate) longest_ms: f64,
    /// Run time of all its tasks together, in ms.
    pub(crate) work_ms: f64,
    pub(crate) body: String,
}

/// The workspaces of a named mix.
pub(crate) fn workspaces(mix: &str) -> anyhow::Result<Vec<WorkspaceMix>> {
    match mix {
        "both" => Ok(vec![MOOD_BOARDS, NOTICES]),
        "mood-boards" => Ok(vec![MOOD_BOARDS]),
        "notices" => Ok(vec![NOTICES]),
        _ => anyhow::bail!("--mix: {mix:?} is not one of: both, mood-boards, notices"),
    }
}

/// Mean work of a job of a mix, in ms.
pub(crate) fn mean_work_ms(mix: &[WorkspaceMix]) -> f64 {
    let total: f64 = mix.iter().map(|it| it.weight).sum();
    let mean_of = |workspace: &WorkspaceMix| -> f64 {
        let kinds = workspace.kinds.iter();
        let mean = kinds.map(|it| {
            let n_tasks = (*it.n_tasks.start() + *it.n_tasks.end()) as f64 / 2.0;
            it.weight * it.run_ms * n_tasks
        });
        mean.sum()
    };
    mix.iter().map(|it| it.weight / total * mean_of(it)).sum()
}

/// A job of a mix; `misdeclare` is the largest factor by which declared times are off.
pub(crate) fn draw_job(
    mix: &[WorkspaceMix],
    deadline_ms: u64,
    misdeclare: f64,
    rng: &mut ChaCha8Rng,
) -> MixJob {
    let workspace = draw(mix, |it| it.weight, rng);
    let kind = draw(workspace.kinds, |it| it.weight, rng);
    let n_tasks = rng.random_range(kind.n_tasks.clone());
    let mut tasks = Vec::new();
    let mut longest_ms: f64 = 0.0;
    let mut work_ms = 0.0;
    for idx in 0..n_tasks {
        let run_ms = kind.run_ms * rng.random_range(0.7..1.3);
        let off = misdeclare.max(1.0).powf(rng.random_range(-1.0..=1.0));
        longest_ms = longest_ms.max(run_ms);
        work_ms += run_ms;
        let nonce: u64 = rng.random();
        tasks.push(json!({
            "kind": kind.name,
            "declared_ms": (run_ms * off) as u64,
            "input": {"run_ms": run_ms, "nonce": nonce, "idx": idx},
        }));
    }
    let body = json!({
        "workspace": workspace.workspace,
        "deadline_ms": deadline_ms,
        "tasks": tasks,
    });
    MixJob {
        workspace: workspace.workspace,
        kind: kind.name,
        n_tasks,
        longest_ms,
        work_ms,
        body: body.to_string(),
    }
}

fn draw<'a, T>(items: &'a [T], weight: impl Fn(&T) -> f64, rng: &mut ChaCha8Rng) -> &'a T {
    let total: f64 = items.iter().map(&weight).sum();
    let mut left = rng.random_range(0.0..total);
    for item in items {
        left -= weight(item);
        if left < 0.0 {
            return item;
        }
    }
    &items[items.len() - 1]
}

/// What is wrong with a complete answer to a job, if anything.
pub(crate) fn check_answer(job: &MixJob, key: &str, answer: &Value) -> Option<String> {
    if answer["job"] != key {
        return Some(format!("answer of job {} for job {key}", answer["job"]));
    }
    let outputs = answer["outputs"].as_array()?;
    if outputs.len() != job.n_tasks {
        return Some(format!("{} outputs for {} tasks", outputs.len(), job.n_tasks));
    }
    let body: Value = serde_json::from_str(&job.body).ok()?;
    for (idx, output) in outputs.iter().enumerate() {
        if output["job"] != key || output["input"] != body["tasks"][idx]["input"] {
            return Some(format!("output {idx} of job {key} belongs to another task"));
        }
    }
    None
}
