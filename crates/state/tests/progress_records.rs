//! Tests of the records of jobs' progress. The store limits the size of a
//! record, and a job whose record it does not accept can't go on.

use figrill_state::batch::{
    Batch, BatchId, Incarnation, Placement, Progress, Schedule, Step,
    TaskProgress, decode_progress, encode,
};
use serde_json::{Value, json};

/// The maximum size of a value in the store, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The maximum number of tasks in the occurrences of a job that are at work.
const MAX_OPEN_TASKS: u32 = 8192;

fn job(count: u32, times: u32) -> Batch {
    Batch {
        id: BatchId(1),
        workspace: String::new(),
        queue: "q".to_owned(),
        service: "svc".to_owned(),
        catalog_version: 0,
        priority: 1,
        attempts: 2,
        stretch: 1.0,
        target: std::time::Duration::ZERO,
        payload: String::new(),
        steps: vec![Step {
            count,
            ..Step::default()
        }],
        schedule: Some(Schedule {
            first_ms: 1,
            every_ms: 1,
            times,
        }),
        accepted_ms: 1,
        cancelled: false,
    }
}

fn placement(worker: u32) -> Placement {
    Placement {
        agent: format!("side-kv-shahalam-{worker}"),
        upstream: Incarnation {
            id: format!("i-{:08x}", worker * 7919),
            born_ms: 1_796_625_419_985,
        },
    }
}

/// Returns a task that has a run, a checkpoint and failed runs.
fn placed_task(index: u32) -> TaskProgress {
    TaskProgress {
        run: 1000 + index,
        placement: Some(placement(index % 300)),
        done: false,
        failures: 3,
        failed_run: 999 + index,
        checkpoint: format!("{:016x}", u64::from(index) << 40),
    }
}

fn read(job: &Batch, progress: &Progress) -> Progress {
    decode_progress(job, &encode(progress)).expect("a valid record")
}

// Guards against a job that is accepted and can't be stored once its tasks are
// placed, as in review/9.
#[test]
fn the_largest_record_of_a_job_fits_into_the_store() {
    let cases = [
        ("one occurrence of single tasks", 1, MAX_OPEN_TASKS),
        ("two large occurrences", MAX_OPEN_TASKS / 2, 2),
    ];
    for (name, count, times) in cases {
        let job = job(count, times);
        let mut progress = Progress::default();
        for occurrence in 0..times {
            let tasks = (0..count).map(|i| placed_task(occurrence + i));
            progress.tasks.insert(occurrence, vec![tasks.collect()]);
        }
        let bytes = encode(&progress).len();
        assert!(bytes < MAX_VALUE_BYTES, "{name}: {bytes} bytes");
        assert!(read(&job, &progress) == progress, "{name}");
    }
}

#[test]
fn occurrences_that_are_done_are_kept_as_ranges() {
    let job = job(2, 100_000);
    let mut progress = Progress::default();
    // In this order, ranges begin, grow at both ends and are joined.
    for occurrence in (0..50_000).rev().chain([60_000, 60_002, 60_001]) {
        let tasks = vec![vec![TaskProgress::default(); 2]];
        progress.tasks.insert(occurrence, tasks);
        progress.finish_occurrence(occurrence);
    }
    progress.finish_occurrence(60_001);
    assert!(progress.tasks.is_empty());
    for (occurrence, expected) in [
        (0, true),
        (49_999, true),
        (50_000, false),
        (59_999, false),
        (60_001, true),
        (60_002, true),
        (60_003, false),
    ] {
        let is_done = progress.is_occurrence_done(occurrence);
        assert_eq!(is_done, expected, "{occurrence}");
    }
    assert_eq!(progress.last_occurrence(), Some(60_002));
    assert_eq!(read(&job, &progress), progress);
    assert!(encode(&progress).len() < 200);
}

// Guards against tasks that start again, because the record of an earlier build
// is not understood.
#[test]
fn a_record_of_an_earlier_build_is_read() {
    let record = json!({
        "state": "running", "ended_ms": 0,
        "tasks": {
            "0": [[{"r": 1, "d": true}, {"r": 2, "d": true}]],
            "1": [[
                {"r": 3, "f": 1, "g": 2, "c": "0000abcd", "p": {
                    "agent": "side-kv-shahalam-4",
                    "upstream": {
                        "id": "i-00007bbc", "born_ms": 1_796_625_419_985_u64
                    },
                }},
                {},
            ]],
        },
    });
    let bytes = record.to_string().into_bytes();
    let progress = decode_progress(&job(2, 3), &bytes).expect("a record");
    let expected = TaskProgress {
        run: 3,
        placement: Some(placement(4)),
        done: false,
        failures: 1,
        failed_run: 2,
        checkpoint: "0000abcd".to_owned(),
    };
    assert_eq!(progress.tasks[&1][0][0], expected);
    assert!(progress.tasks[&0][0].iter().all(|t| t.done));
}

// Guards against a coordinator of an earlier build that takes occurrences that
// are done, or runs that exist, for new ones: it needs the field `tasks`.
#[test]
fn earlier_builds_refuse_what_they_would_misunderstand() {
    let field = |progress: &Progress, name: &str| {
        let record: Value = serde_json::from_slice(&encode(progress))
            .expect("a record is JSON");
        record.get(name).is_some()
    };
    let mut progress = Progress::default();
    assert!(field(&progress, "tasks"));
    let tasks = |count| vec![(0..count).map(placed_task).collect()];
    progress.tasks.insert(0, tasks(50));
    assert!(field(&progress, "tasks") && !field(&progress, "placements"));
    progress.tasks.insert(1, tasks(200));
    assert!(!field(&progress, "tasks") && field(&progress, "placements"));
    progress.tasks.clear();
    progress.finish_occurrence(0);
    assert!(!field(&progress, "tasks") && field(&progress, "done"));
}

#[test]
fn records_that_contradict_themselves_are_refused() {
    let cases = [
        json!({"tasks": {"0": [[{"r": 1, "w": 0}, {}]]}}),
        json!({"tasks": {"0": [[{}, {}]]}, "done": [[0, 0]]}),
        json!({"tasks": {}, "done": [[1, 0]]}),
        json!({"tasks": {}, "done": [[0, 1], [1, 2]]}),
        json!({"tasks": {}, "done": [[0, 3]]}),
        json!({"tasks": {}, "open": {}}),
        json!({}),
    ];
    for mut record in cases {
        record["state"] = json!("running");
        record["ended_ms"] = json!(0);
        let bytes = record.to_string().into_bytes();
        assert!(decode_progress(&job(2, 3), &bytes).is_err(), "{record}");
    }
}
