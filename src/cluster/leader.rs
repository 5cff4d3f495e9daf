//! The leader's tables and what changes them: jobs, machines, reports, commands.

use super::Ctx;
use super::ledger::Ledger;
use crate::chance::Histories;
use crate::constants::*;
use crate::fleet::Fleet;
use crate::job::*;
use crate::machine::{Machine, Room, Standing};
use crate::placement::Lines;
use crate::wire::cloud::Listing;
use crate::wire::state::{Item, Page};
use crate::wire::workers::{Cause, Command, Direct, Orders, Phase, Report, Shard, Verb};
use std::collections::{BTreeMap, HashMap};

/// Where a report came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A report proper: its response may carry starts, and it proves what it lacks.
    Report,
    /// The answer to a direct command.
    Answer,
}

/// Everything the leader holds under one term.
pub struct Leader {
    /// Its token.
    pub token: u64,
    /// Era of the term, to know stale answers.
    pub era: u64,
    /// When it began to lead.
    pub since: Time,
    /// Jobs that are not over.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines known.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Run times per job.
    pub history: Histories,
    /// Lines of waiting work.
    pub lines: Lines,
    /// Rentals and returns.
    pub fleet: Fleet,
    /// Misses since the last round.
    pub misses: u32,
    /// When the last pass and the last round were.
    pub passed_at: Time,
    /// See `passed_at`.
    pub round_at: Time,
    /// Services for which room is being made: since when, and the fetch they will need there, ms.
    pub preempting: HashMap<JobId, (Time, f64)>,
    /// Scores computed so far: what passes cost, whatever the machine's speed.
    pub scored: u64,
    /// When the status was last told.
    status_at: Time,
    /// Something changed that a pass may use.
    pub stir: bool,
    launches: u64,
    /// Number of the latest write of bindings.
    pub nonce: u64,
    /// Where new bindings are committed.
    pub ledger: Ledger,
    /// Revision up to which changes of jobs are known.
    pub follow_from: u64,
}

/// The job and task in a wire name.
pub fn split_task(name: &str) -> Option<(JobId, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((JobId::from(job), task.parse().ok()?))
}

fn join_task(job: &JobId, task: u32) -> String {
    format!("{job}/{task}")
}

fn stage_of(shard: &Shard) -> Stage {
    match shard.status {
        Phase::Fetching => Stage::Fetching,
        Phase::Waiting => Stage::Waiting,
        Phase::Running | Phase::Unknown => Stage::Running,
        Phase::Saving => Stage::Saving,
        Phase::Exited => Stage::Exited(shard.cause.unwrap_or(Cause::Other)),
    }
}

impl Leader {
    /// An empty table under a token.
    pub fn new(token: u64, era: u64, now: Time) -> Leader {
        Leader {
            token,
            era,
            since: now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            history: Histories::default(),
            lines: Lines::default(),
            fleet: Fleet::default(),
            misses: 0,
            passed_at: 0,
            round_at: now,
            preempting: HashMap::new(),
            scored: 0,
            status_at: now,
            stir: true,
            launches: 0,
            nonce: 0,
            ledger: Ledger::default(),
            follow_from: 0,
        }
    }

    /// A launch number that no term has used or will use.
    pub fn next_launch(&mut self) -> u64 {
        self.launches += 1;
        self.last_launch()
    }

    /// The latest launch number given out, and the least that none of an earlier term reaches.
    pub fn last_launch(&self) -> u64 {
        (self.token << LAUNCH_BITS) + self.launches
    }

    // ---- loading -------------------------------------------------------------------------------

    /// Takes over a page of jobs.
    pub fn load_jobs(&mut self, page: &Page, now: Time, wall: u64) {
        if self.follow_from == 0 {
            self.follow_from = page.epoch;
        }
        for pair in &page.pairs {
            self.upsert(&pair.key, &pair.value, pair.stamp, now, wall);
        }
    }

    /// After loading: machines that bindings name are expected.
    pub fn index(&mut self, now: Time) {
        for (id, job) in &self.jobs {
            for (task, attempt) in &job.attempts {
                let machine = self
                    .machines
                    .entry(attempt.machine.clone())
                    .or_insert_with(|| Machine::new(attempt.machine.clone(), now));
                machine.hold(id, *task, attempt.launch);
            }
        }
    }

    /// Takes over a job's record.
    pub fn upsert(
        &mut self,
        key: &str,
        value: &serde_json::Value,
        stamp: u64,
        now: Time,
        wall: u64,
    ) {
        let Some(id) = key.strip_prefix(keys::JOBS) else { return };
        let Ok(record) = serde_json::from_value::<JobRecord>(value.clone()) else {
            tracing::error!(key, "a job's record cannot be read");
            return;
        };
        let id = JobId::from(id);
        let job = self.jobs.entry(id.clone()).or_insert_with(|| {
            tracing::debug!(job = %id, tasks = record.spec.tasks, "job known");
            Job::new(id.clone(), &record, stamp, now, wall)
        });
        if stamp >= job.stamp {
            job.stamp = stamp;
            if record.cancelled && !job.cancelled() {
                let passed = wall.saturating_sub(record.cancelled_wall);
                job.advance(JobState::Cancelling, now.saturating_sub(passed));
            }
            self.stir = true;
        }
    }

    /// A change of a job seen by the watch.
    pub fn on_news(&mut self, item: &Item, now: Time, wall: u64) {
        if let Some(key) = &item.write {
            self.upsert(key, &item.value, item.stamp, now, wall);
        }
    }

    // ---- reports -------------------------------------------------------------------------------

    /// Takes a worker's message and says what it is to do. Older messages change nothing.
    pub fn on_report(&mut self, report: &Report, source: Source, ctx: &mut Ctx) -> Orders {
        let now = ctx.now;
        let id = MachineId::from(report.berth.as_str());
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            tracing::debug!(machine = %id, "machine unknown so far reports");
            Machine::new(id.clone(), now)
        });
        let mut orders = Orders { helm: self.token, orders: Vec::new() };
        let at = (report.watch, report.tick);
        if at <= machine.latest {
            return orders;
        }
        let first = machine.heard.is_none();
        machine.latest = at;
        machine.heard = Some(now);
        machine.greet(report, now);
        if source == Source::Report {
            machine.reported = at;
        }
        if report.helm == self.token {
            if matches!(machine.standing(), Standing::Expected | Standing::Greeted) {
                machine.advance(Standing::Ready);
                machine.idle_since = now;
                self.stir = true;
                tracing::debug!(machine = %id, kind = %report.hull, zone = %report.dock, "machine ready");
            }
        } else if machine.standing() == Standing::Expected {
            machine.advance(Standing::Greeted);
        }
        if first {
            self.fleet.arrived(&id);
        }
        let mut listed: HashMap<(JobId, u32, u64), &Shard> = HashMap::new();
        for shard in &report.shards {
            if let Some((job, task)) = split_task(&shard.shard) {
                listed.insert((job, task, shard.launch), shard);
            }
        }
        self.reconcile(&id, report, source, &listed, ctx);
        self.take_strays(&id, report, &listed, ctx);
        self.give_orders(&id, report, source, &listed, &mut orders.orders);
        orders
    }

    /// Compares what a machine holds with the attempts bound to it.
    fn reconcile(
        &mut self,
        id: &MachineId,
        report: &Report,
        source: Source,
        listed: &HashMap<(JobId, u32, u64), &Shard>,
        ctx: &mut Ctx,
    ) {
        let Some(machine) = self.machines.get(id) else { return };
        let bound: Vec<((JobId, u32), u64)> =
            machine.tasks.iter().map(|(k, v)| (k.clone(), *v)).collect();
        let at = (report.watch, report.tick);
        for ((job_id, task), launch) in bound {
            let shown = listed.get(&(job_id.clone(), task, launch));
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            let Some(attempt) = job.attempts.get_mut(&task).filter(|a| a.launch == launch) else {
                continue;
            };
            if let Some(shard) = shown {
                attempt.seen = true;
                let stage = stage_of(shard);
                let image = (job.spec.image.clone(), job.spec.image_gb);
                if attempt.advance(stage, ctx.now) {
                    if matches!(stage, Stage::Exited(_))
                        && let Some(m) = self.machines.get_mut(id)
                    {
                        m.recount();
                    }
                    if stage == Stage::Running {
                        let waited_ms = ctx.now.saturating_sub(job.known_at);
                        let bound_ms = ctx.now.saturating_sub(attempt.since);
                        tracing::debug!(job = %job_id, task, machine = %id, class = %job.spec.class, waited_ms, bound_ms, "task runs");
                    }
                    if matches!(stage, Stage::Running | Stage::Waiting)
                        && let Some(m) = self.machines.get_mut(id)
                    {
                        let cache = ctx.type_of(&m.kind).map_or(0.0, |t| t.cache_gb);
                        m.note_image(&image.0, image.1, cache);
                    }
                    if let Stage::Exited(cause) = stage {
                        self.on_exit(&job_id, task, cause, ctx);
                    }
                }
                continue;
            }
            if matches!(attempt.stage(), Stage::Exited(_)) {
                continue;
            }
            // Proof that it is gone, and nothing else, lets the task move.
            let committed = attempt.stage() != Stage::Committing;
            let gone = if report.watch > attempt.watch {
                committed
            } else if attempt.seen {
                true
            } else if attempt.old_term {
                report.helm == self.token
            } else if let Some(offered) = attempt.offered {
                // The response that carried the start may still be on its way when a direct
                // command is answered: only a later report shows that it was not taken.
                let untaken = source == Source::Report && at > offered;
                if untaken && !attempt.given_up {
                    attempt.offered = None;
                }
                untaken && attempt.given_up
            } else {
                attempt.given_up && committed
            };
            if gone {
                tracing::debug!(job = %job_id, task, launch, machine = %id, "attempt proved gone");
                self.release(&job_id, task, ctx.now);
                self.after_loss(&job_id, ctx.now);
            }
        }
    }

    /// What a machine shows that no table knows: an exit is forgotten, a task of a job that still
    /// wants it is taken over, anything else is stopped and counted until it is gone.
    fn take_strays(
        &mut self,
        id: &MachineId,
        report: &Report,
        listed: &HashMap<(JobId, u32, u64), &Shard>,
        ctx: &mut Ctx,
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if !machine.strays.is_empty() {
            machine.strays.retain(|key, _| listed.contains_key(key));
            machine.recount();
        }
        for ((job_id, task, launch), shard) in listed {
            let key = (job_id.clone(), *task);
            if machine.tasks.get(&key) == Some(launch) || shard.status == Phase::Exited {
                machine.strays.remove(&(job_id.clone(), *task, *launch));
                continue;
            }
            let job = self.jobs.get_mut(job_id);
            let room = job.as_ref().map(|j| Room::of(&j.spec));
            if let Some(job) = job
                && (job.waiting.remove(task) || job.held.remove(task).is_some())
            {
                tracing::warn!(job = %job_id, task, launch, machine = %id, "unrecorded task taken over");
                let bound = Bound {
                    task: *task,
                    launch: *launch,
                    machine: id.clone(),
                    watch: report.watch,
                };
                let mut attempt = Attempt::found(&bound, ctx.now);
                attempt.seen = true;
                attempt.given_up = true;
                attempt.advance(stage_of(shard), ctx.now);
                job.attempts.insert(*task, attempt);
                job.touch(*task, ctx.now);
                machine.hold(job_id, *task, *launch);
                continue;
            }
            machine.strays.insert((job_id.clone(), *task, *launch), room);
            machine.recount();
        }
    }

    /// The commands of a response: stops, then reaps, then starts.
    fn give_orders(
        &mut self,
        id: &MachineId,
        report: &Report,
        source: Source,
        listed: &HashMap<(JobId, u32, u64), &Shard>,
        out: &mut Vec<Command>,
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        for (job, task, launch) in machine.strays.keys() {
            out.push(command(Verb::Stop, job, *task, *launch, Some(0.0)));
        }
        for ((job, task, launch), shard) in listed {
            let known = machine.tasks.get(&(job.clone(), *task)) == Some(launch);
            if shard.status == Phase::Exited && !known {
                out.push(command(Verb::Forget, job, *task, *launch, None));
            }
        }
        // What was told straight to the worker may have been lost: a cut can lie between.
        for ((job_id, task), launch) in &machine.tasks {
            let Some(job) = self.jobs.get(job_id) else { continue };
            let Some(a) = job.attempts.get(task).filter(|a| a.launch == *launch) else { continue };
            if a.stop.is_some() && a.occupies() && a.stage() != Stage::Saving {
                out.push(command(Verb::Stop, job_id, *task, *launch, Some(ease_of(job))));
            }
        }
        let ready = machine.standing() == Standing::Ready && report.helm == self.token;
        if source != Source::Report || !ready {
            return;
        }
        for ((job_id, task), launch) in &machine.tasks {
            let Some(job) = self.jobs.get_mut(job_id) else { continue };
            if job.cancelled() || job.regroup || !whole(job) {
                continue;
            }
            let Some(attempt) = job.attempts.get_mut(task).filter(|a| a.launch == *launch) else {
                continue;
            };
            // A start found in the store under an older term is not offered again: its launch
            // may have been taken and forgotten. The next report proves it gone.
            if attempt.stage() == Stage::Bound
                && !attempt.given_up
                && !attempt.seen
                && !attempt.old_term
                && attempt.watch == report.watch
            {
                attempt.offered = Some((report.watch, report.tick));
                out.push(command(Verb::Start, job_id, *task, *launch, None));
            }
        }
    }

    /// An attempt has exited.
    fn on_exit(&mut self, id: &JobId, task: u32, cause: Cause, ctx: &mut Ctx) {
        let now = ctx.now;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(attempt) = job.attempts.get(&task) else { return };
        let machine_id = attempt.machine.clone();
        // Of an attempt that an earlier leader started only the later part was seen: its run time is
        // not known, and a guess from it would make every such job look short.
        let seen_whole = !attempt.old_term;
        let ran = attempt.ran_at.filter(|_| seen_whole).map(|at| now.saturating_sub(at));
        self.stir = true;
        if cause == Cause::Done {
            job.touch(task, now);
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                machine.errors.clear();
                if let Some(ran) = ran {
                    let spec = &job.spec;
                    self.history.finished(id, &spec.class, spec.estimate_s, &machine.kind, ran);
                }
            }
            self.end_if_over(id, ctx);
            return;
        }
        tracing::debug!(job = %id, task, machine = %machine_id, ?cause, "attempt exited");
        let failed = matches!(
            cause,
            Cause::Error | Cause::NoSuch | Cause::Other | Cause::NoRoom | Cause::InUse
        );
        if matches!(cause, Cause::Error | Cause::Other) {
            job.blame(&machine_id);
            let faulty_job = job.bad_machines.len() >= FAULTY_JOB_MACHINES;
            if let Some(machine) = self.machines.get_mut(&machine_id)
                && !faulty_job
            {
                machine.errors.insert(id.clone());
                if machine.errors.len() >= SUSPECT_JOBS && !machine.suspect {
                    machine.suspect = true;
                    tracing::warn!(machine = %machine_id, "machine suspected: tasks of several jobs fail on it");
                }
            }
        }
        self.release(id, task, now);
        if failed && let Some(job) = self.jobs.get_mut(id) {
            job.hold(task, now);
        }
        self.after_loss(id, now);
    }

    /// Rentals were refused: others are planned at once, not with the next round.
    pub fn plan_again(&mut self) {
        self.round_at = 0;
    }

    /// The task of an attempt proved gone waits again.
    pub fn release(&mut self, id: &JobId, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(attempt) = job.release(task, now)
            && let Some(machine) = self.machines.get_mut(&attempt.machine)
        {
            machine.let_go(id, task, now);
        }
        self.stir = true;
    }

    /// A gang that lost a task is stopped whole, and starts anew when none of it is left.
    fn after_loss(&mut self, id: &JobId, _now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.spec.kind == Kind::Gang {
            job.regroup = job.attempts.values().any(Attempt::occupies);
        }
    }

    /// A machine is gone, proved by a 200 to its return: all on it is gone.
    pub fn machine_gone(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else { return };
        let tasks: Vec<(JobId, u32)> = machine.tasks.keys().cloned().collect();
        for (job, task) in tasks {
            let done = self.jobs.get(&job).and_then(|j| j.attempts.get(&task));
            if done.is_some_and(|a| a.stage() == Stage::Exited(Cause::Done)) {
                continue;
            }
            self.release(&job, task, now);
            self.after_loss(&job, now);
        }
        self.lines.drop_machine(id, &mut self.jobs);
        self.machines.remove(id);
        self.stir = true;
        tracing::debug!(machine = %id, "machine gone");
    }

    // ---- commands ------------------------------------------------------------------------------

    /// Stops what must stop, straight to the workers. Called with every timer step.
    pub fn stops(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        let mut orders: BTreeMap<MachineId, Vec<Command>> = BTreeMap::new();
        let mut unstarted = Vec::new();
        for (id, job) in &mut self.jobs {
            // The last of a gang may also leave by being done, which releases nothing.
            if job.regroup && !job.attempts.values().any(Attempt::occupies) {
                job.regroup = false;
                self.stir = true;
            }
            if !job.cancelled() && !job.regroup {
                let draining = job.attempts.values().any(|a| a.stop.is_some());
                if !draining {
                    continue;
                }
            }
            let whole = job.cancelled() || job.regroup;
            let ease = ease_of(job);
            for (task, attempt) in &mut job.attempts {
                if !attempt.occupies() || !(whole || attempt.stop.is_some()) {
                    continue;
                }
                attempt.given_up = true;
                match attempt.stage() {
                    Stage::Committing => continue,
                    Stage::Bound if !attempt.old_term && attempt.offered.is_none() => {
                        unstarted.push((id.clone(), *task));
                        continue;
                    }
                    _ => {}
                }
                let (first, last) = attempt.stop.unwrap_or((now, 0));
                // A second stop without grace would end a task that saves.
                let saving = attempt.stage() == Stage::Saving && job.cancelled_at.is_none();
                if now < last + STOP_AGAIN_MS || (saving && last > 0) {
                    continue;
                }
                attempt.stop = Some((first, now));
                let order = command(Verb::Stop, id, *task, attempt.launch, Some(ease));
                orders.entry(attempt.machine.clone()).or_default().push(order);
            }
        }
        for (job, task) in unstarted {
            self.release(&job, task, now);
            self.after_loss(&job, now);
        }
        for (id, orders) in orders {
            let Some(machine) = self.machines.get(&id) else { continue };
            if machine.addr.is_empty() || machine.latest.0 == 0 {
                continue;
            }
            let message = Direct { helm: self.token, watch: machine.latest.0, orders };
            ctx.direct.push((machine.addr.clone(), message));
        }
    }

    /// Takes over a page of the machine list.
    pub fn on_listing(&mut self, page: &Listing, now: Time) {
        for listed in &page.berths {
            let id = MachineId::from(listed.name_id.as_str());
            if self.fleet.was_returned(&id) {
                continue;
            }
            let machine =
                self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id.clone(), now));
            machine.describe(listed, now);
            if listed.status == crate::wire::cloud::ListedState::Failed {
                self.fleet.want_return(machine, "it failed");
            }
        }
    }

    /// Tells the log now and then how much waits, runs and is free.
    pub fn status(&mut self, ctx: &Ctx) {
        if ctx.now < self.status_at + STATUS_MS {
            return;
        }
        self.status_at = ctx.now;
        let (mut waiting, mut lined, mut held, mut binding, mut bound) = (0, 0, 0, 0, 0);
        let (mut fetching, mut running, mut exited) = (0, 0, 0);
        for job in self.jobs.values() {
            waiting += job.waiting.len();
            lined += job.lined;
            held += job.held.len();
            for attempt in job.attempts.values() {
                match attempt.stage() {
                    Stage::Committing => binding += 1,
                    Stage::Bound => bound += 1,
                    Stage::Fetching | Stage::Waiting => fetching += 1,
                    Stage::Running | Stage::Saving => running += 1,
                    Stage::Exited(_) => exited += 1,
                }
            }
        }
        // By type: machines, and CPUs free on them.
        let mut kinds: BTreeMap<(&str, bool), (u32, f64)> = BTreeMap::new();
        for machine in self.machines.values() {
            let kind = kinds.entry((&machine.kind, machine.spot)).or_default();
            kind.0 += 1;
            kind.1 += machine.free().map_or(0.0, |r| r.cpus);
        }
        let kinds: Vec<String> = kinds
            .iter()
            .map(|((kind, spot), (n, free))| {
                format!("{n} {kind}{} {free:.0} free", if *spot { " spot" } else { "" })
            })
            .collect();
        let ready = self.machines.values().filter(|m| m.standing() == Standing::Ready);
        let free: f64 = ready.clone().filter_map(|m| m.free()).map(|r| r.cpus).sum();
        let ready = ready.count();
        let late = self.jobs.values().filter(|j| j.missed).count();
        let machines = self.machines.len();
        let queued = ctx.store.queued();
        tracing::info!(
            jobs = self.jobs.len(),
            late,
            waiting,
            lined,
            held,
            binding,
            bound,
            fetching,
            running,
            exited,
            ledger = self.ledger.len(),
            machines,
            ready,
            free_cpus = free,
            ?queued,
            cloud_queued = ctx.cloud.queued(),
            kinds = kinds.join(", "),
            "status"
        );
    }

    /// Counts for display, for the other controllers.
    pub fn counts(&self) -> Vec<(String, u32, u32)> {
        let counts = self.jobs.iter().map(|(id, j)| (id.to_string(), j.counts()));
        counts.filter(|(_, c)| c.0 + c.1 > 0).map(|(id, (d, r))| (id, d, r)).take(1000).collect()
    }
}

fn command(verb: Verb, job: &JobId, task: u32, launch: u64, ease_s: Option<f64>) -> Command {
    Command { verb, shard: join_task(job, task), launch, ease_s }
}

/// Whether a job's starts may be offered: of a gang, once all of it is bound. A gang larger than
/// one transaction is committed in parts, and a part alone would only wait in vain.
fn whole(job: &Job) -> bool {
    job.spec.kind != Kind::Gang
        || job.attempts.len() + job.done.len() == job.spec.tasks as usize
            && job.attempts.values().all(|a| a.stage() != Stage::Committing)
}

/// Grace of a stop: time to save, unless nobody wants what would be saved.
fn ease_of(job: &Job) -> f64 {
    if job.cancelled() || job.spec.checkpoint_s <= 0.0 {
        0.0
    } else {
        job.spec.save_s + EASE_EXTRA_S
    }
}
