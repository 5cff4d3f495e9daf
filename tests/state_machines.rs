//! Property tests of the state machines of attempts, jobs, machines and leadership on generated sequences of steps, and
//! the check of settings.

mod common;

use common::property_tests::test_runner;
use proptest::prelude::*;
use swiftsail_controller::job::{
    Attempt, AttemptPhase, Binding, BindingChunk, BindingEncoding, ChunkWrite, Job, JobKind,
    JobRecord, JobSpec, JobState, LoggedBindings,
};
use swiftsail_controller::leadership::{Leadership, LeadershipPhase};
use swiftsail_controller::machine::{Machine, MachineState};
use swiftsail_controller::settings::Settings;
use swiftsail_protocol::workers::ExitCause;
use swiftsail_simulation::simulation::job_spec;

fn new_job(tasks: u32) -> Job {
    let spec = JobSpec { spread: true, ..job_spec(JobKind::Array, tasks, 1.0, "i") };
    let record = JobRecord {
        depends_on: Vec::new(),
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_000,
        chunk_tasks: 7,
        write_number: 0,
        tier: None,
        spec,
    };
    Job::new("wk-1".into(), &record, 1, 1_000_000, 1_000)
}

const PHASES: [AttemptPhase; 7] = [
    AttemptPhase::Bound,
    AttemptPhase::Fetching,
    AttemptPhase::WaitingForGang,
    AttemptPhase::Running,
    AttemptPhase::Saving,
    AttemptPhase::Exited(ExitCause::Completed),
    AttemptPhase::Exited(ExitCause::Failed),
];

#[test]
fn exited_attempt_keeps_its_phase() {
    test_runner(5, 256)
        .run(&prop::collection::vec(0..PHASES.len(), 1..20), |steps| {
            let mut attempt = Attempt::new(1, "m-1".into(), 1, 0);
            let mut exited = None;
            for (now, step) in steps.into_iter().enumerate() {
                attempt.advance(PHASES[step], now as u64);
                if let Some(phase) = exited {
                    prop_assert_eq!(attempt.phase(), phase);
                    prop_assert!(!attempt.occupies_resources());
                } else if let AttemptPhase::Exited(_) = attempt.phase() {
                    exited = Some(attempt.phase());
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn cancelled_or_closed_job_never_returns_to_an_earlier_state() {
    let states = [JobState::Live, JobState::Cancelling, JobState::Closing, JobState::Closed];
    test_runner(5, 256)
        .run(&prop::collection::vec(0..4usize, 1..20), |steps| {
            let mut job = new_job(3);
            let (mut cancelled, mut closed) = (false, false);
            for step in steps {
                job.advance(states[step], 5);
                prop_assert!(!cancelled || job.is_cancelled());
                prop_assert!(!closed || job.state() == JobState::Closed);
                cancelled |= job.is_cancelled();
                closed |= job.state() == JobState::Closed;
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn task_is_in_exactly_one_set_and_is_restored_from_chunks() {
    test_runner(5, 256)
        .run(&prop::collection::vec((0..20u32, 0..4u8), 0..60), |steps| {
            let mut job = new_job(20);
            for (n, (task, step)) in steps.into_iter().enumerate() {
                match step {
                    0 if job.waiting.remove(&task) => {
                        let attempt = Attempt::new(n as u64 + 1, "m-1".into(), 1, 0);
                        job.attempts.insert(task, attempt);
                    }
                    1 => drop(job.release_attempt(task, 0)),
                    2 => job.back_off(task, 0),
                    3 if job.attempts.remove(&task).is_some() => drop(job.done.insert(task)),
                    _ => {}
                }
                for t in 0..20 {
                    let sets = usize::from(job.waiting.contains(&t))
                        + usize::from(job.backing_off.contains_key(&t))
                        + usize::from(job.attempts.contains_key(&t))
                        + usize::from(job.done.contains(&t));
                    prop_assert_eq!(sets, 1, "task {}", t);
                }
            }
            // The next leader restores the same state from the stored chunks.
            let mut restored = new_job(20);
            for chunk in 0..3 {
                let text = serde_json::to_string(&job.chunk_record(
                    chunk,
                    ChunkWrite {
                        write_number: 1,
                        last_attempt: 0,
                        max_bytes: usize::MAX,
                        logged: LoggedBindings::TakeOver,
                        encoding: BindingEncoding::Single,
                    },
                    |_| false,
                ))
                .expect("the record is encodable");
                let record: BindingChunk =
                    serde_json::from_str(&text).expect("the record is decodable");
                restored.restore_chunk(chunk, &record, 9, 0);
            }
            prop_assert_eq!(&restored.done, &job.done);
            let attempt_numbers = |job: &Job| -> Vec<(u32, u64)> {
                job.attempts.iter().map(|(t, a)| (*t, a.number)).collect()
            };
            prop_assert_eq!(attempt_numbers(&restored), attempt_numbers(&job));
            Ok(())
        })
        .unwrap();
}

#[test]
fn terminating_machine_keeps_its_state() {
    use MachineState::*;
    let all = [Expected, Registering, Ready, Draining, Terminating];
    test_runner(5, 256)
        .run(&prop::collection::vec(0..5usize, 1..20), |steps| {
            let mut machine = Machine::new("m-1".into(), 0);
            let mut terminating = false;
            for step in steps {
                machine.advance(all[step]);
                prop_assert!(!terminating || machine.state() == Terminating);
                terminating |= machine.state() == Terminating;
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn leadership_is_held_only_under_the_highest_observed_token() {
    test_runner(5, 256)
        .run(&prop::collection::vec((0..8u8, 1..50u64), 1..40), |steps| {
            let mut leadership = Leadership::default();
            for (step, n) in steps {
                match step {
                    0 => drop(leadership.advance(LeadershipPhase::Vacant(n))),
                    1 => drop(leadership.advance(LeadershipPhase::GrantingLease)),
                    2 => drop(leadership.advance(LeadershipPhase::Acquiring(n))),
                    3 | 4 => {
                        if matches!(leadership.phase(), LeadershipPhase::Acquiring(_)) {
                            leadership.token = n;
                            if !leadership.advance(LeadershipPhase::Loading) {
                                leadership.advance(LeadershipPhase::Unknown);
                            }
                        }
                    }
                    5 => drop(leadership.advance(LeadershipPhase::Leading)),
                    6 => leadership.observe_leader("other", leadership.highest_token.max(n)),
                    _ => {
                        if leadership.observe_token(n) {
                            leadership.advance(LeadershipPhase::Unknown);
                        }
                    }
                }
                if step != 6 {
                    prop_assert!(
                        !leadership.holds_key() || leadership.token >= leadership.highest_token
                    );
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_field() {
    let valid = "host_name='n'\nfront='127.0.0.1:1'\ncluster_listen='127.0.0.1:2'\nnew=1\n\
        [endpoints]\ncloud='127.0.0.1:3'\nstate='127.0.0.1:4'\n[settings]\n\
        [settings.workers]\nreport_s=1.0\nlease_s=10.0\ngang_wait_s=9.0\ngang_peer_s=4.0\ncancel_s=35.0\n\
        [settings.state]\nrps=9.0\nwrite_rps=9.0\nvalue_kb=8.0\ntxn_ops=16\n\
        [settings.cloud]\nrps=2.0\nlist_lag_s=5.0\n\
        [settings.machine_limits]\ncores=0.1\nmem_mb=40.0\nmax_connections=9\n";
    Settings::parse("f", valid).expect("valid, with an unknown field");
    let invalid = [
        ("lease_s=10.0", "lease_s=0.0", "lease_s"),
        ("cancel_s=35.0", "cancel_s=9.0", "cancel_s"),
        ("txn_ops=16", "txn_ops=1", "txn_ops"),
        ("rps=2.0", "rps=nan", "cloud.rps"),
        ("host_name='n'", "host_name=''", "host_name"),
        ("front='127.0.0.1:1'", "", "front"),
    ];
    for (from, to, field) in invalid {
        let error = Settings::parse("f", &valid.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(error.contains(field) && error.contains('f'), "{error}");
    }
}

/// A new leader restores every binding whose attempt may run: those in chunks, and those that only the binding log
/// holds, also where a log segment still lists bindings that a chunk has taken over.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn chunks_and_binding_log_together_hold_every_binding() {
    let steps = prop::collection::vec((0..20u32, 0..4u8, any::<bool>(), any::<bool>()), 0..80);
    test_runner(5, 256)
        .run(&steps, |steps| {
            let mut job = new_job(20);
            let (mut attempt_number, mut segment): (u64, Vec<Binding>) = (0, Vec::new());
            let mut chunks: [Option<BindingChunk>; 3] = [None, None, None];
            for (task, step, stale, take_over) in steps {
                match step {
                    0 if job.waiting.remove(&task) => {
                        attempt_number += 1;
                        let mut attempt = Attempt::new(attempt_number, "m-1".into(), 1, 0);
                        attempt.advance(AttemptPhase::Bound, 0);
                        job.attempts.insert(task, attempt);
                        segment.push(Binding {
                            task,
                            attempt: attempt_number,
                            machine: "m-1".into(),
                            worker_session: 1,
                        });
                    }
                    1 => drop(job.release_attempt(task, 0)),
                    2 if job.attempts.remove(&task).is_some() => drop(job.done.insert(task)),
                    3 => {
                        let chunk = job.chunk_of(task);
                        // Bindings stay in the log segment, or the chunk takes them over.
                        let is_logged = |t: u32| {
                            let attempt_number = job.attempts.get(&t).map(|a| a.number);
                            segment.iter().any(|b| b.task == t && Some(b.attempt) == attempt_number)
                        };
                        let logged = if take_over {
                            LoggedBindings::TakeOver
                        } else {
                            LoggedBindings::Leave
                        };
                        let record = job.chunk_record(
                            chunk,
                            ChunkWrite {
                                write_number: 1,
                                last_attempt: attempt_number,
                                max_bytes: usize::MAX,
                                logged,
                                encoding: BindingEncoding::Single,
                            },
                            is_logged,
                        );
                        // The stored segment may still list bindings that the chunk has taken over.
                        segment.retain(|b| stale || !record.bindings.contains(b));
                        chunks[chunk as usize] = Some(record);
                    }
                    _ => {}
                }
            }
            let mut restored = new_job(20);
            for (n, chunk) in chunks.iter().enumerate() {
                if let Some(chunk) = chunk {
                    restored.restore_chunk(n as u32, chunk, 9, 0);
                }
            }
            for binding in &segment {
                restored.restore_log_binding(binding, 0);
            }
            for (task, attempt) in job.attempts.iter() {
                let known = restored.attempts.get(task).map(|a| a.number);
                prop_assert_eq!(known, Some(attempt.number), "task {}", task);
            }
            for task in chunks.iter().flatten().flat_map(|c| &c.done).flat_map(|(f, t)| *f..=*t) {
                prop_assert!(
                    restored.done.contains(&task) && !restored.attempts.contains_key(&task)
                );
            }
            Ok(())
        })
        .unwrap();
}
