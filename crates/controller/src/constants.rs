//! Every constant of the service, with its unit and the reason for its value.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;

// ---- term (leadership) -------------------------------------------------------------------------

/// Time to live of the leader's grant, ms. Short, because a crashed leader is replaced only after
/// it; long enough for two lost extensions and a few hundred ms of store latency.
pub const LEASE_TTL_MS: u64 = 2_500;
/// Part of that which is not counted on after a standstill, ms: clocks that differ, and the answer's way.
pub const LEASE_MARGIN_MS: u64 = 100;
/// Time between two events from which on the process has stood still, ms: timer steps come every tenth of it.
pub const PROCESS_PAUSE_MS: u64 = 1_000;
/// Time between extensions of the grant, ms: three tries within one time to live.
pub const LEASE_RENEW_MS: u64 = 700;
/// Most random delay before a campaign, ms, so that nodes seldom collide.
pub const ELECTION_JITTER_MS: u64 = 150;
/// Pause after a campaign that failed, ms.
pub const ELECTION_RETRY_MS: u64 = 500;
/// Time for which a leader that gave up its lead, since it reached nobody, does not ask for it again, ms: others
/// take it at once if they can. Doubled each time ...
pub const RESIGN_MS: u64 = 15_000;
/// ... up to this.
pub const RESIGN_MAX_MS: u64 = 120_000;
/// Machines that should be heard for their silence to say something of the leader.
pub const RESIGN_MACHINES: usize = 3;
/// Time between heartbeats to the other controllers, ms.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// A heartbeat older than this, ms, vouches for nothing.
pub const HEARTBEAT_FRESH_MS: u64 = 1_800;
/// Least time between two heartbeats, ms, where a user waits for others to hold a cancellation: what comes in
/// between goes together.
pub const EXPEDITED_HEARTBEAT_MS: u64 = 50;
/// Heartbeats of which it is remembered when they were made: some seconds of them, hurried ones among them.
pub const HEARTBEATS_REMEMBERED: usize = 256;
/// Cancellations held for a leader that may not have read them, at most: some 20 KB in a heartbeat. They are
/// dropped within a second where the leader reads, and in an outage nothing is cancelled.
pub const PENDING_CANCELLATIONS_MAX: usize = 400;
/// Time after which a leader reads what has changed of the jobs, if its watch has told nothing, ms: how long
/// it may go on without the state service counts from when it asked for the last reading.
pub const LEADER_POLL_MS: u64 = 1_000;
/// Safety margin, ms, by which a fading leader stops answering reports before `cancel_s - lease_s`.
pub const ANSWER_MARGIN_MS: u64 = 6_000;
/// Least time, ms, that a leader without a store success keeps answering.
pub const ANSWER_VALIDITY_MIN_MS: u64 = 2_000;

// ---- calls -------------------------------------------------------------------------------------

/// Timer step of a controller, ms. Work between steps is driven by events.
pub const TICK_MS: u64 = 100;
/// Timeout of one call to the state service, ms: a few hundred ms happen normally.
pub const STORE_TIMEOUT_MS: u64 = 1_500;
/// A user's call to the store is answered 503 after this, ms, below the 2 s users give a poll.
pub const USER_STORE_TIMEOUT_MS: u64 = 1_200;
/// Block time of a follow, ms. Long, since each follow opened counts as a request.
pub const WATCH_BLOCK_MS: u64 = 10_000;
/// Timeout of a follow, ms: its block time and some latency.
pub const WATCH_TIMEOUT_MS: u64 = WATCH_BLOCK_MS + 2_500;
/// First pause after the store refused or was silent, ms.
pub const STORE_BACKOFF_MS: u64 = 200;
/// Longest pause after the store refused or was silent, ms.
pub const STORE_BACKOFF_MAX_MS: u64 = 1_500;
/// Most calls to the store in flight at once (sockets, memory).
pub const STORE_IN_FLIGHT_MAX: usize = 24;
/// Share of the platform's state limits that all controllers together use: the rest absorbs
/// bursts and clock differences.
pub const STORE_SHARE_ALL: f64 = 0.9;
/// Share of the above for the leader; the others divide the rest.
pub const STORE_SHARE_LEADER: f64 = 0.6;
/// Timeout of one call to the cloud, ms.
pub const CLOUD_TIMEOUT_MS: u64 = 4_000;
/// Share of the platform's cloud rate that the leader uses.
pub const CLOUD_SHARE: f64 = 0.8;
/// Pause after a cloud error, ms.
pub const CLOUD_BACKOFF_MS: u64 = 1_500;
/// Time between readings of the machine list, ms: the list lags by as much, and its pages are a
/// good part of 2 calls a second.
pub const CLOUD_LIST_MS: u64 = 10_000;
/// Time between readings of the machine types, ms: market prices move slowly.
pub const CLOUD_TYPES_MS: u64 = 60_000;
/// Names asked for in one page of the machine list (protocol: 500 at most).
pub const CLOUD_PAGE: u32 = 500;
/// Most machines in one rental request (protocol).
pub const RENT_BATCH_MAX: u32 = 50;
/// Most names in one return request (protocol).
pub const RETURN_BATCH_MAX: usize = 100;
/// Largest transaction, bytes (protocol: 64 KiB), with room for its envelope.
pub const TXN_BYTES: usize = 60 * 1024;
/// Keys asked for in one page of a listing.
pub const LIST_PAGE: u32 = 200;
/// Timeout of a relayed report, ms: below the 4 s a worker gives a report.
pub const FORWARD_TIMEOUT_MS: u64 = 2_500;
/// Reports passed on in one message at most.
pub const FORWARD_BATCH_MAX: usize = 64;
/// Largest such message, bytes, counted roughly: below what a body may have.
pub const FORWARD_BATCH_BYTES: usize = 40 * 1024;
/// Bytes of a report in it, without its tasks, and of each task.
pub const REPORT_BYTES: usize = 250;
/// See `REPORT_BYTES`.
pub const TASK_STATUS_BYTES: usize = 90;
/// Time for which reports are gathered before they are passed on, ms, where workers are shared: one
/// timer step, a small part of the 4 s that a worker waits.
pub const FORWARD_GATHER_MS: u64 = 100;
/// Messages with reports on their way at once.
pub const FORWARDS_IN_FLIGHT_MAX: usize = 4;
/// Bytes of a machine in it whose unchanged reports were answered under a duty.
pub const UNCHANGED_MACHINE_BYTES: usize = 40;
/// Time between two tellings of those, ms: a small part of the third of a lease after which a machine
/// that is not heard is given nothing new.
pub const SUMMARY_MS: u64 = 1_000;
/// Machines named at once as those to be seen whole.
pub const MACHINES_WITH_COMMANDS_MAX: usize = 500;
/// Share of a controller's memory that workers' connections may take before they are shared.
pub const DISTRIBUTE_ABOVE: f64 = 0.25;
/// Share of its processor that workers may cost the leader before they are shared.
pub const DISTRIBUTE_LOAD: f64 = 0.35;
/// Share of the processor by which the leader must be busier than another before it sends workers there.
pub const LOAD_SLACK: f64 = 0.12;
/// Part of a controller's workers by which the leader must be above its own before it sends one to
/// another: a tenth, and one.
pub const DISTRIBUTE_SLACK: usize = 10;
/// Time within which the leader does not send a worker away again, ms.
pub const REDIRECT_AGAIN_MS: u64 = 60_000;
/// A worker that comes back within this time after it was sent to the leader, ms, could not
/// reach it: its own timeout of 4 s and pauses of 1 s fit in it.
pub const CAME_BACK_MS: u64 = 12_000;
/// Time for which such a worker is then served through this node, ms, before it is sent to the
/// leader again.
pub const FORWARD_MS: u64 = 30_000;
/// Workers whose redirections are remembered (memory).
pub const FORWARDING_HISTORY_MAX: usize = 4_000;
/// Calls to the cloud in flight at once (sockets).
pub const CLOUD_IN_FLIGHT_MAX: usize = 8;
/// Conflicts after which a cancellation is given back to its user.
pub const CANCEL_CONFLICTS_MAX: u32 = 5;

/// Time between two readings of what is held of limits, where that is switched on, ms: settings change seldom,
/// and a reading is one request.
pub const QUOTA_READ_MS: u64 = 5_000;
/// Time after which they are read again when that failed, ms.
pub const QUOTA_RETRY_MS: u64 = 500;
/// Time after which the records that outlive controllers are read again when a read or a watch failed, ms.
pub const RECORDS_RETRY_MS: u64 = 3_000;
/// Time between two looks at arrivals, ms: deadlines are minutes and hours away, and each looks at all jobs.
pub const DISPATCH_MS: u64 = 2_000;
/// Time that an operator waits for a record to be committed, ms: records have a tenth of the changes a second.
pub const RECORD_WRITE_TIMEOUT_MS: u64 = 8_000;
/// Time between two lines of status in the leader's log, ms.
pub const STATUS_MS: u64 = 10_000;

// ---- jobs --------------------------------------------------------------------------------------

/// Bytes of a binding in JSON form beside its numbers and its machine's name: brackets, quotes, commas.
pub const BINDING_BYTES: usize = 8;
/// Bytes of a chunk beside its ranges and bindings, at most: two numbers of 20 digits, and names.
pub const CHUNK_BYTES: usize = 96;
/// Bytes of a range of tasks done, at most: two numbers of 6 digits, brackets, commas.
pub const RANGE_BYTES: usize = 16;
/// Bytes of a sheet beside its bindings, and of a job on it beside its name.
pub const SEGMENT_HEADER_BYTES: usize = 64;
/// See `SHEET_HEAD_BYTES`.
pub const SEGMENT_JOB_BYTES: usize = 6;
/// Most tasks in one chunk of bindings, whatever the value size allows.
pub const CHUNK_TASKS_MAX: u32 = 256;
/// Launch numbers of one term start at its token shifted left by this many bits. A term thus
/// has 2^24 launches, and no two terms share one.
pub const ATTEMPT_COUNTER_BITS: u32 = 24;
/// Time to its deadline told of a job without one, s.
pub const NO_DEADLINE_S: f64 = 1e9;
/// Happenings held between two events at most (memory).
pub const CLUSTER_EVENTS_MAX: usize = 1_000;
/// Time after which the plug-ins are read again when a read or a watch of them failed, ms.
pub const PLUGINS_RETRY_MS: u64 = 3_000;
/// Jobs whose counts a heartbeat tells (size of the message).
pub const TASK_COUNTS_MAX: usize = 1_000;
/// Pause before a failed task is tried again, ms, doubled with each failure.
pub const RETRY_MS: u64 = 1_000;
/// Longest such pause, ms.
pub const RETRY_MAX_MS: u64 = 30_000;
/// Time before a job's chunk is written, ms: bindings are in the ledger by then, and what was done
/// is known to its worker until it is committed, so that one change holds many of both.
pub const COMPACTION_MS: u64 = 2_500;
/// Chunks that wait for the store's budget at once: what waits here holds what was known when it
/// came, what waits in the tables goes on gathering.
pub const COMPACTIONS_QUEUED: usize = 2;
/// Least time between two writes of the ledger, ms: a few a second leave most of 20 to 30 changes
/// a second to chunks and ends.
pub const BINDING_LOG_MS: u64 = 200;
/// A write of so many sheets is followed by a rest of this many times as long as they take of the changes
/// a second that the leader may make.
pub const BINDING_LOG_PART: f64 = 2.0;
/// The same while users and ends wait for changes of theirs.
pub const BINDING_LOG_PART_BUSY: f64 = 4.0;
/// Chunks of a job written with one transaction: more would take a second's changes at once.
pub const COMPACTIONS_AT_ONCE: usize = 4;
/// Ends of jobs on their way to the store at once: those that come later are told by priority, not
/// in the order in which they came.
pub const ENDS_QUEUED: usize = 8;
/// Largest sheet of the ledger, bytes, where values may be larger (processor: it is written whole).
pub const SEGMENT_BYTES: usize = 8 * 1024;
/// Bindings on all sheets at most (memory); more wait until chunks have taken some over.
pub const BINDING_LOG_MAX: usize = 4_000;
/// Bindings that stay on the sheets until their tasks end; the oldest beyond are taken over by chunks: some
/// seven sheets, which a new leader reads at once.
pub const BINDING_LOG_KEPT: usize = 1_200;
/// Bindings on the sheets beyond which work of the lowest priority binds no more: what has ended and waits for
/// its commit is among them, and a guest's array of short tasks ends faster than that can be committed.
pub const BINDING_LOG_LOW: usize = 3_000;
/// Bindings of a chunk from which on it takes them over.
pub const COMPACTION_MIN: usize = 12;
/// Exits of a job that wait for their commit from which on its chunks are written with users' work and not
/// after it.
pub const COMPACTION_PRESSING: usize = 32;
/// Jobs whose records are moved to their last place with one transaction: a few changes, since each takes
/// from what a burst of users may need next.
pub const ARCHIVE_BATCH: usize = 2;
/// Jobs that are over from which on their records no longer wait for idle moments: a new leader reads them.
pub const ARCHIVE_BACKLOG: usize = 1_000;
/// Least time between two reads of what has changed, for polls, ms: a node then asks at most five a second,
/// and a poll, for which its user gives 2 s, waits a tenth of that on average.
pub const JOB_CACHE_MS: u64 = 200;
/// The same while nobody waits, ms: little has then changed when somebody does.
pub const JOB_CACHE_IDLE_MS: u64 = 4_000;
/// Time without such a read after which the jobs are listed anew, ms: the service retains 10,000 changes, and
/// tells all of them at once.
pub const JOB_CACHE_STALE_MS: u64 = 30_000;
/// Time after which the jobs are listed again where there were more than are kept for polls, ms: each try costs as
/// many requests as it takes to find that out.
pub const JOB_CACHE_FULL_MS: u64 = 30_000;
/// Polls that wait among which one is looked for that gives way to another that waits longer (processor).
pub const DISPLACED_OF: usize = 100;
/// Sheets read by a new leader at most.
pub const SEGMENTS_MAX: usize = 1_000;
/// Seconds the user is asked to wait before trying again.
pub const RETRY_AFTER_S: u32 = 1;

// ---- machines ----------------------------------------------------------------------------------

/// Share of `lease_s` after which a silent machine is given nothing new.
pub const QUIET_SHARE: f64 = 0.35;
/// Part of the sockets that may be used at once to ask machines whether they live: a tenth.
pub const PROBES_PART: usize = 10;
/// Time between two looks at which machines are silent, ms (processor).
pub const LIVENESS_CHECK_MS: u64 = 500;
/// Time before `cancel_s` ends at which a withdrawn task that is not proved gone costs its
/// machine, ms: list, rate limits and two tries of the return fit in it.
pub const CANCEL_MARGIN_MS: u64 = 14_000;
/// Time after which a return that a cancellation needs is asked for again, ms, whatever came of the last try: the cloud
/// gives it a fraction of a second, and a name may be returned any number of times.
pub const RETURN_AGAIN_MS: u64 = 2_000;
/// Time for which the machines that a gang has left are kept for it, ms: its last task is proved gone and
/// a pass is over within some reports, and a machine that does nothing costs.
pub const KEEP_FOR_GANG_MS: u64 = 15_000;
/// Time between two stop commands for the same task, ms.
pub const STOP_AGAIN_MS: u64 = 1_500;
/// Grace beyond `stow_s` given to a stop, s.
pub const STOP_GRACE_EXTRA_S: f64 = 2.0;
/// Longest usual boot, in times of `boot_s` (protocol).
pub const BOOT_USUAL_MOST: f64 = 1.5;
/// Time beyond that, and after a change of leader, for which a machine never heard is planned with,
/// ms: a worker finds a new leader within some seconds.
pub const REGISTRATION_MS: u64 = 10_000;
/// A boot later than this many times `boot_s` is given up.
pub const BOOT_LATE_FACTOR: f64 = 2.5;
/// and by at least this much, ms.
pub const BOOT_LATE_MS: u64 = 20_000;
/// Time a machine without tasks is kept, ms: a machine returned costs 60 s at least.
pub const IDLE_MACHINE_MS: u64 = 25_000;
/// Time between looks for idle machines, ms (processor).
pub const IDLE_CHECK_MS: u64 = 1_000;
/// Time between two moves of replicas, ms: one replica restarts within it.
pub const MOVES_MS: u64 = 1_500;
/// Machines emptied by moves at once.
pub const DRAINS_MAX: usize = 2;
/// A machine is emptied if it costs this many times what its replicas would on a full machine of
/// the cheapest type: a move costs a replica a few seconds, a machine half empty costs for minutes.
pub const MOVE_RATIO: f64 = 1.9;
/// Replicas that a service needs for one of them to be moved: the others go on serving.
pub const MOVE_REPLICAS: u32 = 2;
/// Machines for which a step looks for room elsewhere (processor).
pub const MOVE_TRIES: usize = 8;
/// Time that a replica runs before it may be moved, ms: a start counts once it has run for 30 s.
pub const MOVE_AGE_MS: u64 = 45_000;
/// Longest fetch for which a replica is moved, ms.
pub const MOVE_FETCH_MS: f64 = 2_500.0;
/// Errors of different jobs on one machine, without a success between, that make it suspect.
pub const SUSPECT_JOBS: usize = 2;
/// The same where none of those jobs has ever succeeded: they may be mistaken themselves.
pub const SUSPECT_NEW_JOBS: usize = 3;
/// Machines on which a job must fail, and never succeed, to be held to be mistaken.
pub const JOB_AT_FAULT_MACHINES: usize = 3;
/// Pause before such a job is tried again, ms, doubled with each try that fails.
pub const JOB_AT_FAULT_RETRY_MS: u64 = 5_000;
/// Longest such pause, ms.
pub const JOB_AT_FAULT_RETRY_MAX_MS: u64 = 60_000;
/// Tasks of it that are tried at once.
pub const JOB_AT_FAULT_TASKS: usize = 2;
/// Pause of a (type, zone, kind) after "no capacity", ms, doubled each time.
pub const NO_CAPACITY_MS: u64 = 8_000;
/// Longest such pause, ms.
pub const NO_CAPACITY_MAX_MS: u64 = 40_000;
/// Part of the machines of a type that one zone may hold before another is preferred. Spread evenly over three,
/// gangs that need two machines in one zone found one here and one there.
pub const ZONE_PART: f64 = 0.5;
/// What a zone adds to the cost of a machine, for the part that it holds beyond that: zones cost the same, and
/// a dearer type is not taken for it.
pub const ZONE_COST: f64 = 0.02;
/// The same where most machines are silent: what is rented there may not be reached, but nothing else may do.
pub const SILENT_ZONE_COST: f64 = 10.0;
/// Machines that a zone has for its silence to say something.
pub const SILENT_ZONE_LEAST: u32 = 5;
/// Time over which waiting for a machine's boot and fetch doubles its cost per task, ms.
pub const RENT_WAIT_MS: f64 = 120_000.0;
/// While few more machines can be led, a machine itself weighs as much as this share of the price of a
/// task that fills it: one that holds four tasks then wins unless it costs a fifth more for each.
pub const SCARCE_COST: f64 = 0.3;
/// A machine that should be up by now is planned to be so after this, ms.
pub const SOON_MS: f64 = 2_000.0;
/// Boot time taken for a machine of an unknown type, ms.
pub const BOOT_UNKNOWN_MS: f64 = 60_000.0;
/// Slack for sums of decimal amounts, in their own unit.
pub const SLACK: f64 = 1e-6;
/// Names of returned machines remembered, so that an old list, or a late copy of a report, does not bring them
/// back (memory: 24 bytes each).
pub const RETURNED_REMEMBERED: usize = 16_000;
/// Rentals of one type, zone and kind that wait for an answer at once.
pub const OPEN_REQUESTS_MAX: usize = 3;
/// Machines remembered as bad for a job.
pub const BAD_MACHINES_MAX: usize = 16;

// ---- pipelines ---------------------------------------------------------------------------------

/// The form of records that this version reads and writes: 1 knows jobs that await others.
pub const FORMAT_VERSION: u32 = 1;
/// Time between two looks at what pipelines need of their jobs, ms (processor).
pub const DEPENDENCY_DEADLINES_MS: u64 = 1_000;
/// Time from the end of a job's last task to the start of those of the next, ms: a report, two commits, a pass, a report.
pub const HAND_OVER_MS: f64 = 2_500.0;
/// Jobs that others await whose end a leader asks the state service for at once: a new one may have to ask for all
/// those of some dozen pipelines.
pub const UNKNOWN_DEPENDENCIES_MAX: usize = 40;
/// Time after which it asks again about one of which it was told nothing, ms: what is not readable now may be soon.
pub const UNKNOWN_DEPENDENCY_RETRY_MS: u64 = 2_000;
/// Time before a job may begin from which on machines are rented for it, ms: the usual boot of a machine.
pub const UPCOMING_TASKS_MS: f64 = 30_000.0;
/// Questions under way about what comes before a job, at most (memory).
pub const DEPENDENCY_LOOKUPS_MAX: usize = 2_000;

// ---- pruning (PAM) -----------------------------------------------------------------------------

/// Pruning threshold: a chance at or below it defers (design; thesis 4.4.2).
pub const PRUNING_THRESHOLD: f64 = 0.75;
/// Largest share of the CPUs on spot machines, unless a policy says less: spot is cheaper, and
/// placement weighs its losses by chance.
pub const SPOT_SHARE: f64 = 1.0;
/// Misses since the last round that engage dropping (design; thesis 4.4.3).
pub const PRUNING_TOGGLE_MISSES: u32 = 1;
/// Longest line of a slot, the executing task included (design; thesis 4.4.1).
pub const RUN_QUEUE_MAX: usize = 6;
/// Steps of a plug-in's preference that placement tells apart, for one.
pub const SCORE_STEPS: f64 = 100.0;
/// Time between rounds, ms (design).
pub const ROUND_MS: u64 = 2_000;
/// Least time between two event-driven passes, ms (processor).
pub const CYCLE_MS: u64 = 150;
/// Bins of a probability mass function: coarse, since a controller has 8% of a core.
pub const BINS: usize = 24;
/// A run time before anything is known lies evenly between this many times the estimate ...
pub const PRIOR_LOW: f64 = 0.5;
/// ... and this many times (design).
pub const PRIOR_HIGH: f64 = 3.0;
/// Weight of that prior, counted in finishes.
pub const PRIOR_WEIGHT: f64 = 2.0;
/// Finishes of a class from which on its jobs' run times are guessed from what others of the class
/// took, in times of their estimates, and no longer from the bounds above.
pub const RATIOS_LEAST: u64 = 30;
/// Finishes of one job that teach its class at most: its tasks share its estimate's error.
pub const RATIOS_PER_JOB: u32 = 10;
/// Weight of the bounds above among what a class has taught, counted in finishes.
pub const RATIO_PRIOR_WEIGHT: f64 = 6.0;
/// Steps of a ratio that a histogram tells apart, for one.
pub const RATIO_UNITS: f64 = 100.0;
/// Largest ratio told apart, in those steps.
pub const RATIO_MOST: u64 = 100_000;
/// Classes of jobs that are learnt (memory).
pub const CLASSES_MOST: usize = 200;
/// Longest run time a histogram tells apart, in its unit of 100 ms: about 28 hours.
pub const RUN_MOST: u64 = 1_000_000;
/// Unit of run-time histograms, ms.
pub const RUN_UNIT_MS: u64 = 100;
/// Service tasks of each class for which room is kept free, so that a new one need not wait for
/// a boot.
pub const RESERVE_TASKS: u32 = 4;
/// Tasks of a service's size for which each image that services use keeps room on a machine that
/// has it: a fetch would make a new one late.
pub const RESERVE_PER_IMAGE: u32 = 2;
/// Images of services for which that is done, the most used first.
pub const RESERVE_IMAGES: usize = 8;
/// Time for which what a team's limit leaves is held for a job that finds no place for it and for which nothing is to
/// be rented, ms: its place may come free meanwhile; others of the team may not wait beside room for 90 s.
pub const IDLE_GRANT_MS: u64 = 30_000;
/// Age from which on a job of which too little has a place comes first within its level, whether it passes or
/// not, ms: the largest too are to begin within four minutes, half of that is the aim, and boot and fetch
/// take a good part of a minute.
pub const START_PROMISE_MS: u64 = 100_000;
/// The same for a gang, ms: what is kept for one stands idle meanwhile, and smaller ones run on less; a minute and a
/// half is left for it to begin within four.
pub const GANG_START_PROMISE_MS: u64 = 150_000;
/// Part of an array that has a place when that ends: one task in so many.
pub const START_PROMISE_PART: u32 = 8;
/// Time that a gang has run before it may be stopped for others, ms: a start counts once it has run for 30 s.
pub const LEND_AGE_MS: u64 = 45_000;
/// Time that room won for a gang is kept for it, ms: a save, some reports, and the slowest machine of several.
pub const LEND_WAIT_MS: u64 = 30_000;
/// Time that a replica waits before gangs are stopped for it, ms, ...
pub const LEND_URGENT_MS: f64 = 20_000.0;
/// ... or this part of the time within which its class is to begin, if that is longer: a gang gives up several
/// machines for one room, what it takes to get it is some 30 s, and most replicas find room meanwhile.
pub const LEND_URGENT_PART: f64 = 0.4;
/// What a fetch weighs where machines for a gang are compared, as work lost, ms.
pub const FETCH_WEIGHT: f64 = 10_000.0;
/// What it weighs to take an array of its rank rather than idle-hours work, and a gang rather than that, ms.
pub const GRADE_WEIGHT: f64 = 30_000.0;
/// Gangs that have waited long and come first at once.
pub const PROMISED_GANGS: usize = 1;
/// Gangs and others for which a round gathers room at most (processor), ...
pub const GANGS_RESERVED_MAX: usize = 4;
/// ... and machines that it looks at for one.
pub const GANG_EVALUATIONS_MAX: usize = 400;
/// Time within which a machine must come free to be gathered, ms: what is kept longer stands idle for longer than a
/// gang gains by it.
pub const GATHER_SOON_MS: f64 = 45_000.0;
/// Time that a machine already gathered counts as sooner, ms: it is not left for one that would be free a
/// moment before.
pub const GATHERED_MS: f64 = 15_000.0;
/// Time that a service must gain by it before tasks of lower priority are stopped for it, ms.
pub const PREEMPT_GAIN_MS: f64 = 8_000.0;
/// Time that binding and starting a task takes beside its image's fetch, ms: a pass, a commit.
pub const START_MS: f64 = 1_000.0;
/// Reports after which a stopped task's room is taken to be free for the next.
pub const PREEMPT_REPORTS: f64 = 2.0;
/// Part of the time within which work of a guarantee is to start that it waits for machines that boot,
/// before what others run beyond theirs is stopped for it: what is stopped loses its work and needs room too.
pub const RECLAIM_AFTER: f64 = 0.5;
/// Time that work finds no room before what runs at the lowest priority is stopped for it, ms: two rounds, in
/// which a task of some seconds ends by itself.
pub const YIELD_AFTER_MS: f64 = 4_000.0;
/// What such a task has left to run for it to be stopped, ms: what ends sooner is waited for, and nothing
/// else of the lowest priority takes its room meanwhile.
pub const YIELD_LEFT_MS: f64 = 10_000.0;
/// Time for which that room is kept from it, ms: until the round after next.
pub const YIELD_HOLD_MS: u64 = 5_000;
/// That time where no aim names it, s.
pub const GUARANTEE_S: f64 = 60.0;
/// Tasks for which a round makes room at most by stopping what other teams run beyond their guarantee: a
/// wave of stops would be followed by a wave of rentals for what was stopped.
pub const RECLAIM_MOST: u32 = 50;
/// Time a service waits for room made for it, ms, before it takes any other.
pub const PREEMPT_WAIT_MS: u64 = 9_000;
/// Jobs of one level placed in one pass at most (processor).
pub const CYCLE_JOBS: usize = 200;
/// Lines that a round offers at most, the soonest first (processor): at a few thousand slots each
/// chooser finds what it wants among them.
pub const RUN_QUEUES_MAX: usize = 2_000;
/// Jobs of one level that a pass places at least, however little memory there is.
pub const CYCLE_JOBS_MIN: usize = 20;
/// Memory of a place that a chooser looks at, bytes: its rank, and the scores of its end with and without
/// the image.
pub const PLACE_BYTES: usize = 32;
/// Share of the processor above which a measurement of it is not believed: no process gets more than its
/// share for long.
pub const SHARE_BELIEVED: f64 = 1.5;
/// What events cost, us of a whole core, fitted to what simulated machines were charged: a worker's
/// report or a user's request over HTTP and its answer; ...
pub const REPORT_US: f64 = 32.0;
/// ... each task in a report; ...
pub const TASK_STATUS_US: f64 = 0.6;
/// ... a call to or from another service or controller; ...
pub const CALL_US: f64 = 45.0;
/// ... a report passed on; ...
pub const FORWARDED_REPORT_US: f64 = 4.0;
/// ... a machine told to be well; ...
pub const UNCHANGED_MACHINE_US: f64 = 2.5;
/// ... a timer step, ...
pub const TICK_US: f64 = 40.0;
/// ... and in it each machine.
pub const TICK_MACHINE_US: f64 = 0.15;
/// Time that the looks of a pass may take, ms, on the share of a core that the platform gives: with its other
/// work a quarter of the grant.
pub const CYCLE_EVALUATION_MS: f64 = 600.0;
/// Lines that a round offers at least, however many jobs look at them.
pub const RUN_QUEUES_MIN: usize = 50;
/// Tasks that join lines in one pass at most (processor): the next goes on.
pub const CYCLE_QUEUED_MAX: usize = 600;
/// Time of a whole core that a place looked at by a chooser takes, us, measured.
pub const EVALUATION_US: f64 = 0.25;
/// Time of a whole core that a score takes, us, measured.
pub const SCORE_US: f64 = 5.0;
/// A pass that takes longer than this by these figures, on the share of a core that the platform
/// gives, ms, is followed by a rest: reports and the term must have their turn.
pub const LONG_CYCLE_MS: f64 = 150.0;
/// The next one begins only after this many times as long as it took.
pub const CYCLE_REST_FACTOR: f64 = 2.0;
/// Tasks bound in one pass at most; the next goes on (processor).
pub const CYCLE_BINDINGS_MAX: usize = 300;
/// Heads that began within one such step end alike in a round's arithmetic, ms: the round's own
/// period, so that slots share their mass functions.
pub const END_STEP_MS: f64 = 2_000.0;
