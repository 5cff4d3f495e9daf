//! Placement by probability of meeting deadlines (PAM), preemption, and what a scheduling cycle may cost.

/// Pruning threshold: a task whose probability of completing in time is at or below it is deferred (design; thesis
/// 4.4.2).
pub const PRUNING_THRESHOLD: f64 = 0.75;

/// Largest share of the CPUs on spot instances, unless a policy says less: spot is cheaper, and placement weighs
/// its losses by probability.
pub const MAX_SPOT_SHARE: f64 = 1.0;

/// Missed tasks since the last mapping round that engage dropping (design; thesis 4.4.3).
pub const DROPPING_TOGGLE_MISSES: u32 = 1;

/// Longest run queue of a slot, the executing task included (design; thesis 4.4.1).
pub const MAX_RUN_QUEUE_LENGTH: usize = 6;

/// Steps of a plug-in's score that placement tells apart, per unit.
pub const SCORE_STEPS_PER_UNIT: f64 = 100.0;

/// Time between mapping rounds, ms (design).
pub const ROUND_INTERVAL_MS: u64 = 2_000;

/// Least time between two event-driven scheduling cycles, ms (processor).
pub const MIN_CYCLE_INTERVAL_MS: u64 = 150;

/// Bins of a probability mass function: coarse, since a controller may have 8% of a core.
pub const PMF_BINS: usize = 24;

/// Before any task has finished, run times are spread evenly from this multiple of the estimate ...
pub const PRIOR_MIN_FACTOR: f64 = 0.5;

/// ... to this multiple (design).
pub const PRIOR_MAX_FACTOR: f64 = 3.0;

/// Weight of that prior, counted in finished tasks.
pub const PRIOR_WEIGHT: f64 = 2.0;

/// Finished tasks of a class from which on run times of its new jobs are predicted from the class's ratios of run
/// time to estimate, and no longer from the prior alone.
pub const MIN_CLASS_RATIOS: u64 = 30;

/// Finished tasks of one job that count for its class at most: its tasks share the error of its estimate.
pub const MAX_RATIOS_PER_JOB: u32 = 10;

/// Weight of the prior among a class's ratios, counted in finished tasks.
pub const RATIO_PRIOR_WEIGHT: f64 = 6.0;

/// Steps of a ratio that the histogram tells apart, per unit.
pub const RATIO_STEPS_PER_UNIT: f64 = 100.0;

/// Largest ratio told apart, in those steps.
pub const MAX_RATIO_STEPS: u64 = 100_000;

/// Job classes with a histogram at most (memory).
pub const MAX_CLASS_HISTOGRAMS: usize = 200;

/// Longest run time told apart, in [`RUN_TIME_UNIT_MS`]: about 28 hours.
pub const MAX_RUN_TIME_UNITS: u64 = 1_000_000;

/// Unit of run-time histograms, ms.
pub const RUN_TIME_UNIT_MS: u64 = 100;

/// Service tasks of each class for which capacity is kept free, so that a new one need not wait for a boot.
pub const HEADROOM_TASKS: u32 = 4;

/// Service-sized tasks for which each image in use by services keeps capacity on a machine that has it cached: an
/// image fetch would make a new replica late.
pub const HEADROOM_TASKS_PER_IMAGE: u32 = 2;

/// Images for which that is done, the most used first.
pub const MAX_HEADROOM_IMAGES: usize = 8;

/// Time for which quota is held for a job that finds no machine and for which none is to be provisioned, ms: one
/// may come free meanwhile, but other jobs of the team may not wait beside free capacity for 90 s.
pub const STARVATION_MS: u64 = 30_000;

/// Age from which on a job of which too little has started comes first within its level, whether it passes the
/// threshold or not, ms. The largest jobs have to begin within four minutes, half of that is the objective, and
/// boot and image fetch take most of a minute.
pub const AGING_MS: u64 = 100_000;

/// The same for a gang, ms: what is reserved for it stands idle meanwhile, and smaller gangs run on less.
pub const GANG_AGING_MS: u64 = 150_000;

/// Divisor of an array's task count: the part that has to have started for that to end.
pub const AGING_STARTED_TASKS_DIVISOR: u32 = 8;

/// Time for which a gang must have run before it may be preempted for other work, ms: a start counts once it has
/// run for 30 s.
pub const MIN_PREEMPTIBLE_GANG_RUN_MS: u64 = 45_000;

/// Time for which capacity won for a gang is reserved for it, ms: a checkpoint, some reports, and the slowest
/// machine of several.
pub const GANG_PREEMPTION_WAIT_MS: u64 = 30_000;

/// Time that a replica waits before gangs are preempted for it, ms, ...
pub const MIN_GANG_PREEMPTION_DELAY_MS: f64 = 20_000.0;

/// ... or this part of the time within which its class is to begin, if that is longer: a gang gives up several
/// machines for one, getting it takes some 30 s, and most replicas find room meanwhile.
pub const GANG_PREEMPTION_OBJECTIVE_SHARE: f64 = 0.4;

/// Weight of an image fetch where machines for a gang are compared, as lost work, ms.
pub const FETCH_PENALTY_MS: f64 = 10_000.0;

/// Weight of preempting an array of the gang's own priority rather than idle-hours work, and a gang rather than
/// that, ms.
pub const PREEMPTION_RANK_PENALTY_MS: f64 = 30_000.0;

/// Overdue gangs that come first at once.
pub const MAX_AGED_GANGS: usize = 1;

/// Gangs and other jobs for which a mapping round reserves capacity at most (processor).
pub const MAX_RESERVATIONS_PER_ROUND: usize = 4;

/// Machines evaluated for one of them (processor).
pub const MAX_RESERVATION_CANDIDATES: usize = 400;

/// Time within which a machine must come free to be reserved, ms: what is reserved longer stands idle longer than
/// the gang gains by it.
pub const RESERVATION_HORIZON_MS: f64 = 45_000.0;

/// Advantage of a machine that is reserved already, ms: it is not given up for one that would be free a moment
/// earlier.
pub const RESERVED_MACHINE_ADVANTAGE_MS: f64 = 15_000.0;

/// Time that a service must gain before tasks of lower priority are preempted for it, ms.
pub const MIN_PREEMPTION_GAIN_MS: f64 = 8_000.0;

/// Time from binding to start of a task beside its image fetch, ms: a cycle, a commit.
pub const TASK_START_DELAY_MS: f64 = 1_000.0;

/// Report intervals after which a preempted task's capacity is taken to be free.
pub const PREEMPTION_REPORT_INTERVALS: f64 = 2.0;

/// Part of the guarantee's objective for which work within a guarantee waits for booting machines before borrowed
/// capacity is preempted for it: preempted work is lost and needs room again.
pub const RECLAIM_OBJECTIVE_SHARE: f64 = 0.5;

/// Time without room after which work of the lowest priority is preempted for a job, ms: two rounds, in which a
/// task of some seconds ends by itself.
pub const LOW_PRIORITY_PREEMPTION_DELAY_MS: f64 = 4_000.0;

/// Remaining run time from which on such a task is preempted, ms: what ends sooner is waited for, and no other work
/// of the lowest priority takes its room meanwhile.
pub const MIN_LOW_PRIORITY_REMAINING_MS: f64 = 10_000.0;

/// Time for which that room is kept from work of the lowest priority, ms: until the round after next.
pub const LOW_PRIORITY_HOLD_MS: u64 = 5_000;

/// Objective for work within a guarantee where the settings name none, s.
pub const DEFAULT_GUARANTEE_OBJECTIVE_S: f64 = 60.0;

/// Tasks for which a mapping round preempts borrowed capacity at most: a wave of preemptions would be followed by a
/// wave of provisioning for what was preempted.
pub const MAX_PREEMPTING_TASKS_PER_ROUND: u32 = 50;

/// Time for which a service waits for room made for it, ms, before it takes any other.
pub const PREEMPTION_WAIT_MS: u64 = 9_000;

/// Jobs of one level placed in one cycle at most (processor).
pub const MAX_CYCLE_JOBS: usize = 200;

/// Run queues offered in a round at most, the soonest first (processor): among a few thousand slots each job finds
/// what it wants.
pub const MAX_RUN_QUEUES: usize = 2_000;

/// Jobs of one level that a cycle places at least, however little memory there is.
pub const MIN_CYCLE_JOBS: usize = 20;

/// Memory of one target that a job is evaluated on, bytes: its rank, and the scores with and without the image.
pub const EVALUATED_TARGET_BYTES: usize = 32;

/// Multiple of the processor share above which a measurement is not believed: no process gets more than its share
/// for long.
pub const MAX_PLAUSIBLE_CPU_FACTOR: f64 = 1.5;

/// Cost of a worker's report or a user's request over HTTP with its response, us of a whole core. This and the
/// following costs are fitted to what simulated machines were charged.
pub const REPORT_COST_US: f64 = 32.0;

/// Cost of each task in a report, us of a whole core.
pub const TASK_STATUS_COST_US: f64 = 0.6;

/// Cost of a call to or from another service or controller, us of a whole core.
pub const CALL_COST_US: f64 = 45.0;

/// Cost of a forwarded report, us of a whole core.
pub const FORWARDED_REPORT_COST_US: f64 = 4.0;

/// Cost of a machine summarised as unchanged, us of a whole core.
pub const UNCHANGED_MACHINE_COST_US: f64 = 2.5;

/// Cost of a tick, us of a whole core.
pub const TICK_COST_US: f64 = 40.0;

/// Cost of each machine in a tick, us of a whole core.
pub const TICK_MACHINE_COST_US: f64 = 0.15;

/// Time that the evaluations of a cycle may take, ms, on the share of a core that the platform gives: with its
/// other work a quarter of the leader's lease.
pub const MAX_CYCLE_EVALUATION_MS: f64 = 600.0;

/// Run queues offered in a round at least, however many jobs are evaluated on them.
pub const MIN_RUN_QUEUES: usize = 50;

/// Tasks appended to run queues in one cycle at most (processor): the next cycle goes on.
pub const MAX_CYCLE_QUEUE_JOINS: usize = 600;

/// Cost of evaluating one target for one job, us of a whole core, measured.
pub const EVALUATION_COST_US: f64 = 0.25;

/// Cost of computing one score, us of a whole core, measured.
pub const SCORE_COST_US: f64 = 5.0;

/// Cost of a cycle by these figures, ms, on the share of a core that the platform gives, above which a pause
/// follows: reports and the lease must have their turn.
pub const LONG_CYCLE_THRESHOLD_MS: f64 = 150.0;

/// Length of that pause, as a multiple of the cycle's cost.
pub const CYCLE_PAUSE_FACTOR: f64 = 2.0;

/// Tasks bound in one cycle at most (processor); the next cycle goes on.
pub const MAX_CYCLE_BINDINGS: usize = 300;

/// Tasks that began within one such step have equal completion-time distributions in a round, ms: the round's own
/// period, so that slots share them.
pub const COMPLETION_TIME_STEP_MS: f64 = 2_000.0;
