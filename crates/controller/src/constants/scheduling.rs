//! Placement by probability of meeting deadlines (PAM), preemption, and what a scheduling cycle may cost.

/// Pruning threshold: a task whose probability of completing in time is at or below it is deferred (design; thesis
/// 4.4.2).
pub const PRUNING_THRESHOLD: f64 = 0.75;

/// Largest share of the CPUs on spot instances, unless a policy says less: spot is cheaper, and placement weighs
/// its losses by probability.
pub const SPOT_SHARE: f64 = 1.0;

/// Missed tasks since the last mapping round that engage dropping (design; thesis 4.4.3).
pub const PRUNING_TOGGLE_MISSES: u32 = 1;

/// Longest run queue of a slot, the executing task included (design; thesis 4.4.1).
pub const RUN_QUEUE_MAX: usize = 6;

/// Steps of a plug-in's score that placement tells apart, per unit.
pub const SCORE_STEPS: f64 = 100.0;

/// Time between mapping rounds, ms (design).
pub const ROUND_MS: u64 = 2_000;

/// Least time between two event-driven scheduling cycles, ms (processor).
pub const CYCLE_MS: u64 = 150;

/// Bins of a probability mass function: coarse, since a controller may have 8% of a core.
pub const BINS: usize = 24;

/// Before any task has finished, run times are spread evenly from this multiple of the estimate ...
pub const PRIOR_LOW: f64 = 0.5;

/// ... to this multiple (design).
pub const PRIOR_HIGH: f64 = 3.0;

/// Weight of that prior, counted in finished tasks.
pub const PRIOR_WEIGHT: f64 = 2.0;

/// Finished tasks of a class from which on run times of its new jobs are predicted from the class's ratios of run
/// time to estimate, and no longer from the prior alone.
pub const RATIOS_LEAST: u64 = 30;

/// Finished tasks of one job that count for its class at most: its tasks share the error of its estimate.
pub const RATIOS_PER_JOB: u32 = 10;

/// Weight of the prior among a class's ratios, counted in finished tasks.
pub const RATIO_PRIOR_WEIGHT: f64 = 6.0;

/// Steps of a ratio that the histogram tells apart, per unit.
pub const RATIO_UNITS: f64 = 100.0;

/// Largest ratio told apart, in those steps.
pub const RATIO_MOST: u64 = 100_000;

/// Job classes with a histogram at most (memory).
pub const CLASSES_MOST: usize = 200;

/// Longest run time told apart, in [`RUN_UNIT_MS`]: about 28 hours.
pub const RUN_MOST: u64 = 1_000_000;

/// Unit of run-time histograms, ms.
pub const RUN_UNIT_MS: u64 = 100;

/// Service tasks of each class for which capacity is kept free, so that a new one need not wait for a boot.
pub const RESERVE_TASKS: u32 = 4;

/// Service-sized tasks for which each image in use by services keeps capacity on a machine that has it cached: an
/// image fetch would make a new replica late.
pub const RESERVE_PER_IMAGE: u32 = 2;

/// Images for which that is done, the most used first.
pub const RESERVE_IMAGES: usize = 8;

/// Time for which quota is held for a job that finds no machine and for which none is to be provisioned, ms: one
/// may come free meanwhile, but other jobs of the team may not wait beside free capacity for 90 s.
pub const IDLE_GRANT_MS: u64 = 30_000;

/// Age from which on a job of which too little has started comes first within its level, whether it passes the
/// threshold or not, ms. The largest jobs have to begin within four minutes, half of that is the objective, and
/// boot and image fetch take most of a minute.
pub const START_PROMISE_MS: u64 = 100_000;

/// The same for a gang, ms: what is reserved for it stands idle meanwhile, and smaller gangs run on less.
pub const GANG_START_PROMISE_MS: u64 = 150_000;

/// Divisor of an array's task count: the part that has to have started for that to end.
pub const START_PROMISE_PART: u32 = 8;

/// Time for which a gang must have run before it may be preempted for other work, ms: a start counts once it has
/// run for 30 s.
pub const LEND_AGE_MS: u64 = 45_000;

/// Time for which capacity won for a gang is reserved for it, ms: a checkpoint, some reports, and the slowest
/// machine of several.
pub const LEND_WAIT_MS: u64 = 30_000;

/// Time that a replica waits before gangs are preempted for it, ms, ...
pub const LEND_URGENT_MS: f64 = 20_000.0;

/// ... or this part of the time within which its class is to begin, if that is longer: a gang gives up several
/// machines for one, getting it takes some 30 s, and most replicas find room meanwhile.
pub const LEND_URGENT_PART: f64 = 0.4;

/// Weight of an image fetch where machines for a gang are compared, as lost work, ms.
pub const FETCH_WEIGHT: f64 = 10_000.0;

/// Weight of preempting an array of the gang's own priority rather than idle-hours work, and a gang rather than
/// that, ms.
pub const GRADE_WEIGHT: f64 = 30_000.0;

/// Overdue gangs that come first at once.
pub const PROMISED_GANGS: usize = 1;

/// Gangs and other jobs for which a mapping round reserves capacity at most (processor).
pub const GANGS_RESERVED_MAX: usize = 4;

/// Machines evaluated for one of them (processor).
pub const GANG_EVALUATIONS_MAX: usize = 400;

/// Time within which a machine must come free to be reserved, ms: what is reserved longer stands idle longer than
/// the gang gains by it.
pub const GATHER_SOON_MS: f64 = 45_000.0;

/// Advantage of a machine that is reserved already, ms: it is not given up for one that would be free a moment
/// earlier.
pub const GATHERED_MS: f64 = 15_000.0;

/// Time that a service must gain before tasks of lower priority are preempted for it, ms.
pub const PREEMPT_GAIN_MS: f64 = 8_000.0;

/// Time from binding to start of a task beside its image fetch, ms: a cycle, a commit.
pub const START_MS: f64 = 1_000.0;

/// Report intervals after which a preempted task's capacity is taken to be free.
pub const PREEMPT_REPORTS: f64 = 2.0;

/// Part of the guarantee's objective for which work within a guarantee waits for booting machines before borrowed
/// capacity is preempted for it: preempted work is lost and needs room again.
pub const RECLAIM_AFTER: f64 = 0.5;

/// Time without room after which work of the lowest priority is preempted for a job, ms: two rounds, in which a
/// task of some seconds ends by itself.
pub const YIELD_AFTER_MS: f64 = 4_000.0;

/// Remaining run time from which on such a task is preempted, ms: what ends sooner is waited for, and no other work
/// of the lowest priority takes its room meanwhile.
pub const YIELD_LEFT_MS: f64 = 10_000.0;

/// Time for which that room is kept from work of the lowest priority, ms: until the round after next.
pub const YIELD_HOLD_MS: u64 = 5_000;

/// Objective for work within a guarantee where the settings name none, s.
pub const GUARANTEE_S: f64 = 60.0;

/// Tasks for which a mapping round preempts borrowed capacity at most: a wave of preemptions would be followed by a
/// wave of provisioning for what was preempted.
pub const RECLAIM_MOST: u32 = 50;

/// Time for which a service waits for room made for it, ms, before it takes any other.
pub const PREEMPT_WAIT_MS: u64 = 9_000;

/// Jobs of one level placed in one cycle at most (processor).
pub const CYCLE_JOBS: usize = 200;

/// Run queues offered in a round at most, the soonest first (processor): among a few thousand slots each job finds
/// what it wants.
pub const RUN_QUEUES_MAX: usize = 2_000;

/// Jobs of one level that a cycle places at least, however little memory there is.
pub const CYCLE_JOBS_MIN: usize = 20;

/// Memory of one target that a job is evaluated on, bytes: its rank, and the scores with and without the image.
pub const PLACE_BYTES: usize = 32;

/// Multiple of the processor share above which a measurement is not believed: no process gets more than its share
/// for long.
pub const SHARE_BELIEVED: f64 = 1.5;

/// Cost of a worker's report or a user's request over HTTP with its response, us of a whole core. This and the
/// following costs are fitted to what simulated machines were charged.
pub const REPORT_US: f64 = 32.0;

/// Cost of each task in a report, us of a whole core.
pub const TASK_STATUS_US: f64 = 0.6;

/// Cost of a call to or from another service or controller, us of a whole core.
pub const CALL_US: f64 = 45.0;

/// Cost of a forwarded report, us of a whole core.
pub const FORWARDED_REPORT_US: f64 = 4.0;

/// Cost of a machine summarised as unchanged, us of a whole core.
pub const UNCHANGED_MACHINE_US: f64 = 2.5;

/// Cost of a tick, us of a whole core.
pub const TICK_US: f64 = 40.0;

/// Cost of each machine in a tick, us of a whole core.
pub const TICK_MACHINE_US: f64 = 0.15;

/// Time that the evaluations of a cycle may take, ms, on the share of a core that the platform gives: with its
/// other work a quarter of the leader's lease.
pub const CYCLE_EVALUATION_MS: f64 = 600.0;

/// Run queues offered in a round at least, however many jobs are evaluated on them.
pub const RUN_QUEUES_MIN: usize = 50;

/// Tasks appended to run queues in one cycle at most (processor): the next cycle goes on.
pub const CYCLE_QUEUED_MAX: usize = 600;

/// Cost of evaluating one target for one job, us of a whole core, measured.
pub const EVALUATION_US: f64 = 0.25;

/// Cost of computing one score, us of a whole core, measured.
pub const SCORE_US: f64 = 5.0;

/// Cost of a cycle by these figures, ms, on the share of a core that the platform gives, above which a pause
/// follows: reports and the lease must have their turn.
pub const LONG_CYCLE_MS: f64 = 150.0;

/// Length of that pause, as a multiple of the cycle's cost.
pub const CYCLE_REST_FACTOR: f64 = 2.0;

/// Tasks bound in one cycle at most (processor); the next cycle goes on.
pub const CYCLE_BINDINGS_MAX: usize = 300;

/// Tasks that began within one such step have equal completion-time distributions in a round, ms: the round's own
/// period, so that slots share them.
pub const END_STEP_MS: f64 = 2_000.0;
