//! Policy and plug-ins asked before a pass: facts of jobs, classes, teams and the cluster in, values
//! for placement and fleet out. A set of plug-ins changes between passes, never within one.

use super::{Node, Now, Reply};
use crate::constants::*;
use crate::job::{Job, JobId, JobState, Kind, Muster, Priority, Spec};
use crate::machine::{MachineType, Standing};
use crate::settings::Team;
use crate::steering::{JobSteering, Steering};
use crate::tables::{Tables, amounts_of};
use std::collections::{BTreeMap, HashMap};
use swiftsail_quota::Amounts;
use swiftsail_policy::facts::{CLASS, CLUSTER, Facts, JOB, TEAM, Value};
use swiftsail_policy::hooks::{Answer, Hook};
use swiftsail_policy::host::{Host, Second, Verdict};
use swiftsail_policy::policy::{Knob, Policy};
use swiftsail_protocol::users::Problem;

/// Milliseconds of a day.
const DAY_MS: u64 = 86_400_000;

/// What is asked before a pass, and of what.
pub struct Asking<'a> {
    /// The policy.
    pub policy: &'a mut Policy,
    /// The plug-ins.
    pub host: &'a mut Host,
    /// The teams.
    pub teams: &'a [Team],
    /// The machine types.
    pub types: &'a [MachineType],
    /// The time.
    pub now: Now,
}

/// Works out how the pass to come is steered. A round (`full`) asks anew; between rounds only jobs
/// that have not been asked about are.
pub fn steer(tables: &Tables, asking: Asking, steering: &mut Steering, full: bool) {
    let Asking { policy, host, teams, types, now } = asking;
    host.begin_pass(now.steady);
    // What does not depend on facts costs none.
    let by_job = policy.varies_by_job() || host.steers();
    let asks = by_job || full && policy.varies_by_cluster();
    let none = Facts::new(&[], Vec::new());
    let cluster = if asks { cluster_of(tables, types, now.wall).0 } else { none };
    if full {
        *steering = Steering {
            toggle: policy.cluster(Knob::Toggle, &cluster) as u32,
            line_cap: policy.cluster(Knob::LineCap, &cluster) as usize,
            round_ms: (policy.cluster(Knob::RoundS, &cluster) * MS_PER_S) as u64,
            reserve: policy.cluster(Knob::Reserve, &cluster) as u32,
            idle_ms: (policy.cluster(Knob::IdleS, &cluster) * MS_PER_S) as u64,
            bounds: steering.bounds.clone(),
            usual: usual(policy),
            jobs: HashMap::new(),
        };
    }
    if !by_job {
        steering.jobs.clear();
        return;
    }
    let usage = tables.usage(teams);
    let mut advisor = Advisor { policy, host, cluster, now: now.steady, orders: BTreeMap::new() };
    let names: Vec<String> = types.iter().map(|t| t.name.clone()).collect();
    for job in tables.jobs.values() {
        let asks = job.state() == JobState::Live && !job.waiting.is_empty();
        if !asks || steering.jobs.contains_key(&job.id) {
            continue;
        }
        let team = team_of(&job.spec, teams, &usage);
        let facts = job_of(job, now.steady, now.wall);
        let (found, _) = advisor.ask(tables, job, &facts, &team, &names);
        steering.jobs.insert(job.id.clone(), found);
    }
    for (name, flaw) in policy.failures() {
        tracing::error!(setting = name, cause = %flaw, "an expression of the policy failed: its default is used");
    }
}

impl Node {
    /// Works out how the pass to come is steered.
    pub(super) fn steer(&mut self, full: bool) {
        let Node { leader: Some(leader), policy, host, steering, settings, now, types, .. } = self
        else {
            return;
        };
        let types: &[MachineType] = types.as_deref().map_or(&[], Vec::as_slice);
        let teams = &settings.settings.teams;
        steer(leader, Asking { policy, host, teams, types, now: *now }, steering, full);
    }

    /// What plug-ins advise on a new submission. Production work is never sent away.
    pub(super) fn advised(&mut self, id: &JobId, spec: &Spec) -> Option<Reply> {
        if spec.priority == Priority::Production || !self.host.has(Hook::Admit) {
            return None;
        }
        let job = facts_of(id, spec, f64::from(spec.tasks), 0.0, spec.deadline_s, 0.0);
        let cluster = self.told_cluster();
        let cluster = if cluster.is_empty() { self.heard.clone() } else { cluster };
        let second = Second::Cluster(cluster_facts(&cluster));
        let verdict = self.host.play(Hook::Admit, &job, &second, self.now.steady);
        let Some(Answer::Later(wait)) = verdict.taken.filter(|a| *a != Answer::Later(0.0)) else {
            return None;
        };
        let who: Vec<&str> = verdict
            .said
            .iter()
            .filter(|s| matches!(s.answer, Some(Answer::Later(at)) if at > 0.0))
            .map(|s| s.plugin.as_str())
            .collect();
        let error = format!("plug-in {} asks to come back in {wait} s", who.join(", "));
        Some(Reply { retry_after: Some(wait.ceil() as u32), ..Reply::new(429, &Problem { error }) })
    }

    /// Attributes of the cluster for the other controllers, if the leader's plug-ins need them there.
    pub(super) fn told_cluster(&self) -> Vec<f64> {
        let Some(leader) = self.leader.as_ref().filter(|_| self.host.has(Hook::Admit)) else {
            return Vec::new();
        };
        let types: &[MachineType] = self.types.as_deref().map_or(&[], Vec::as_slice);
        cluster_of(leader, types, self.now.wall).1
    }

    /// Who said what of a job, and what was taken. None: it is not known here.
    pub(super) fn explained(&mut self, id: &str) -> Option<serde_json::Value> {
        let Node { leader: Some(leader), policy, host, settings, now, types, .. } = self else {
            return None;
        };
        let job = leader.jobs.get(id)?;
        let types: &[MachineType] = types.as_deref().map_or(&[], Vec::as_slice);
        let teams = &settings.settings.teams;
        let usage = leader.usage(teams);
        let (cluster, _) = cluster_of(leader, types, now.wall);
        let names: Vec<String> = types.iter().map(|t| t.name.clone()).collect();
        let team = team_of(&job.spec, teams, &usage);
        let facts = job_of(job, now.steady, now.wall);
        let mut advisor =
            Advisor { policy, host, cluster, now: now.steady, orders: BTreeMap::new() };
        let set = advisor.by_policy(&facts, &team);
        let (found, verdicts) = advisor.ask(leader, job, &facts, &team, &names);
        let verdicts: BTreeMap<&str, Verdict> =
            verdicts.into_iter().map(|(hook, v)| (hook.name(), v)).collect();
        Some(serde_json::json!({
            "job": id,
            "priority": job.spec.priority,
            "waits": waits(leader, job, teams, &usage),
            "lent": lent(leader, id),
            "policy": { "threshold": set.threshold, "spot_share": set.spot_share },
            "hooks": verdicts,
            "taken": {
                "threshold": found.threshold,
                "spot_share": found.spot_share,
                "class_order": found.order,
                "priority": found.score,
                "avoid_types": found.avoid,
            },
        }))
    }
}

/// Why tasks of a job wait, as far as its team's limit and what the job itself does say.
fn waits(tables: &Tables, job: &Job, teams: &[Team], usage: &[Amounts]) -> serde_json::Value {
    let number = teams.iter().position(|t| t.name == job.spec.team);
    let team = number.map(|n| (&teams[n], &usage[n], tables.cap(n, &teams[n])));
    let each = amounts_of(&job.spec);
    let limit = team.map(|(team, used, cap)| {
        serde_json::json!({
            "team": team.name,
            "cpus_used": used.cpus.number(),
            "cpus_most": team.cpus_max,
            "gpus_used": used.gpus.number(),
            "gpus_most": team.gpus_max,
            "more_tasks": cap.left(*used).holds(each),
        })
    });
    let held_back = team.is_some_and(|(_, used, cap)| !cap.allows(*used, each));
    let why = match (job.waiting.is_empty(), job.muster()) {
        _ if job.state() == JobState::Awaiting => "the jobs that it awaits: see `pipeline show`",
        (true, _) if job.held.is_empty() => "nothing waits",
        (true, _) if job.mistaken() => {
            "a pause: it has failed on every machine so far, and may have been submitted with a mistake"
        }
        (true, _) => "a pause after a failure",
        (false, Muster::Fetching) => "the rest of the gang still fetches its image",
        (false, Muster::Leaving) => "the rest of the gang is being stopped",
        (false, Muster::Whole) if held_back => "its team's limit",
        (false, Muster::Whole) => "room, or a place where its chance is above the threshold",
    };
    serde_json::json!({ "tasks": job.waiting.len(), "for": why, "limit": limit })
}

/// What a job has lent, in words.
fn lent(tables: &Tables, id: &str) -> Vec<String> {
    let loans = tables.loans.of(id).into_iter().flat_map(|l| &l.loans);
    let said = loans.map(|l| {
        let (to, on, stage) = (&l.borrower, &l.machine, l.stage());
        format!("gave {} GPUs to {to} at {} ms on {on}: {stage:?}", l.gpus, l.since_wall)
    });
    said.collect()
}

/// What holds for jobs that nothing distinguishes.
fn usual(policy: &mut Policy) -> JobSteering {
    let none = Facts::new(&[], Vec::new());
    JobSteering {
        threshold: policy.job(Knob::Threshold, &none, &none, &none),
        spot_share: policy.job(Knob::SpotShare, &none, &none, &none),
        ..JobSteering::default()
    }
}

struct Advisor<'a> {
    policy: &'a mut Policy,
    host: &'a mut Host,
    cluster: Facts,
    now: u64,
    /// Verdicts on the order of classes, one a class.
    orders: BTreeMap<String, Verdict>,
}

impl Advisor<'_> {
    /// What the policy alone sets for a job.
    fn by_policy(&mut self, facts: &Facts, team: &Facts) -> JobSteering {
        JobSteering {
            threshold: self.policy.job(Knob::Threshold, facts, team, &self.cluster),
            spot_share: self.policy.job(Knob::SpotShare, facts, team, &self.cluster),
            ..JobSteering::default()
        }
    }

    /// Asks policy and plug-ins about a job.
    fn ask(
        &mut self,
        tables: &Tables,
        job: &Job,
        facts: &Facts,
        team: &Facts,
        types: &[String],
    ) -> (JobSteering, Vec<(Hook, Verdict)>) {
        let mut found = self.by_policy(facts, team);
        let mut verdicts = Vec::new();
        // Where production work may go is not for plug-ins to narrow: it stays first whatever they say.
        let narrows = |hook: Hook| matches!(hook, Hook::SpotShare | Hook::AvoidTypes);
        for hook in [Hook::Priority, Hook::ClassOrder, Hook::SpotShare, Hook::AvoidTypes] {
            let out_of_reach = narrows(hook) && job.spec.priority == Priority::Production;
            if out_of_reach || !self.host.has(hook) {
                continue;
            }
            let verdict = match hook {
                Hook::ClassOrder => match self.orders.get(&job.spec.class) {
                    Some(known) => known.clone(),
                    None => {
                        let class = class_of(tables, &job.spec.class);
                        let second = Second::Cluster(self.cluster.clone());
                        let fresh = self.host.play(hook, &class, &second, self.now);
                        self.orders.insert(job.spec.class.clone(), fresh.clone());
                        fresh
                    }
                },
                Hook::AvoidTypes => {
                    self.host.play(hook, facts, &Second::Types(types.to_vec()), self.now)
                }
                _ => self.host.play(hook, facts, &Second::Cluster(self.cluster.clone()), self.now),
            };
            match &verdict.taken {
                Some(Answer::Score(score)) => found.score = *score,
                Some(Answer::Order(order)) => found.order = *order,
                // Both are limits: the lower holds.
                Some(Answer::Share(share)) => found.spot_share = found.spot_share.min(*share),
                Some(Answer::Avoid(names)) => found.avoid.clone_from(names),
                _ => {}
            }
            verdicts.push((hook, verdict));
        }
        (found, verdicts)
    }
}

fn text(it: &str) -> Value {
    Value::Text(it.to_string())
}

fn facts_of(
    id: &str,
    spec: &Spec,
    waiting: f64,
    running: f64,
    left_s: Option<f64>,
    age_s: f64,
) -> Facts {
    let kind = match spec.kind {
        Kind::Array => "array",
        Kind::Gang => "gang",
        Kind::Service => "service",
    };
    let priority = match spec.priority {
        Priority::Production => "production",
        Priority::High => "high",
        Priority::Normal => "normal",
        Priority::Low => "low",
    };
    let values = vec![
        text(id),
        text(&spec.class),
        text(&spec.team),
        text(kind),
        text(priority),
        Value::Count(i64::from(spec.tasks)),
        Value::Count(waiting as i64),
        Value::Count(running as i64),
        Value::Number(spec.cpus),
        Value::Number(spec.gpus),
        Value::Number(spec.memory_gb),
        Value::Number(spec.image_gb),
        Value::Number(spec.estimate_s),
        Value::Number(left_s.unwrap_or(NO_DEADLINE_S)),
        Value::Number(age_s),
        Value::Flag(spec.spot),
    ];
    Facts::new(JOB, values)
}

fn job_of(job: &Job, now: u64, wall: u64) -> Facts {
    let left = job.due.map(|due| (due as f64 - now as f64) / MS_PER_S);
    let age = wall.saturating_sub(job.accepted_wall) as f64 / MS_PER_S;
    let running = f64::from(job.counts().1);
    facts_of(&job.id, &job.spec, job.waiting.len() as f64, running, left, age)
}

fn class_of(tables: &Tables, class: &str) -> Facts {
    let (mut jobs, mut waiting, mut running, mut late) = (0, 0, 0, 0);
    for job in tables.jobs.values().filter(|j| j.spec.class == class) {
        jobs += 1;
        waiting += if job.queued() { job.waiting.len() as i64 } else { 0 };
        running += i64::from(job.counts().1);
        late += i64::from(job.missed);
    }
    let count = [jobs, waiting, running, late].map(Value::Count);
    Facts::new(CLASS, [text(class)].into_iter().chain(count).collect())
}

fn team_of(spec: &Spec, teams: &[Team], usage: &[Amounts]) -> Facts {
    let found = teams.iter().zip(usage).find(|(t, _)| t.name == spec.team);
    let numbers = found.map_or([0.0; 6], |(t, used)| {
        [used.cpus.number(), t.cpus, t.cpus_max, used.gpus.number(), t.gpus, t.gpus_max]
    });
    let numbers = numbers.map(Value::Number);
    Facts::new(TEAM, [text(&spec.team)].into_iter().chain(numbers).collect())
}

/// Attributes of the cluster, and the same as numbers.
fn cluster_of(tables: &Tables, types: &[MachineType], wall: u64) -> (Facts, Vec<f64>) {
    let (mut late, mut waiting, mut running) = (0, 0, 0);
    for job in tables.jobs.values() {
        late += usize::from(job.missed);
        waiting += if job.queued() { job.waiting.len() } else { 0 };
        running += job.counts().1 as usize;
    }
    let (mut ready, mut free, mut spot, mut cpus) = (0, 0.0, 0.0, 0.0);
    for machine in tables.machines.values() {
        let size = types.iter().find(|t| t.name == machine.kind).map_or(0.0, |t| t.cpus);
        cpus += size;
        spot += if machine.spot { size } else { 0.0 };
        if machine.standing() == Standing::Ready {
            ready += 1;
            free += machine.free().map_or(0.0, |r| r.cpus);
        }
    }
    let numbers = vec![
        tables.jobs.len() as f64,
        late as f64,
        waiting as f64,
        running as f64,
        tables.machines.len() as f64,
        f64::from(ready),
        free,
        spot,
        cpus,
        f64::from(tables.misses),
        (wall % DAY_MS) as f64 / MS_PER_S,
    ];
    (cluster_facts(&numbers), numbers)
}

/// Attributes of the cluster from numbers; what is not told is 0.
fn cluster_facts(numbers: &[f64]) -> Facts {
    let value = |(n, attribute): (usize, &swiftsail_policy::facts::Attribute)| {
        let number = numbers.get(n).copied().unwrap_or(0.0);
        match attribute.1 {
            swiftsail_policy::facts::Type::Count => Value::Count(number as i64),
            _ => Value::Number(number),
        }
    };
    Facts::new(CLUSTER, CLUSTER.iter().enumerate().map(value).collect())
}
