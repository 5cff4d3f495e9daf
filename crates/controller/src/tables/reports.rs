//! What a report changes, and what its worker is told: proofs that a task is gone, exits, commands.

use super::{Tables, split_task};
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::machine::{Machine, MachineType, Room, Standing};
use std::collections::{BTreeMap, HashMap};
use swiftsail_failure_detector::{Hearing, Probe, Sign};
use swiftsail_protocol::workers::{Cause, Command, Direct, Orders, Phase, Report, Shard, Verb};

/// Where a report came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A report proper: its response may carry starts, and it proves what it lacks.
    Report,
    /// The answer to a direct command.
    Answer,
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

impl Tables {
    // ---- reports -------------------------------------------------------------------------------

    /// Takes a worker's message and says what it is to do. Older messages change nothing, and no copy of a
    /// report, however late, is taken for life: who shows this term's token has been answered in it, and
    /// who answers a question of this controller's lives; anything else may have been sent at any time.
    pub fn on_report(
        &mut self,
        report: &Report,
        source: Source,
        now: Time,
        types: &[MachineType],
    ) -> Orders {
        let id = MachineId::from(report.berth.as_str());
        let mut orders = Orders { helm: self.token, orders: Vec::new() };
        let acknowledged = report.helm == self.token;
        if !self.machines.contains_key(&id) {
            // A cut may hold a report back until its machine is long returned, and gone. Whoever lives shows
            // this term's token next time: the answer takes it there.
            if self.rentals.was_returned(&id) || !acknowledged && source == Source::Report {
                return orders;
            }
            tracing::debug!(machine = %id, "machine unknown so far reports");
        }
        let machine =
            self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id.clone(), now));
        let at = (report.watch, report.tick);
        // A token once shown is shown ever after: a higher number under a lower one is of an earlier life of its
        // worker, on its way since then.
        if at <= machine.latest || report.helm < machine.helm {
            return orders;
        }
        machine.helm = report.helm;
        let first = machine.heard.is_none();
        if source == Source::Report && acknowledged {
            let sign = machine.follow_session(report.watch, self.lease_ms, now);
            self.hear(&id, sign.filter(|_| self.lease_ms > 0.0), now);
        }
        let Some(machine) = self.machines.get_mut(&id) else { return orders };
        machine.latest = at;
        if acknowledged || source == Source::Answer {
            machine.heard = Some(now);
        }
        if acknowledged && source == Source::Report {
            machine.answered = Some(now);
        }
        machine.greet(report, now);
        if source == Source::Report {
            machine.reported = at;
        }
        if acknowledged {
            if matches!(machine.standing(), Standing::Expected | Standing::Greeted) {
                machine.advance(Standing::Ready);
                machine.idle_since = now;
                self.stir = true;
                self.happenings.note("machine", "ready", &id, Some(&report.hull));
                tracing::debug!(machine = %id, kind = %report.hull, zone = %report.dock, "machine ready");
            }
        } else if machine.standing() == Standing::Expected {
            machine.advance(Standing::Greeted);
        }
        if first && machine.heard.is_some() {
            tracing::debug!(machine = %id, "machine up");
        }
        let mut listed: HashMap<(JobId, u32, u64), &Shard> = HashMap::new();
        for shard in &report.shards {
            if let Some((job, task)) = split_task(&shard.shard) {
                listed.insert((job, task, shard.launch), shard);
            }
        }
        self.reconcile(&id, report, source, &listed, now, types);
        self.take_strays(&id, report, &listed, now);
        self.give_orders(&id, report, source, &listed, &mut orders.orders);
        orders
    }

    /// A sign of a machine's hearing. What it was told and does not show is told no more once that is in
    /// doubt: the next report proves that it was not taken, and the task moves.
    pub fn hear(&mut self, id: &MachineId, sign: Option<Sign>, now: Time) {
        let (Some(sign), Some(machine)) = (sign, self.machines.get_mut(id)) else { return };
        if !machine.ear.advance(sign, now) {
            return;
        }
        let hearing = machine.ear.hearing();
        tracing::debug!(machine = %id, ?hearing, ?sign, "hearing");
        self.stir = true;
        match hearing {
            Hearing::Hears => return,
            Hearing::Doubted => {}
            Hearing::Deaf => {
                tracing::info!(machine = %id, ?sign, "a machine reports and does not hear");
                self.happenings.note("machine", "deaf", id, None);
            }
        }
        for ((job, task), launch) in &machine.tasks {
            let attempt = self.jobs.get_mut(job).and_then(|j| j.attempts.get_mut(task));
            if let Some(a) = attempt.filter(|a| a.launch == *launch && !a.seen && !a.old_term) {
                a.given_up = true;
            }
        }
        self.lines.drop_machine(id);
    }

    /// The reports of a machine have ceased, though it answers, or come again. What was bound there and never offered
    /// would wait for them: nothing of it is left anywhere.
    pub fn on_mute(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else { return };
        tracing::info!(machine = %id, mute = machine.mute(), "a machine answers; whether its reports arrive has changed");
        self.stir = true;
        if !machine.mute() {
            return;
        }
        self.happenings.note("machine", "mute", id, None);
        let mut unstarted = Vec::new();
        for ((job, task), launch) in &machine.tasks {
            let attempt = self.jobs.get_mut(job).and_then(|j| j.attempts.get_mut(task));
            let Some(a) = attempt.filter(|a| a.launch == *launch && !a.seen && !a.old_term) else {
                continue;
            };
            a.given_up = true;
            if a.stage() == Stage::Bound && a.offered.is_none() {
                unstarted.push((job.clone(), *task));
            }
        }
        for (job, task) in unstarted {
            self.release(&job, task, now);
            self.after_loss(&job);
        }
        self.lines.drop_machine(id);
    }

    /// A machine was asked directly. Its answer is newer than any number: if it counts from the start again,
    /// its worker has begun anew, and all that it does not show is gone.
    pub fn on_probed(&mut self, id: &MachineId, probe: Probe, report: Option<&Report>, now: Time) {
        if let Some(members) = &mut self.members {
            members.probed(id, probe);
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.questions = machine.questions.saturating_sub(1);
        let asked = match machine.questions {
            0 => machine.asked.take(),
            _ => machine.asked,
        };
        if let Some(report) = report
            && asked.is_some_and(|before| (report.watch, report.tick) <= before)
        {
            tracing::warn!(machine = %id, watch = report.watch, "its worker has begun anew");
            machine.reborn(now);
            self.lose_what_is_not_shown(id, report, now);
        }
        let sign = match probe {
            Probe::Answered => Sign::Reached,
            _ => Sign::Unreached,
        };
        self.hear(id, Some(sign), now);
    }

    /// A worker that has begun anew holds what it shows and nothing else. A binding on its way to the store
    /// goes when a report lacks it, as ever.
    fn lose_what_is_not_shown(&mut self, id: &MachineId, report: &Report, now: Time) {
        let shown: Vec<(JobId, u32)> =
            report.shards.iter().filter_map(|s| split_task(&s.shard)).collect();
        let Some(machine) = self.machines.get(id) else { return };
        let bound: Vec<(JobId, u32)> =
            machine.tasks.keys().filter(|k| !shown.contains(k)).cloned().collect();
        for (job, task) in bound {
            let attempt = self.jobs.get_mut(&job).and_then(|j| j.attempts.get_mut(&task));
            let Some(attempt) = attempt.filter(|a| a.occupies()) else { continue };
            attempt.given_up = true;
            if attempt.stage() != Stage::Committing {
                self.release(&job, task, now);
                self.after_loss(&job);
            }
        }
    }

    /// The machine of a report that has just been taken as news, and as life.
    pub fn just_heard(&mut self, report: &Report, now: Time) -> Option<&mut Machine> {
        let machine = self.machines.get_mut(report.berth.as_str())?;
        let at = (report.watch, report.tick);
        (machine.latest == at && machine.heard == Some(now)).then_some(machine)
    }

    /// Takes a report that shows the same as the machine's last whole one. False: it must come whole,
    /// since something is bound, stopped, exited or stray there, or this leader does not know what the
    /// last one showed. Otherwise it says no more than that all goes on, and nothing is ordered.
    pub fn on_same(&mut self, id: &str, at: (u64, u64), shown: u64, now: Time) -> bool {
        let same = self.machines.get(id).is_some_and(|m| {
            m.shown == Some(shown) && m.latest.0 == at.0 && self.nothing_to_say(m)
        });
        let Some(machine) = self.machines.get_mut(id) else { return false };
        // An older one changes nothing, as ever.
        if same && at > machine.latest {
            let sign = machine.follow_session(at.0, self.lease_ms, now);
            machine.latest = at;
            machine.reported = at;
            (machine.heard, machine.answered) = (Some(now), Some(now));
            let id = machine.id.clone();
            self.hear(&id, sign.filter(|_| self.lease_ms > 0.0), now);
        }
        same
    }

    /// Whether a machine has acknowledged this term and there is nothing to say to it, until something
    /// is bound, stopped or ends there.
    pub fn calm(&self, id: &str, now: Time) -> bool {
        self.machines.get(id).is_some_and(|m| m.heard == Some(now) && self.nothing_to_say(m))
    }

    fn nothing_to_say(&self, machine: &Machine) -> bool {
        let quiet = |((job, task), launch): (&(JobId, u32), &u64)| {
            let attempt = self.jobs.get(job).and_then(|j| j.attempts.get(task));
            attempt.is_some_and(|a| {
                a.launch == *launch && a.seen && a.stop.is_none() && a.occupies() && !a.given_up
            })
        };
        machine.standing() == Standing::Ready
            && machine.strays.is_empty()
            && machine.recall_at.is_none()
            && machine.tasks.iter().all(quiet)
    }

    /// Compares what a machine holds with the attempts bound to it.
    fn reconcile(
        &mut self,
        id: &MachineId,
        report: &Report,
        source: Source,
        listed: &HashMap<(JobId, u32, u64), &Shard>,
        now: Time,
        types: &[MachineType],
    ) {
        let Some(machine) = self.machines.get(id) else { return };
        let bound: Vec<((JobId, u32), u64)> =
            machine.tasks.iter().map(|(k, v)| (k.clone(), *v)).collect();
        let at = (report.watch, report.tick);
        let (mut heeded, mut unheeded) = (false, false);
        for ((job_id, task), launch) in bound {
            let shown = listed.get(&(job_id.clone(), task, launch));
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            let Some(attempt) = job.attempts.get_mut(&task).filter(|a| a.launch == launch) else {
                continue;
            };
            if let Some(shard) = shown {
                // Its start came with an answer, and was carried out.
                heeded |= !attempt.seen && attempt.offered.is_some();
                attempt.seen = true;
                let stage = stage_of(shard);
                let image = (job.spec.image.clone(), job.spec.image_gb);
                if attempt.advance(stage, now) {
                    if matches!(stage, Stage::Exited(_))
                        && let Some(m) = self.machines.get_mut(id)
                    {
                        m.recount();
                    }
                    if stage == Stage::Running {
                        let name = join_task(&job_id, task);
                        self.happenings.note("task", "runs", name, Some(id));
                        let waited_ms = now.saturating_sub(job.eligible_at);
                        let bound_ms = now.saturating_sub(attempt.since);
                        tracing::debug!(job = %job_id, task, machine = %id, class = %job.spec.class, waited_ms, bound_ms, "task runs");
                    }
                    if matches!(stage, Stage::Running | Stage::Waiting)
                        && let Some(m) = self.machines.get_mut(id)
                    {
                        let cache =
                            types.iter().find(|t| t.name == m.kind).map_or(0.0, |t| t.cache_gb);
                        m.note_image(&image.0, image.1, cache);
                    }
                    if let Stage::Exited(cause) = stage {
                        self.on_exit(&job_id, task, cause, now);
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
                unheeded |= untaken && report.watch == offered.0;
                if untaken && !attempt.given_up {
                    attempt.offered = None;
                }
                untaken && attempt.given_up
            } else {
                attempt.given_up && committed
            };
            if gone {
                self.happenings.note("task", "gone", join_task(&job_id, task), Some(id));
                tracing::debug!(job = %job_id, task, launch, machine = %id, "attempt proved gone");
                self.release(&job_id, task, now);
                self.after_loss(&job_id);
            }
        }
        let sign = if heeded { Some(Sign::Heeded) } else { unheeded.then_some(Sign::Unheeded) };
        self.hear(id, sign, now);
    }

    /// What a machine shows that no table knows: an exit is forgotten, a task of a job that still
    /// wants it is taken over, anything else is stopped and counted until it is gone.
    fn take_strays(
        &mut self,
        id: &MachineId,
        report: &Report,
        listed: &HashMap<(JobId, u32, u64), &Shard>,
        now: Time,
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
                let mut attempt = Attempt::found(&bound, now);
                attempt.seen = true;
                attempt.given_up = true;
                attempt.advance(stage_of(shard), now);
                job.attempts.insert(*task, attempt);
                job.touch(*task, now);
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
            // What saves goes on, unless nobody wants what would be saved.
            let saving = a.stage() == Stage::Saving && !job.cancelled();
            if a.stop.is_some() && a.occupies() && !saving {
                out.push(command(Verb::Stop, job_id, *task, *launch, Some(ease_of(job))));
            }
        }
        let ready = machine.standing() == Standing::Ready && report.helm == self.token;
        if source != Source::Report || !ready {
            return;
        }
        for ((job_id, task), launch) in &machine.tasks {
            let Some(job) = self.jobs.get_mut(job_id) else { continue };
            if job.cancelled() || job.muster() != Muster::Whole || !whole(job) {
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

    /// A task has failed by itself: its job or its machine is to blame.
    fn weigh_failure(&mut self, id: &JobId, machine_id: &MachineId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.mistaken() {
            job.blame(machine_id);
        }
        if job.failed(now) {
            // No healthy machine is shunned for it, and it shuns none.
            let blamed = std::mem::take(&mut job.bad_machines);
            tracing::warn!(job = %id, machines = blamed.len(), "a job fails on every machine: it is tried now and then");
            self.happenings.note("job", "mistaken", id, None);
            self.lines.drop_job(id);
            for name in &blamed {
                let Some(machine) = self.machines.get_mut(name) else { continue };
                machine.errors.remove(id);
                machine.suspect &= machine.errors.len() >= SUSPECT_JOBS;
            }
            return;
        }
        if job.mistaken() {
            return;
        }
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        machine.errors.insert(id.clone());
        let proven = |id: &JobId| self.jobs.get(id).is_some_and(|j| j.trust() == Trust::Proven);
        let enough = match machine.errors.iter().any(proven) {
            true => SUSPECT_JOBS,
            false => SUSPECT_NEW_JOBS,
        };
        if machine.errors.len() >= enough && !machine.suspect {
            machine.suspect = true;
            self.happenings.note("machine", "suspected", machine_id, None);
            tracing::warn!(machine = %machine_id, "machine suspected: tasks of several jobs fail on it");
        }
    }

    /// An attempt has exited.
    fn on_exit(&mut self, id: &JobId, task: u32, cause: Cause, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(attempt) = job.attempts.get(&task) else { return };
        let machine_id = attempt.machine.clone();
        // Of an attempt that an earlier leader started only the later part was seen: its run time is
        // not known, and a guess from it would make every such job look short.
        let seen_whole = !attempt.old_term;
        let ran = attempt.ran_at.filter(|_| seen_whole).map(|at| now.saturating_sub(at));
        self.stir = true;
        let what = format!("{cause:?}").to_lowercase();
        self.happenings.note("task", what, join_task(id, task), Some(&machine_id));
        if cause == Cause::Done {
            job.touch(task, now);
            job.succeeded();
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                machine.errors.clear();
                if let Some(ran) = ran {
                    self.history.finished(id, &job.spec, &machine.kind, ran);
                }
            }
            self.ended.insert(id.clone());
            return;
        }
        tracing::debug!(job = %id, task, machine = %machine_id, ?cause, "attempt exited");
        let failed = matches!(
            cause,
            Cause::Error | Cause::NoSuch | Cause::Other | Cause::NoRoom | Cause::InUse
        );
        if matches!(cause, Cause::Error | Cause::Other) {
            self.weigh_failure(id, &machine_id, now);
        }
        self.release(id, task, now);
        if failed && let Some(job) = self.jobs.get_mut(id) {
            job.hold(task, now);
        }
        // A gang whose machines differ in what they have fetched would else end `alone`, be stopped
        // and start over for ever: the stop gives up the fetch that it waits for.
        let waits = |j: &Job| cause == Cause::Alone && j.fetches();
        match self.jobs.get_mut(id).filter(|j| j.spec.kind == Kind::Gang && waits(j)) {
            Some(job) => drop(job.gather(Muster::Fetching)),
            None => self.after_loss(id),
        }
    }

    // ---- commands ------------------------------------------------------------------------------

    /// Stops what must stop: the commands to send straight to workers, with their addresses. Called
    /// with every timer step.
    pub fn stops(&mut self, now: Time) -> Vec<(String, Direct)> {
        let mut orders: BTreeMap<MachineId, Vec<Command>> = BTreeMap::new();
        let mut unstarted = Vec::new();
        for (id, job) in &mut self.jobs {
            // The last of a gang may also leave by being done, which releases nothing.
            if job.muster() != Muster::Whole && job.gather(Muster::Whole) {
                self.stir = true;
            }
            if job.muster() == Muster::Fetching && !job.fetches() {
                job.gather(Muster::Leaving);
            }
            let leaves = job.muster() == Muster::Leaving;
            if !job.cancelled() && !leaves {
                let draining = job.attempts.values().any(|a| a.stop.is_some());
                if !draining {
                    continue;
                }
            }
            let whole = job.cancelled() || leaves;
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
            self.after_loss(&job);
        }
        let mut direct = Vec::new();
        for (id, orders) in orders {
            let Some(machine) = self.machines.get(&id) else { continue };
            if machine.addr.is_empty() || machine.latest.0 == 0 {
                continue;
            }
            let message = Direct { helm: self.token, watch: machine.latest.0, orders };
            direct.push((machine.addr.clone(), message));
        }
        direct
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
