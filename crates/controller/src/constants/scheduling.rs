//! Placement by the probability of meeting deadlines (PAM), preemption, and the cost limits of a scheduling cycle.

/// Pruning threshold: a task whose probability of completing in time is at or below it is deferred (PAM thesis,
/// section 4.4.2).
pub const PRUNING_THRESHOLD: f64 = 0.75;

/// Largest share of the CPUs on spot instances, unless a policy sets less. Spot is cheaper, and placement accounts
/// for its losses by probability.
pub const MAX_SPOT_SHARE: f64 = 1.0;

/// Missed tasks since the last mapping round that engage dropping (PAM thesis, section 4.4.3).
pub const DROPPING_TOGGLE_MISSES: u32 = 1;

/// Longest run queue of a slot, the executing task included (PAM thesis, section 4.4.1).
pub const MAX_RUN_QUEUE_LENGTH: usize = 6;

/// Steps per unit in which placement distinguishes the scores of plug-ins.
pub const SCORE_STEPS_PER_UNIT: f64 = 100.0;

/// Interval between mapping rounds, ms.
pub const ROUND_INTERVAL_MS: u64 = 2_000;

/// Minimum time between two scheduling cycles, ms; bounds their CPU cost.
pub const MIN_CYCLE_INTERVAL_MS: u64 = 150;

/// Bins of a probability mass function. Coarse, since a controller may have 8% of a core.
pub const PMF_BINS: usize = 24;

/// Lower end of the uniform prior of run times, as a multiple of the estimate.
pub const PRIOR_MIN_FACTOR: f64 = 0.5;

/// Upper end of that prior, as a multiple of the estimate.
pub const PRIOR_MAX_FACTOR: f64 = 3.0;

/// Weight of that prior, in finished tasks.
pub const PRIOR_WEIGHT: f64 = 2.0;

/// Finished tasks of a class from which on the run times of its new jobs are predicted from the class's ratios of
/// run time to estimate, instead of from the uniform prior alone.
pub const MIN_CLASS_RATIOS: u64 = 30;

/// Finished tasks of one job that count towards its class at most, since they share the error of one estimate.
pub const MAX_RATIOS_PER_JOB: u32 = 10;

/// Weight of the uniform prior among a class's ratios, in finished tasks.
pub const RATIO_PRIOR_WEIGHT: f64 = 6.0;

/// Resolution of the ratio histogram: steps per unit.
pub const RATIO_STEPS_PER_UNIT: f64 = 100.0;

/// Largest ratio in the histogram, in those steps.
pub const MAX_RATIO_STEPS: u64 = 100_000;

/// Job classes with a ratio histogram at most; bounds memory.
pub const MAX_CLASS_HISTOGRAMS: usize = 200;

/// Longest run time in a histogram, in units of [`RUN_TIME_UNIT_MS`]: about 28 hours.
pub const MAX_RUN_TIME_UNITS: u64 = 1_000_000;

/// Unit of run-time histograms, ms.
pub const RUN_TIME_UNIT_MS: u64 = 100;

/// Service tasks of each class for which capacity is kept free, so that a new one need not wait for a boot.
pub const HEADROOM_TASKS: u32 = 4;

/// Service tasks for which capacity is reserved on machines that have their image cached, for each image in use by
/// services. Fetching the image would delay a new replica too long.
pub const HEADROOM_TASKS_PER_IMAGE: u32 = 2;

/// Images with such a reservation at most, the most used first.
pub const MAX_HEADROOM_IMAGES: usize = 8;

/// Time after which a job counts as starved, ms: it finds no machine and none is to be provisioned for it, so other
/// jobs of its team get its quota first. A machine may become free within that time, but other jobs of the team
/// must not wait for 90 s beside free capacity.
pub const STARVATION_MS: u64 = 30_000;

/// Age from which on a job of which too few tasks have started comes first within its level, and is placed even if
/// it does not pass the pruning threshold, ms. The largest jobs must start within four minutes, the objective is
/// half of that, and boot and image fetch take most of a minute.
pub const AGING_MS: u64 = 100_000;

/// The same age for a gang, ms. Longer, because capacity reserved for a gang stands idle meanwhile, and smaller
/// gangs can run on less.
pub const GANG_AGING_MS: u64 = 150_000;

/// Divisor of an array's task count: the part that must have started for the array not to be aged.
pub const AGING_STARTED_TASKS_DIVISOR: u32 = 8;

/// Time for which a gang must have run before it may be preempted, ms. A start only counts once the gang has run
/// for 30 s.
pub const MIN_PREEMPTIBLE_GANG_RUN_MS: u64 = 45_000;

/// Time for which capacity freed for a gang by preemption stays reserved for it, ms: a checkpoint, a few reports,
/// and the slowest of several machines.
pub const GANG_PREEMPTION_WAIT_MS: u64 = 30_000;

/// Minimum time that a replica waits before gangs are preempted for it, ms. A gang gives up several machines for
/// one replica, the preemption takes about 30 s, and most replicas find capacity meanwhile.
pub const MIN_GANG_PREEMPTION_DELAY_MS: f64 = 20_000.0;

/// That wait as a share of the replica's `wait` objective, if this is longer.
pub const GANG_PREEMPTION_OBJECTIVE_SHARE: f64 = 0.4;

/// Cost of an image fetch when machines for a gang are compared, as lost work, ms.
pub const FETCH_PENALTY_MS: f64 = 10_000.0;

/// Cost of each step in preemption rank, as lost work, ms: an array of normal priority instead of low-priority
/// work, and a gang instead of such an array.
pub const PREEMPTION_RANK_PENALTY_MS: f64 = 30_000.0;

/// Aged gangs that come first at the same time at most.
pub const MAX_AGED_GANGS: usize = 1;

/// Gangs and other jobs for which a mapping round reserves capacity at most; bounds CPU time.
pub const MAX_RESERVATIONS_PER_ROUND: usize = 4;

/// Machines considered for one such reservation at most; bounds CPU time.
pub const MAX_RESERVATION_CANDIDATES: usize = 400;

/// Time within which a machine must become free to be reserved, ms. A longer reservation would idle more capacity
/// than the gang gains.
pub const RESERVATION_HORIZON_MS: f64 = 45_000.0;

/// Advantage of a machine that is already reserved, ms, so that it is not given up for one that becomes free only
/// slightly earlier.
pub const RESERVED_MACHINE_ADVANTAGE_MS: f64 = 15_000.0;

/// Minimum time that a service must gain for lower-priority tasks to be preempted for it, ms.
pub const MIN_PREEMPTION_GAIN_MS: f64 = 8_000.0;

/// Time from binding to start of a task without its image fetch, ms: a scheduling cycle and a commit.
pub const TASK_START_DELAY_MS: f64 = 1_000.0;

/// Report intervals after which a preempted task's resources are assumed to be free.
pub const PREEMPTION_REPORT_INTERVALS: f64 = 2.0;

/// Share of the guarantee's objective for which work within a guarantee waits for booting machines before borrowed
/// capacity is preempted for it. Preempted work is lost and needs capacity again.
pub const RECLAIM_OBJECTIVE_SHARE: f64 = 0.5;

/// Time without capacity after which low-priority work is preempted for a job, ms: two mapping rounds, in which a
/// task of a few seconds ends by itself.
pub const LOW_PRIORITY_PREEMPTION_DELAY_MS: f64 = 4_000.0;

/// Expected remaining run time from which on a low-priority task is preempted, ms. A task that ends sooner is waited
/// for, and its resources are held from other low-priority work meanwhile.
pub const MIN_LOW_PRIORITY_REMAINING_MS: f64 = 10_000.0;

/// Time for which those resources are held from low-priority work, ms: until the mapping round after next.
pub const LOW_PRIORITY_HOLD_MS: u64 = 5_000;

/// Objective for the start of work within a guarantee unless the settings have a shorter one, s.
pub const DEFAULT_GUARANTEE_OBJECTIVE_S: f64 = 60.0;

/// Tasks for which a mapping round preempts others at most. A wave of preemptions would be followed by a wave of
/// provisioning for the preempted work.
pub const MAX_PREEMPTING_TASKS_PER_ROUND: u32 = 50;

/// Time for which a job waits for the capacity freed for it by preemption before it takes any other, ms.
pub const PREEMPTION_WAIT_MS: u64 = 9_000;

/// Jobs of one level placed in one scheduling cycle at most; bounds CPU time.
pub const MAX_CYCLE_JOBS: usize = 200;

/// Run queues offered in a mapping round at most, the soonest first; bounds CPU time. A few thousand slots are
/// enough for each job to find a suitable one.
pub const MAX_RUN_QUEUES: usize = 2_000;

/// Jobs of one level that a scheduling cycle places at least, however little memory there is.
pub const MIN_CYCLE_JOBS: usize = 20;

/// Memory for one target on which a job is evaluated, bytes: its rank, and its scores with and without the image.
pub const EVALUATED_TARGET_BYTES: usize = 32;

/// Multiple of the CPU limit above which a measurement of CPU usage is discarded, since no process exceeds its limit
/// for long.
pub const MAX_PLAUSIBLE_CPU_FACTOR: f64 = 1.5;

/// CPU cost of a worker's report or a user's request over HTTP with its response, us of a whole core.
pub const REPORT_COST_US: f64 = 32.0;

/// CPU cost of each task in a report, us of a whole core.
pub const TASK_STATUS_COST_US: f64 = 0.6;

/// CPU cost of a call to or from another service or controller, us of a whole core.
pub const CALL_COST_US: f64 = 45.0;

/// CPU cost of a forwarded report, us of a whole core.
pub const FORWARDED_REPORT_COST_US: f64 = 4.0;

/// CPU cost of a machine that is summarised as unchanged, us of a whole core.
pub const UNCHANGED_MACHINE_COST_US: f64 = 2.5;

/// CPU cost of a tick, us of a whole core.
pub const TICK_COST_US: f64 = 40.0;

/// CPU cost of each machine in a tick, us of a whole core.
pub const TICK_MACHINE_COST_US: f64 = 0.15;

/// Time that the evaluations of a scheduling cycle may take on the controller's share of a core, ms. Together with
/// its other work this is a quarter of the leader's lease.
pub const MAX_CYCLE_EVALUATION_MS: f64 = 600.0;

/// Run queues offered in a mapping round at least, however many jobs are evaluated on them.
pub const MIN_RUN_QUEUES: usize = 50;

/// Tasks appended to run queues in one scheduling cycle at most; bounds CPU time. The next cycle continues.
pub const MAX_CYCLE_QUEUE_JOINS: usize = 600;

/// CPU cost of evaluating one target for one job, us of a whole core.
pub const EVALUATION_COST_US: f64 = 0.25;

/// CPU cost of computing one score, us of a whole core.
pub const SCORE_COST_US: f64 = 5.0;

/// Estimated cost of a scheduling cycle on the controller's share of a core, ms, above which a pause follows, so
/// that reports and lease renewals are processed in time.
pub const LONG_CYCLE_THRESHOLD_MS: f64 = 150.0;

/// Length of that pause, as a multiple of the cycle's cost.
pub const CYCLE_PAUSE_FACTOR: f64 = 2.0;

/// Divisor of the bound on attempts: the part that one array leaves to other jobs, since its tasks need not run at the
/// same time.
pub const ARRAY_ATTEMPTS_DIVISOR: usize = 4;

/// Divisor of the tasks of the largest job: the attempts that remain for other jobs beside it, however little memory there
/// is.
pub const OTHER_JOBS_ATTEMPTS_DIVISOR: usize = 8;

/// Tasks bound in one scheduling cycle at most; bounds CPU time. The next cycle continues.
pub const MAX_CYCLE_BINDINGS: usize = 300;

/// Time resolution of completion times in a mapping round, ms. Tasks that started within one step have equal
/// completion-time distributions, so that slots share them. It is the interval of mapping rounds.
pub const COMPLETION_TIME_STEP_MS: f64 = 2_000.0;
