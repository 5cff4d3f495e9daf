//! What the leader knows, and what changes it: jobs, machines, lines, rentals. Each kind of change
//! is one function. Tables know nobody above them: placement and fleet read them, and the node alone
//! applies what those plan.

mod happenings;
mod line;
mod lines;
mod pipelines;
mod rentals;
mod reports;
mod rooms;
mod sheets;

pub use happenings::{Happening, Happenings};
pub use line::{facts_of, rank_of};
pub use lines::{Line, Lines, Slot};
pub use rentals::{Market, Rentals, Wish};
pub use reports::Source;
pub use rooms::{Guard, Refusal, amounts_of, usable};
pub use sheets::{Ledger, Passage, Sheet, SheetRecord};

use crate::Time;
use crate::chance::Histories;
use crate::constants::*;
use crate::job::*;
use crate::machine::{Machine, Standing};
use crate::settings::{Platform, Workers};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use swiftsail_quota::Amounts;
use swiftsail_gpu_lending::Loans;
use swiftsail_failure_detector::{Detector, Seen, State};
use swiftsail_dag::{Fate, Graph};
use swiftsail_tiers::Table;
use swiftsail_protocol::cloud::{ListedState, Listing};
use swiftsail_protocol::state::{News, Page};
use swiftsail_protocol::workers::Cause;

/// Everything the leader holds under one term.
pub struct Tables {
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
    pub rentals: Rentals,
    /// Misses since the last round.
    pub misses: u32,
    /// Passes so far.
    pub passes: u64,
    /// When the last pass was.
    pub passed_at: Time,
    /// When the last round was.
    pub round_at: Time,
    /// Services for which room is being made: since when, and the fetch they will need there, ms.
    pub preempting: HashMap<JobId, (Time, f64)>,
    /// Machines whose room is kept from work of the lowest priority, and until when.
    pub yielding: HashMap<MachineId, Time>,
    /// Jobs that find no place for what their team's limit leaves them: since when, and when last.
    pub idle: HashMap<JobId, (Time, Time)>,
    /// Something changed that a pass may use.
    pub stir: bool,
    launches: u64,
    /// Number of the latest write of bindings.
    pub nonce: u64,
    /// Where new bindings are committed.
    pub ledger: Ledger,
    /// Keys of bindings whose job is over, to be removed.
    pub left_over: Vec<String>,
    /// Jobs that are over and whose records are still to move to their last place, with their stamps.
    pub over: VecDeque<(JobId, u64, FinalRecord)>,
    /// Some of them are being moved.
    pub moving: bool,
    /// Jobs whose end is on its way, as counted with the last timer step and begun since.
    pub ending: usize,
    /// The store is being read by a new leader.
    loading: bool,
    /// What may be used of each team's limit, where limits are held in the state service; none: what the
    /// settings say.
    pub caps: Option<Vec<Amounts>>,
    /// When work was last stopped for a lowered limit.
    pub shrunk_at: Time,
    /// What happened, for report hooks.
    pub happenings: Happenings,
    /// Machines that other controllers may answer for, and to which there is something to say now.
    look: BTreeSet<MachineId>,
    /// Jobs of which something has ended: they may be over.
    ended: BTreeSet<JobId>,
    /// Revision up to which changes of jobs are known.
    pub follow_from: u64,
    /// When the request was sent whose answer brought the tables there: a later success of another call proves
    /// nothing of the jobs.
    pub read_at: Time,
    /// When changes were last asked for beside the watch.
    pub asked_at: Time,
    /// Which machines live, by evidence; begun with the first look.
    pub members: Option<Detector<MachineId>>,
    /// When they were last looked at.
    pub looked_at: Time,
    /// Zones in which a controller is heard, the leader's own among them.
    pub reached: BTreeSet<String>,
    /// Jobs that await others.
    pub pipelines: Graph,
    /// When their deadlines were last worked out.
    pub needed_at: Time,
    /// Jobs that others await and that are not in the tables, whose end is being read, and until when none asks again.
    pub(crate) asked_after: BTreeMap<JobId, Time>,
    /// Accelerators lent.
    pub loans: Loans,
    /// The table of tiers in force.
    pub tiers: Rc<Table>,
    /// A worker's lease, ms; 0: hearing is not judged by leases.
    pub lease_ms: f64,
}

/// The job and task in a wire name.
pub fn split_task(name: &str) -> Option<(JobId, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((JobId::from(job), task.parse().ok()?))
}

impl Tables {
    /// An empty table under a token.
    pub fn new(token: u64, era: u64, now: Time) -> Tables {
        Tables {
            token,
            era,
            since: now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            history: Histories::default(),
            lines: Lines::default(),
            rentals: Rentals::default(),
            misses: 0,
            passes: 0,
            passed_at: 0,
            round_at: now,
            preempting: HashMap::new(),
            yielding: HashMap::new(),
            idle: HashMap::new(),
            stir: true,
            launches: 0,
            nonce: 0,
            ledger: Ledger::default(),
            left_over: Vec::new(),
            over: VecDeque::new(),
            moving: false,
            ending: 0,
            loading: true,
            caps: None,
            shrunk_at: 0,
            happenings: Happenings::default(),
            look: BTreeSet::new(),
            ended: BTreeSet::new(),
            follow_from: 0,
            read_at: 0,
            asked_at: 0,
            members: None,
            looked_at: 0,
            reached: BTreeSet::new(),
            pipelines: Graph::default(),
            needed_at: 0,
            asked_after: BTreeMap::new(),
            loans: Loans::default(),
            tiers: Rc::default(),
            lease_ms: 0.0,
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

    /// After loading: machines that bindings name are expected, and jobs that await others stand where those leave
    /// them, as far as the tables tell.
    pub fn index(&mut self, now: Time, wall: u64) {
        self.loading = false;
        self.settle_pipelines(now, wall);
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
        let id = JobId::from(id);
        let record = match StoredJob::read(value) {
            Some(StoredJob::Live(record)) => record,
            // Found by a new leader: its predecessor ended it. One's own is known already; if the watch, behind, has
            // brought it back with an earlier change, it goes again.
            Some(StoredJob::Over(record)) => {
                let back = |j: &Job| j.stamp < stamp && j.flight.is_none() && j.attempts.is_empty();
                if self.loading {
                    self.over.push_back((id, stamp, record));
                } else if self.jobs.get(&id).is_some_and(back) {
                    self.jobs.remove(&id);
                    self.lines.drop_job(&id);
                    self.after_end(&id, record.fate(wall), now, wall);
                    self.pipelines.forget(&id);
                }
                return;
            }
            None => {
                tracing::error!(key, "a job's record cannot be read");
                return;
            }
        };
        self.pipelines.add(&id, &record.awaits);
        let job = self.jobs.entry(id.clone()).or_insert_with(|| {
            tracing::debug!(job = %id, tasks = record.spec.tasks, "job known");
            self.happenings.note("job", "accepted", &id, Some(&record.spec.class));
            let mut job = Job::new(id.clone(), &record, stamp, now, wall);
            job.tier = self.tiers.place(record.tier.as_deref(), &facts_of(&id, &record.spec));
            job
        });
        if stamp >= job.stamp {
            job.stamp = stamp;
            if record.cancelled && !job.cancelled() {
                let passed = wall.saturating_sub(record.cancelled_wall);
                job.advance(JobState::Cancelling, now.saturating_sub(passed));
            }
            self.stir = true;
        }
        if job.cancelled() {
            self.after_end(&id, Fate::CalledOff, now, wall);
        }
        if !self.loading && !record.awaits.is_empty() {
            self.call_off_after(&id, now, wall);
        }
    }

    /// Changes of jobs, seen by the watch or read beside it: the one may tell what the other has told, of a job
    /// that is closed meanwhile.
    pub fn on_jobs(&mut self, news: &News, now: Time, wall: u64) {
        let known = self.follow_from;
        for item in news.news.iter().filter(|i| i.stamp > known) {
            if let Some(key) = &item.write {
                self.upsert(key, &item.value, item.stamp, now, wall);
            }
        }
        self.follow_from = self.follow_from.max(news.epoch);
    }

    /// Another controller says that a job is cancelled: it was committed, so its tasks are stopped at once.
    /// That the job is over is still for the state service to say.
    pub fn cancelled_elsewhere(&mut self, id: &JobId, at_wall: u64, now: Time, wall: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.cancelled()) else { return };
        let passed = wall.saturating_sub(at_wall);
        if job.advance(JobState::Cancelling, now.saturating_sub(passed)) {
            tracing::info!(job = %id, "cancelled, by a controller's word");
            self.stir = true;
            self.after_end(id, Fate::CalledOff, now, wall);
        }
    }

    /// Rentals were refused: others are planned at once, not with the next round.
    pub fn plan_again(&mut self) {
        self.round_at = 0;
    }

    /// Looks at every machine that should be up: which to ask directly now.
    pub fn look_at_members(&mut self, platform: &Platform, now: Time) -> Vec<MachineId> {
        self.looked_at = now;
        let Workers { report_s, lease_s, .. } = platform.workers;
        let lease_ms = self.lease_ms;
        let changed = self
            .machines
            .values_mut()
            .filter_map(|m| m.weigh_reports(lease_ms, now).then(|| m.id.clone()));
        for id in changed.collect::<Vec<_>>() {
            self.on_mute(&id, now);
        }
        let flying = platform.machine_limits.max_connections / PROBES_PART;
        let mut members = self
            .members
            .take()
            .unwrap_or_else(|| Detector::new(self.since, report_s, lease_s, flying));
        let machines = self.machines.values().filter_map(|m| Some((&m.id, self.seen(m)?)));
        let (ask, verdicts) = members.step(machines, now);
        self.members = Some(members);
        ask.iter().for_each(|id| self.question(id));
        for (id, state) in verdicts {
            tracing::debug!(machine = %id, ?state, "verdict");
            if state == State::PresumedDead {
                self.happenings.note("machine", "presumed dead", &id, None);
            }
        }
        ask
    }

    /// A machine is asked directly. What answers is newer than what is known now, or its numbers have begun anew:
    /// but an answer to an earlier question may come instead, and be older than what has been heard since.
    pub fn question(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.questions == 0 {
            machine.asked = Some(machine.latest);
        }
        machine.questions += 1;
    }

    /// What membership is told of a machine, if it should be up: heard under this term, or holding work
    /// of an earlier one.
    pub fn seen<'a>(&self, machine: &'a Machine) -> Option<Seen<'a>> {
        let up = machine.heard.is_some() || !machine.tasks.is_empty();
        if !up || machine.standing() == Standing::Returning {
            return None;
        }
        let spec = |job: &JobId| self.jobs.get(job).map(|j| j.spec.priority);
        let mut jobs = machine.tasks.keys().map(|(job, _)| job);
        let production = jobs.any(|job| spec(job) == Some(Priority::Production));
        let (zone, via) = (machine.zone.as_str(), machine.via.as_deref());
        let reached = self.reached.contains(zone);
        let asked = !machine.ear.hears();
        Some(Seen { zone, via, reached, heard: machine.heard, production, asked })
    }

    /// The task of an attempt proved gone waits again.
    pub fn release(&mut self, id: &JobId, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(attempt) = job.release(task, now)
            && let Some(machine) = self.machines.get_mut(&attempt.machine)
        {
            self.ledger.forget(id, task, Some(attempt.launch));
            machine.let_go(id, task, now);
        }
        self.stir = true;
    }

    /// A gang that lost a task is stopped whole, and starts anew when none of it is left.
    pub(crate) fn after_loss(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.spec.kind == Kind::Gang {
            job.gather(Muster::Leaving);
        }
    }

    /// The machines of cancelled tasks that are not proved gone, and when each was cancelled.
    pub fn cancelled_there(&self) -> impl Iterator<Item = (MachineId, Time)> {
        let cancelled = self.jobs.values().filter_map(|j| Some((j, j.cancelled_at?)));
        cancelled.flat_map(|(job, at)| {
            let there = job.attempts.values().filter(|a| a.occupies());
            there.map(move |a| (a.machine.clone(), at))
        })
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
            self.after_loss(&job);
        }
        self.lines.drop_machine(id);
        self.machines.remove(id);
        self.stir = true;
        self.happenings.note("machine", "gone", id, None);
        tracing::debug!(machine = %id, "machine gone");
    }

    /// Takes over a page of the machine list. Names the machines that have failed.
    pub fn on_listing(&mut self, page: &Listing, now: Time) -> Vec<MachineId> {
        let mut failed = Vec::new();
        for listed in &page.berths {
            let id = MachineId::from(listed.name_id.as_str());
            if self.rentals.was_returned(&id) {
                continue;
            }
            self.machine(&id, now).describe(listed, now);
            if listed.status == ListedState::Failed {
                failed.push(id);
            }
        }
        failed
    }

    /// A machine, known from now on.
    pub fn machine(&mut self, id: &MachineId, now: Time) -> &mut Machine {
        self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id.clone(), now))
    }

    /// Begins a pass: pauses that are over end, jobs past their deadline are missed and leave their
    /// lines (thesis, algorithm 2, 1-3).
    pub fn begin_pass(&mut self, now: Time) {
        self.passed_at = now;
        self.passes += 1;
        self.stir = false;
        let mut over = Vec::new();
        for (id, job) in &mut self.jobs {
            job.unhold(now);
            if job.due.is_some_and(|due| due < now) && !job.missed && job.state() == JobState::Live
            {
                job.missed = true;
                let open =
                    job.waiting.len() + job.attempts.values().filter(|a| a.occupies()).count();
                self.misses += open as u32;
                self.happenings.note("job", "late", id, None);
                over.push(id.clone());
            }
        }
        for id in over {
            self.lines.drop_job(&id);
        }
    }

    /// Notes who found no place in a round for what its team's limit leaves it. Whoever finds one now and then, or
    /// asks for a machine that is refused, is not another for it: only who was not seen so for as long begins anew.
    pub fn note_idle(&mut self, jobs: Vec<JobId>, now: Time) {
        self.idle.retain(|_, (_, last)| now < *last + IDLE_GRANT_MS);
        for id in jobs {
            self.idle.entry(id).or_insert((now, now)).1 = now;
        }
    }

    /// Whether a job has found no place for so long that others of its team come before it.
    pub fn idles(&self, id: &JobId, now: Time) -> bool {
        self.idle.get(id).is_some_and(|(since, _)| now >= since + IDLE_GRANT_MS)
    }

    /// Binds a job's first waiting task to a machine under a launch number: in the tables now, in
    /// the store with the ledger's next write, and offered only after that.
    pub fn bind(
        &mut self,
        id: &JobId,
        machine_id: &MachineId,
        launch: u64,
        value_bytes: usize,
        now: Time,
    ) -> Option<u32> {
        let machine = self.machines.get_mut(machine_id)?;
        let job = self.jobs.get_mut(id)?;
        let task = job.waiting.pop_first()?;
        job.attempts.insert(task, Attempt::new(launch, machine_id.clone(), machine.latest.0, now));
        job.left.clear();
        let bound = Bound { task, launch, machine: machine_id.clone(), watch: machine.latest.0 };
        self.ledger.add(id, &bound, value_bytes);
        machine.hold(id, task, launch);
        if machine.via.is_some() {
            self.look.insert(machine.id.clone());
        }
        Some(task)
    }

    /// Machines whose reports that controller passes on and to which something new is to be said, a
    /// bounded number at once.
    pub fn take_look(&mut self, via: &str) -> Vec<MachineId> {
        let its =
            |id: &&MachineId| self.machines.get(*id).is_some_and(|m| m.via.as_deref() == Some(via));
        let found: Vec<MachineId> = self.look.iter().filter(its).take(LOOK_MOST).cloned().collect();
        let Tables { look, machines, .. } = self;
        look.retain(|id| !found.contains(id) && machines.get(id).is_some_and(|m| m.via.is_some()));
        found
    }

    /// Wants an attempt stopped; a gang then leaves whole. Proof of its end is still awaited.
    pub fn want_stop(&mut self, id: &JobId, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let gang = job.spec.kind == Kind::Gang;
        if let Some(attempt) = job.attempts.get_mut(&task).filter(|a| a.occupies()) {
            attempt.stop.get_or_insert((now, 0));
            if gang {
                job.gather(Muster::Leaving);
            }
        }
    }

    /// Jobs of which something has ended since the last call.
    pub fn take_ended(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.ended)
    }

    /// Takes a job that is over off the tables.
    pub fn close(&mut self, id: &JobId, now: Time) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        for (task, attempt) in &job.attempts {
            self.ledger.forget(id, *task, Some(attempt.launch));
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.let_go(id, *task, now);
            }
        }
        let what = if job.cancelled() { "cancelled" } else { "done" };
        self.happenings.note("job", what, id, None);
        self.lines.drop_job(id);
        self.history.forget(id);
        self.preempting.remove(id);
        self.loans.forget(id);
        self.pipelines.forget(id);
        Some(job)
    }

    /// Counts for display, for the other controllers: (job, done, running).
    pub fn counts(&self) -> Vec<(String, u32, u32)> {
        let counts = self.jobs.iter().map(|(id, j)| (id.to_string(), j.counts()));
        let held = counts.filter(|(_, c)| c.0 + c.1 > 0).map(|(id, (d, r))| (id, d, r));
        held.take(COUNTS_MOST).collect()
    }
}
