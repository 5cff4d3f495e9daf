//! The collection of a job's attempts, and the runs of bindings in its chunks, with generated inputs.

mod common;

use common::property_tests::test_runner;
use proptest::prelude::*;
use std::collections::BTreeMap;
use swiftsail_controller::job::{
    Attempt, AttemptPhase, Attempts, BindingChunk, BindingEncoding, ChunkWrite, Job, JobKind,
    JobRecord, LoggedBindings, MachineId,
};
use swiftsail_protocol::workers::ExitCause;
use swiftsail_simulation::simulation::job_spec;

const PHASES: [AttemptPhase; 7] = [
    AttemptPhase::Bound,
    AttemptPhase::Fetching,
    AttemptPhase::WaitingForGang,
    AttemptPhase::Running,
    AttemptPhase::Saving,
    AttemptPhase::Exited(ExitCause::Completed),
    AttemptPhase::Exited(ExitCause::Failed),
];

fn machine(number: u8) -> MachineId {
    format!("m-{number}").into()
}

/// Compares the collection with a standard map of the same attempts.
fn assert_same(attempts: &Attempts, model: &BTreeMap<u32, Attempt>) -> Result<(), TestCaseError> {
    let listed: Vec<(u32, u64)> = attempts.iter().map(|(t, a)| (*t, a.number)).collect();
    let expected: Vec<(u32, u64)> = model.iter().map(|(t, a)| (*t, a.number)).collect();
    prop_assert_eq!(listed, expected);
    prop_assert_eq!(attempts.len(), model.len());
    let count = |is: fn(&Attempt) -> bool| model.values().filter(|a| is(a)).count();
    let counts = attempts.counts();
    prop_assert_eq!(counts.committing, count(|a| a.phase() == AttemptPhase::Committing));
    prop_assert_eq!(counts.fetching, count(|a| a.phase() == AttemptPhase::Fetching));
    prop_assert_eq!(counts.running, count(|a| a.phase() == AttemptPhase::Running));
    prop_assert_eq!(counts.saving, count(|a| a.phase() == AttemptPhase::Saving));
    prop_assert_eq!(counts.completed, count(Attempt::is_completed));
    prop_assert_eq!(counts.stopping, count(|a| a.stop_requested && a.occupies_resources()));
    prop_assert_eq!(attempts.occupying(), count(Attempt::occupies_resources));
    let mut by_machine: BTreeMap<MachineId, u32> = BTreeMap::new();
    for attempt in model.values().filter(|a| a.occupies_resources()) {
        *by_machine.entry(attempt.machine().clone()).or_default() += 1;
    }
    let counted = attempts.occupying_by_machine().map(|(id, n)| (id.clone(), n)).collect();
    prop_assert_eq!(by_machine, counted);
    let range = attempts.range(30..150).map(|(task, _)| *task);
    let expected = model.range(30..150).map(|(task, _)| *task);
    prop_assert_eq!(range.collect::<Vec<_>>(), expected.collect::<Vec<_>>());
    Ok(())
}

#[test]
fn attempts_behave_like_a_map_and_count_what_they_hold() {
    let steps = prop::collection::vec((0..200u32, 0..5u8, 0..7usize, 0..4u8), 0..300);
    test_runner(7, 256)
        .run(&steps, |steps| {
            let mut attempts = Attempts::default();
            let mut model: BTreeMap<u32, Attempt> = BTreeMap::new();
            for (n, (task, step, phase, on)) in steps.into_iter().enumerate() {
                let change = |attempt: &mut Attempt| {
                    attempt.advance(PHASES[phase], 5);
                };
                match step {
                    0 => {
                        let attempt = Attempt::new(n as u64, machine(on), 1, u64::from(on));
                        let replaced = attempts.insert(task, attempt.clone()).map(|a| a.number);
                        prop_assert_eq!(replaced, model.insert(task, attempt).map(|a| a.number));
                    }
                    1 => {
                        let removed = attempts.remove(&task).map(|a| a.number);
                        prop_assert_eq!(removed, model.remove(&task).map(|a| a.number));
                    }
                    2 => {
                        attempts.get_mut(&task).into_iter().for_each(|mut a| change(&mut a));
                        model.get_mut(&task).into_iter().for_each(change);
                    }
                    3 => {
                        attempts
                            .get_mut(&task)
                            .into_iter()
                            .for_each(|mut a| a.stop_requested = true);
                        model.get_mut(&task).into_iter().for_each(|a| a.stop_requested = true);
                    }
                    _ => {
                        attempts.for_each_mut(|t, a| {
                            if t % 7 == task % 7 {
                                change(a)
                            }
                        });
                        let matching = model.iter_mut().filter(|(t, _)| **t % 7 == task % 7);
                        matching.for_each(|(_, attempt)| change(attempt));
                    }
                }
                prop_assert_eq!(attempts.contains_key(&task), model.contains_key(&task));
                let (machine, expected) = (attempts.get(&task), model.get(&task));
                prop_assert_eq!(machine.map(Attempt::machine), expected.map(Attempt::machine));
            }
            assert_same(&attempts, &model)
        })
        .unwrap();
}

/// A chunk that stores bindings as runs restores the same attempts as one that stores them singly, and is at most a few
/// bytes larger.
#[test]
fn runs_of_bindings_restore_the_same_attempts() {
    const TASKS: u32 = 100;
    let groups = prop::collection::vec((1..30u32, 0..3u64, 0..3u8, 1..3u64, any::<bool>()), 0..20);
    test_runner(8, 256)
        .run(&groups, |groups| {
            let record = JobRecord {
                depends_on: Vec::new(),
                cancelled: false,
                cancelled_wall: 0,
                accepted_wall: 0,
                chunk_tasks: TASKS,
                write_number: 0,
                tier: None,
                spec: job_spec(JobKind::Gang, TASKS, 1.0, "i"),
            };
            let new_job = || Job::new("wk-1".into(), &record, 1, 0, 0);
            let mut job = new_job();
            for (tasks, number, on, session, is_skipped) in groups {
                for _ in 0..tasks {
                    let Some(task) = job.waiting.pop_first() else { break };
                    if is_skipped {
                        job.done.insert(task);
                    } else {
                        job.attempts.insert(task, Attempt::new(number, machine(on), session, 0));
                    }
                }
            }
            let encoded = |encoding| {
                let write = ChunkWrite {
                    write_number: 1,
                    last_attempt: 9,
                    max_bytes: usize::MAX,
                    logged: LoggedBindings::TakeOver,
                    encoding,
                };
                let text = serde_json::to_string(&job.chunk_record(0, write, |_| false));
                text.expect("the record is encodable")
            };
            let restored = |text: &str| {
                let chunk: BindingChunk = serde_json::from_str(text).expect("it is decodable");
                assert!(text.len() <= chunk.bytes(), "{text}");
                let mut restored = new_job();
                restored.restore_chunk(0, &chunk, 9, 0);
                let bindings = restored.attempts.iter().map(|(task, a)| a.binding(*task));
                bindings.collect::<Vec<_>>()
            };
            let (single, runs) = (encoded(BindingEncoding::Single), encoded(BindingEncoding::Runs));
            prop_assert_eq!(restored(&single), restored(&runs));
            let expected = job.attempts.iter().map(|(task, a)| a.binding(*task));
            prop_assert_eq!(restored(&runs), expected.collect::<Vec<_>>());
            // The name of the additional field takes a few bytes.
            prop_assert!(runs.len() <= single.len() + 16, "{} and {}", runs, single);
            Ok(())
        })
        .unwrap();
}
