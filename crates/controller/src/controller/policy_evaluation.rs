//! Policy and plug-ins asked before a pass: facts of jobs, classes, teams and the cluster in, values
//! for placement and fleet out. A set of plug-ins changes between passes, never within one.

use super::{Controller, Now, Reply};
use crate::cluster_state::{ClusterState, quota_per_task};
use crate::constants::{MS_PER_S, NO_DEADLINE_S};
use crate::cycle_policy::{CyclePolicy, JobPolicy};
use crate::job::{GangState, Job, JobId, JobKind, JobSpec, JobState, Priority};
use crate::machine::{MachineState, MachineType};
use crate::settings::TeamSettings;
use std::collections::{BTreeMap, HashMap};
use swiftsail_policy::attributes::{
    AttributeValue, AttributeValues, CLASS_ATTRIBUTES, CLUSTER_ATTRIBUTES, JOB_ATTRIBUTES,
    TEAM_ATTRIBUTES,
};
use swiftsail_policy::hooks::{Hook, HookAnswer};
use swiftsail_policy::plugin_host::{HookContext, HookResult, PluginHost};
use swiftsail_policy::scheduling_policy::{PolicyParameter, SchedulingPolicy};
use swiftsail_protocol::users::ErrorResponse;
use swiftsail_quota::ResourceQuantities;

/// Milliseconds of a day.
const DAY_MS: u64 = 86_400_000;

/// What is asked before a pass, and of what.
pub struct PolicyContext<'a> {
    /// The policy.
    pub policy: &'a mut SchedulingPolicy,
    /// The plug-ins.
    pub plugin_host: &'a mut PluginHost,
    /// The teams.
    pub teams: &'a [TeamSettings],
    /// The machine types.
    pub machine_types: &'a [MachineType],
    /// The time.
    pub now: Now,
}

/// Works out how the pass to come is steered. A round (`full`) asks anew; between rounds only jobs
/// that have not been asked about are.
pub fn evaluate_job_policies(
    tables: &ClusterState,
    asking: PolicyContext,
    steering: &mut CyclePolicy,
    full: bool,
) {
    let PolicyContext { policy, plugin_host: host, teams, machine_types: types, now } = asking;
    host.begin_cycle(now.monotonic);
    // What does not depend on facts costs none.
    let by_job = policy.has_job_expressions() || host.has_scheduling_hooks();
    let asks = by_job || full && policy.has_cluster_expressions();
    let none = AttributeValues::new(&[], Vec::new());
    let cluster = if asks { cluster_of(tables, types, now.wall_clock).0 } else { none };
    if full {
        *steering = CyclePolicy {
            dropping_toggle: policy.cluster_value(PolicyParameter::DroppingToggle, &cluster) as u32,
            queue_limit: policy.cluster_value(PolicyParameter::QueueLimit, &cluster) as usize,
            round_interval_ms: (policy.cluster_value(PolicyParameter::RoundIntervalS, &cluster)
                * MS_PER_S) as u64,
            headroom_tasks: policy.cluster_value(PolicyParameter::ServiceHeadroom, &cluster) as u32,
            idle_timeout_ms: (policy.cluster_value(PolicyParameter::IdleTimeoutS, &cluster)
                * MS_PER_S) as u64,
            bounds: steering.bounds.clone(),
            default_job: default_policies(policy),
            job_overrides: HashMap::new(),
        };
    }
    if !by_job {
        steering.job_overrides.clear();
        return;
    }
    let usage = tables.quota_usage(teams);
    let mut advisor =
        PolicyEvaluator { policy, host, cluster, now: now.monotonic, orders: BTreeMap::new() };
    let names: Vec<String> = types.iter().map(|t| t.name.clone()).collect();
    for job in tables.jobs.values() {
        let asks = job.state() == JobState::Live && !job.waiting.is_empty();
        if !asks || steering.job_overrides.contains_key(&job.id) {
            continue;
        }
        let team = team_of(&job.spec, teams, &usage);
        let facts = job_of(job, now.monotonic, now.wall_clock);
        let (found, _) = advisor.evaluate(tables, job, &facts, &team, &names);
        steering.job_overrides.insert(job.id.clone(), found);
    }
    for (name, flaw) in policy.take_new_failures() {
        tracing::error!(setting = name, cause = %flaw, "policy expression failed, using its default");
    }
}

impl Controller {
    /// Works out how the pass to come is steered.
    pub(super) fn update_job_policies(&mut self, full: bool) {
        let Controller {
            cluster_state: Some(leader),
            policy,
            plugin_host: host,
            job_policies: steering,
            settings,
            now,
            machine_types: types,
            ..
        } = self
        else {
            return;
        };
        let types: &[MachineType] = types.as_deref().map_or(&[], Vec::as_slice);
        let teams = &settings.settings.teams;
        evaluate_job_policies(
            leader,
            PolicyContext { policy, plugin_host: host, teams, machine_types: types, now: *now },
            steering,
            full,
        );
    }

    /// What plug-ins advise on a new submission. Production work is never sent away.
    pub(super) fn admission_advice(&mut self, id: &JobId, spec: &JobSpec) -> Option<Reply> {
        if spec.priority == Priority::Production || !self.plugin_host.has_active_hook(Hook::Admit) {
            return None;
        }
        let job = facts_of(id, spec, f64::from(spec.tasks), 0.0, spec.deadline_s, 0.0);
        let cluster = self.cluster_attributes_for_peers();
        let cluster = if cluster.is_empty() { self.cluster_attributes.clone() } else { cluster };
        let second = HookContext::Cluster(cluster_facts(&cluster));
        let verdict = self.plugin_host.run_hook(Hook::Admit, &job, &second, self.now.monotonic);
        let Some(HookAnswer::RetryAfterS(wait)) =
            verdict.composed.filter(|a| *a != HookAnswer::RetryAfterS(0.0))
        else {
            return None;
        };
        let who: Vec<&str> = verdict
            .responses
            .iter()
            .filter(|s| matches!(s.answer, Some(HookAnswer::RetryAfterS(at)) if at > 0.0))
            .map(|s| s.plugin.as_str())
            .collect();
        let error = format!("plug-in {} asks to come back in {wait} s", who.join(", "));
        Some(Reply {
            retry_after: Some(wait.ceil() as u32),
            ..Reply::new(429, &ErrorResponse { error })
        })
    }

    /// Attributes of the cluster for the other controllers, if the leader's plug-ins need them there.
    pub(super) fn cluster_attributes_for_peers(&self) -> Vec<f64> {
        let Some(leader) =
            self.cluster_state.as_ref().filter(|_| self.plugin_host.has_active_hook(Hook::Admit))
        else {
            return Vec::new();
        };
        let types: &[MachineType] = self.machine_types.as_deref().map_or(&[], Vec::as_slice);
        cluster_of(leader, types, self.now.wall_clock).1
    }

    /// Who said what of a job, and what was taken. None: it is not known here.
    pub(super) fn explained(&mut self, id: &str) -> Option<serde_json::Value> {
        let Controller {
            cluster_state: Some(leader),
            policy,
            plugin_host: host,
            settings,
            now,
            machine_types: types,
            ..
        } = self
        else {
            return None;
        };
        let job = leader.jobs.get(id)?;
        let types: &[MachineType] = types.as_deref().map_or(&[], Vec::as_slice);
        let teams = &settings.settings.teams;
        let usage = leader.quota_usage(teams);
        let (cluster, _) = cluster_of(leader, types, now.wall_clock);
        let names: Vec<String> = types.iter().map(|t| t.name.clone()).collect();
        let team = team_of(&job.spec, teams, &usage);
        let facts = job_of(job, now.monotonic, now.wall_clock);
        let mut advisor =
            PolicyEvaluator { policy, host, cluster, now: now.monotonic, orders: BTreeMap::new() };
        let set = advisor.by_policy(&facts, &team);
        let (found, verdicts) = advisor.evaluate(leader, job, &facts, &team, &names);
        let verdicts: BTreeMap<&str, HookResult> =
            verdicts.into_iter().map(|(hook, v)| (hook.name(), v)).collect();
        Some(serde_json::json!({
            "job": id,
            "priority": job.spec.priority,
            "waits": waits(leader, job, teams, &usage),
            "lent": lent_gpus(leader, id),
            "policy": { "threshold": set.pruning_threshold, "spot_share": set.spot_share },
            "hooks": verdicts,
            "taken": {
                "threshold": found.pruning_threshold,
                "spot_share": found.spot_share,
                "class_order": found.class_order,
                "priority": found.score,
                "avoid_types": found.avoided_types,
            },
        }))
    }
}

/// Why tasks of a job wait, as far as its team's limit and what the job itself does say.
fn waits(
    tables: &ClusterState,
    job: &Job,
    teams: &[TeamSettings],
    usage: &[ResourceQuantities],
) -> serde_json::Value {
    let number = teams.iter().position(|t| t.name == job.spec.team);
    let team = number.map(|n| (&teams[n], &usage[n], tables.quota_limit(n, &teams[n])));
    let each = quota_per_task(&job.spec);
    let limit = team.map(|(team, used, cap)| {
        serde_json::json!({
            "team": team.name,
            "cpus_used": used.cpus.to_f64(),
            "cpus_most": team.cpus_max,
            "gpus_used": used.gpus.to_f64(),
            "gpus_most": team.gpus_max,
            "more_tasks": cap.remaining(*used).times_covering(each),
        })
    });
    let held_back = team.is_some_and(|(_, used, cap)| !cap.allows(*used, each));
    let why = match (job.waiting.is_empty(), job.gang_state()) {
        _ if job.state() == JobState::Awaiting => "the jobs that it awaits: see `pipeline show`",
        (true, _) if job.backing_off.is_empty() => "nothing waits",
        (true, _) if job.is_job_at_fault() => {
            "a pause: it has failed on every machine so far, and may have been submitted with a mistake"
        }
        (true, _) => "a pause after a failure",
        (false, GangState::Fetching) => "the rest of the gang still fetches its image",
        (false, GangState::Stopping) => "the rest of the gang is being stopped",
        (false, GangState::Whole) if held_back => "its team's limit",
        (false, GangState::Whole) => "room, or a place where its chance is above the threshold",
    };
    serde_json::json!({ "tasks": job.waiting.len(), "for": why, "limit": limit })
}

/// What a job has lent, in words.
fn lent_gpus(tables: &ClusterState, id: &str) -> Vec<String> {
    let loans = tables.gpu_loans.lender_record(id).into_iter().flat_map(|l| &l.loans);
    let said = loans.map(|l| {
        let (to, on, stage) = (&l.borrower, &l.machine, l.phase());
        format!("gave {} GPUs to {to} at {} ms on {on}: {stage:?}", l.gpus, l.phase_since_wall)
    });
    said.collect()
}

/// What holds for jobs that nothing distinguishes.
fn default_policies(policy: &mut SchedulingPolicy) -> JobPolicy {
    let none = AttributeValues::new(&[], Vec::new());
    JobPolicy {
        pruning_threshold: policy.job_value(PolicyParameter::PruningThreshold, &none, &none, &none),
        spot_share: policy.job_value(PolicyParameter::SpotShare, &none, &none, &none),
        ..JobPolicy::default()
    }
}

struct PolicyEvaluator<'a> {
    policy: &'a mut SchedulingPolicy,
    host: &'a mut PluginHost,
    cluster: AttributeValues,
    now: u64,
    /// Verdicts on the order of classes, one a class.
    orders: BTreeMap<String, HookResult>,
}

impl PolicyEvaluator<'_> {
    /// What the policy alone sets for a job.
    fn by_policy(&mut self, facts: &AttributeValues, team: &AttributeValues) -> JobPolicy {
        JobPolicy {
            pruning_threshold: self.policy.job_value(
                PolicyParameter::PruningThreshold,
                facts,
                team,
                &self.cluster,
            ),
            spot_share: self.policy.job_value(
                PolicyParameter::SpotShare,
                facts,
                team,
                &self.cluster,
            ),
            ..JobPolicy::default()
        }
    }

    /// Asks policy and plug-ins about a job.
    fn evaluate(
        &mut self,
        tables: &ClusterState,
        job: &Job,
        facts: &AttributeValues,
        team: &AttributeValues,
        types: &[String],
    ) -> (JobPolicy, Vec<(Hook, HookResult)>) {
        let mut found = self.by_policy(facts, team);
        let mut verdicts = Vec::new();
        // Where production work may go is not for plug-ins to narrow: it stays first whatever they say.
        let narrows = |hook: Hook| matches!(hook, Hook::SpotShare | Hook::AvoidTypes);
        for hook in [Hook::Priority, Hook::ClassOrder, Hook::SpotShare, Hook::AvoidTypes] {
            let out_of_reach = narrows(hook) && job.spec.priority == Priority::Production;
            if out_of_reach || !self.host.has_active_hook(hook) {
                continue;
            }
            let verdict = match hook {
                Hook::ClassOrder => match self.orders.get(&job.spec.class) {
                    Some(known) => known.clone(),
                    None => {
                        let class = class_of(tables, &job.spec.class);
                        let second = HookContext::Cluster(self.cluster.clone());
                        let fresh = self.host.run_hook(hook, &class, &second, self.now);
                        self.orders.insert(job.spec.class.clone(), fresh.clone());
                        fresh
                    }
                },
                Hook::AvoidTypes => self.host.run_hook(
                    hook,
                    facts,
                    &HookContext::MachineTypes(types.to_vec()),
                    self.now,
                ),
                _ => self.host.run_hook(
                    hook,
                    facts,
                    &HookContext::Cluster(self.cluster.clone()),
                    self.now,
                ),
            };
            match &verdict.composed {
                Some(HookAnswer::Score(score)) => found.score = *score,
                Some(HookAnswer::ClassOrder(order)) => found.class_order = *order,
                // Both are limits: the lower holds.
                Some(HookAnswer::SpotShare(share)) => {
                    found.spot_share = found.spot_share.min(*share)
                }
                Some(HookAnswer::AvoidTypes(names)) => found.avoided_types.clone_from(names),
                _ => {}
            }
            verdicts.push((hook, verdict));
        }
        (found, verdicts)
    }
}

fn text(it: &str) -> AttributeValue {
    AttributeValue::Text(it.to_string())
}

fn facts_of(
    id: &str,
    spec: &JobSpec,
    waiting: f64,
    running: f64,
    left_s: Option<f64>,
    age_s: f64,
) -> AttributeValues {
    let kind = match spec.kind {
        JobKind::Array => "array",
        JobKind::Gang => "gang",
        JobKind::Service => "service",
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
        AttributeValue::Integer(i64::from(spec.tasks)),
        AttributeValue::Integer(waiting as i64),
        AttributeValue::Integer(running as i64),
        AttributeValue::Number(spec.cpus),
        AttributeValue::Number(spec.gpus),
        AttributeValue::Number(spec.memory_gb),
        AttributeValue::Number(spec.image_gb),
        AttributeValue::Number(spec.runtime_estimate_s),
        AttributeValue::Number(left_s.unwrap_or(NO_DEADLINE_S)),
        AttributeValue::Number(age_s),
        AttributeValue::Boolean(spec.spot),
    ];
    AttributeValues::new(JOB_ATTRIBUTES, values)
}

fn job_of(job: &Job, now: u64, wall: u64) -> AttributeValues {
    let left = job.deadline.map(|due| (due as f64 - now as f64) / MS_PER_S);
    let age = wall.saturating_sub(job.accepted_wall) as f64 / MS_PER_S;
    let running = f64::from(job.task_counts().1);
    facts_of(&job.id, &job.spec, job.waiting.len() as f64, running, left, age)
}

fn class_of(tables: &ClusterState, class: &str) -> AttributeValues {
    let (mut jobs, mut waiting, mut running, mut late) = (0, 0, 0, 0);
    for job in tables.jobs.values().filter(|j| j.spec.class == class) {
        jobs += 1;
        waiting += if job.has_queued_tasks() { job.waiting.len() as i64 } else { 0 };
        running += i64::from(job.task_counts().1);
        late += i64::from(job.missed_deadline);
    }
    let count = [jobs, waiting, running, late].map(AttributeValue::Integer);
    AttributeValues::new(CLASS_ATTRIBUTES, [text(class)].into_iter().chain(count).collect())
}

fn team_of(
    spec: &JobSpec,
    teams: &[TeamSettings],
    usage: &[ResourceQuantities],
) -> AttributeValues {
    let found = teams.iter().zip(usage).find(|(t, _)| t.name == spec.team);
    let numbers = found.map_or([0.0; 6], |(t, used)| {
        [used.cpus.to_f64(), t.cpus, t.cpus_max, used.gpus.to_f64(), t.gpus, t.gpus_max]
    });
    let numbers = numbers.map(AttributeValue::Number);
    AttributeValues::new(TEAM_ATTRIBUTES, [text(&spec.team)].into_iter().chain(numbers).collect())
}

/// Attributes of the cluster, and the same as numbers.
fn cluster_of(
    tables: &ClusterState,
    types: &[MachineType],
    wall: u64,
) -> (AttributeValues, Vec<f64>) {
    let (mut late, mut waiting, mut running) = (0, 0, 0);
    for job in tables.jobs.values() {
        late += usize::from(job.missed_deadline);
        waiting += if job.has_queued_tasks() { job.waiting.len() } else { 0 };
        running += job.task_counts().1 as usize;
    }
    let (mut ready, mut free, mut spot, mut cpus) = (0, 0.0, 0.0, 0.0);
    for machine in tables.machines.values() {
        let size = types.iter().find(|t| t.name == machine.machine_type).map_or(0.0, |t| t.cpus);
        cpus += size;
        spot += if machine.spot { size } else { 0.0 };
        if machine.state() == MachineState::Ready {
            ready += 1;
            free += machine.free_resources().map_or(0.0, |r| r.cpus);
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
        f64::from(tables.deadline_misses),
        (wall % DAY_MS) as f64 / MS_PER_S,
    ];
    (cluster_facts(&numbers), numbers)
}

/// Attributes of the cluster from numbers; what is not told is 0.
fn cluster_facts(numbers: &[f64]) -> AttributeValues {
    let value = |(n, attribute): (usize, &swiftsail_policy::attributes::Attribute)| {
        let number = numbers.get(n).copied().unwrap_or(0.0);
        match attribute.1 {
            swiftsail_policy::attributes::AttributeType::Integer => {
                AttributeValue::Integer(number as i64)
            }
            _ => AttributeValue::Number(number),
        }
    };
    AttributeValues::new(
        CLUSTER_ATTRIBUTES,
        CLUSTER_ATTRIBUTES.iter().enumerate().map(value).collect(),
    )
}
