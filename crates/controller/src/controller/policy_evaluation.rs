//! Evaluation of the operators' policy and of plug-ins before each scheduling cycle: attributes of jobs, classes, teams and
//! the cluster are passed in, and the results are the [`CyclePolicy`] that placement and fleet management use. Also the
//! advice of plug-ins on submissions, and the explanation of a job's policy for operators. The set of plug-ins changes
//! between cycles, never within one.

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

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;

/// What is evaluated before a scheduling cycle, and the inputs beside the cluster state.
pub struct PolicyContext<'a> {
    /// The operators' policy.
    pub policy: &'a mut SchedulingPolicy,
    /// The host that runs the plug-ins.
    pub plugin_host: &'a mut PluginHost,
    /// The teams of the settings.
    pub teams: &'a [TeamSettings],
    /// The machine types of the cloud.
    pub machine_types: &'a [MachineType],
    /// The time, on both clocks.
    pub now: Now,
}

/// Updates the policy of the next scheduling cycle. Before a mapping round (`full`) everything is evaluated anew; between
/// rounds only live jobs with waiting tasks that have not been evaluated since.
pub fn evaluate_job_policies(
    state: &ClusterState,
    context: PolicyContext,
    cycle_policy: &mut CyclePolicy,
    full: bool,
) {
    let PolicyContext { policy, plugin_host, teams, machine_types, now } = context;
    plugin_host.begin_cycle(now.monotonic);
    // Attributes are computed only if anything depends on them.
    let is_per_job = policy.has_job_expressions() || plugin_host.has_scheduling_hooks();
    let needs_cluster = is_per_job || full && policy.has_cluster_expressions();
    let none = AttributeValues::new(&[], Vec::new());
    let cluster = if needs_cluster {
        cluster_attributes(state, machine_types, now.wall_clock).0
    } else {
        none
    };
    if full {
        *cycle_policy = CyclePolicy {
            dropping_toggle: policy.cluster_value(PolicyParameter::DroppingToggle, &cluster) as u32,
            queue_limit: policy.cluster_value(PolicyParameter::QueueLimit, &cluster) as usize,
            round_interval_ms: (policy.cluster_value(PolicyParameter::RoundIntervalS, &cluster)
                * MS_PER_S) as u64,
            headroom_tasks: policy.cluster_value(PolicyParameter::ServiceHeadroom, &cluster) as u32,
            idle_timeout_ms: (policy.cluster_value(PolicyParameter::IdleTimeoutS, &cluster)
                * MS_PER_S) as u64,
            bounds: cycle_policy.bounds.clone(),
            default_job: default_job_policy(policy),
            job_overrides: HashMap::new(),
        };
    }
    if !is_per_job {
        cycle_policy.job_overrides.clear();
        return;
    }
    let usage = state.quota_usage(teams);
    let mut evaluator = PolicyEvaluator {
        policy,
        plugin_host,
        cluster,
        now: now.monotonic,
        class_orders: BTreeMap::new(),
    };
    let type_names: Vec<String> = machine_types.iter().map(|t| t.name.clone()).collect();
    for job in state.jobs.values() {
        let has_waiting_tasks = job.state() == JobState::Live && !job.waiting.is_empty();
        if !has_waiting_tasks || cycle_policy.job_overrides.contains_key(&job.id) {
            continue;
        }
        let team = team_attributes(&job.spec, teams, &usage);
        let attributes = job_attributes(job, now.monotonic, now.wall_clock);
        let (job_policy, _) = evaluator.evaluate(state, job, &attributes, &team, &type_names);
        cycle_policy.job_overrides.insert(job.id.clone(), job_policy);
    }
    for (name, diagnostic) in policy.take_new_failures() {
        tracing::error!(setting = name, cause = %diagnostic, "policy expression failed, using its default");
    }
}

impl Controller {
    /// Updates the policy of the leader's next scheduling cycle; `full`: of a mapping round.
    pub(super) fn update_job_policies(&mut self, full: bool) {
        let Controller {
            cluster_state: Some(state),
            policy,
            plugin_host,
            job_policies,
            settings,
            now,
            machine_types,
            ..
        } = self
        else {
            return;
        };
        let machine_types: &[MachineType] = machine_types.as_deref().map_or(&[], Vec::as_slice);
        let teams = &settings.settings.teams;
        evaluate_job_policies(
            state,
            PolicyContext { policy, plugin_host, teams, machine_types, now: *now },
            job_policies,
            full,
        );
    }

    /// Runs the admission plug-ins on a new submission. Returns the reply (429 with `Retry-After`) if one of them asks the
    /// user to come back later. Production jobs are always admitted.
    pub(super) fn admission_advice(&mut self, id: &JobId, spec: &JobSpec) -> Option<Reply> {
        if spec.priority == Priority::Production || !self.plugin_host.has_active_hook(Hook::Admit) {
            return None;
        }
        let job = spec_attributes(id, spec, f64::from(spec.tasks), 0.0, spec.deadline_s, 0.0);
        let cluster = self.cluster_attributes_for_peers();
        let cluster = if cluster.is_empty() { self.cluster_attributes.clone() } else { cluster };
        let context = HookContext::Cluster(cluster_attributes_from_numbers(&cluster));
        let result = self.plugin_host.run_hook(Hook::Admit, &job, &context, self.now.monotonic);
        let Some(HookAnswer::RetryAfterS(wait)) =
            result.composed.filter(|answer| *answer != HookAnswer::RetryAfterS(0.0))
        else {
            return None;
        };
        let plugins: Vec<&str> = result
            .responses
            .iter()
            .filter(
                |response| matches!(response.answer, Some(HookAnswer::RetryAfterS(s)) if s > 0.0),
            )
            .map(|response| response.plugin.as_str())
            .collect();
        let error = format!("plug-in {} asks to come back in {wait} s", plugins.join(", "));
        Some(Reply {
            retry_after: Some(wait.ceil() as u32),
            ..Reply::new(429, &ErrorResponse { error })
        })
    }

    /// Attributes of the cluster for the other controllers' admission plug-ins; empty if there are none, or if this
    /// controller does not lead.
    pub(super) fn cluster_attributes_for_peers(&self) -> Vec<f64> {
        let Some(state) =
            self.cluster_state.as_ref().filter(|_| self.plugin_host.has_active_hook(Hook::Admit))
        else {
            return Vec::new();
        };
        let machine_types: &[MachineType] =
            self.machine_types.as_deref().map_or(&[], Vec::as_slice);
        cluster_attributes(state, machine_types, self.now.wall_clock).1
    }

    /// For operators: what policy and plug-ins decide for a job, what is applied, and what the job waits for. None if
    /// this controller does not lead or knows no live job of this id.
    pub(super) fn explain_job(&mut self, id: &str) -> Option<serde_json::Value> {
        let Controller {
            cluster_state: Some(state),
            policy,
            plugin_host,
            settings,
            now,
            machine_types,
            ..
        } = self
        else {
            return None;
        };
        let job = state.jobs.get(id)?;
        let machine_types: &[MachineType] = machine_types.as_deref().map_or(&[], Vec::as_slice);
        let teams = &settings.settings.teams;
        let usage = state.quota_usage(teams);
        let (cluster, _) = cluster_attributes(state, machine_types, now.wall_clock);
        let type_names: Vec<String> = machine_types.iter().map(|t| t.name.clone()).collect();
        let team = team_attributes(&job.spec, teams, &usage);
        let attributes = job_attributes(job, now.monotonic, now.wall_clock);
        let mut evaluator = PolicyEvaluator {
            policy,
            plugin_host,
            cluster,
            now: now.monotonic,
            class_orders: BTreeMap::new(),
        };
        let from_policy = evaluator.evaluate_policy(&attributes, &team);
        let (applied, results) = evaluator.evaluate(state, job, &attributes, &team, &type_names);
        let results: BTreeMap<&str, HookResult> =
            results.into_iter().map(|(hook, result)| (hook.name(), result)).collect();
        Some(serde_json::json!({
            "job": id,
            "priority": job.spec.priority,
            "waits": describe_wait(state, job, teams, &usage),
            "lent": describe_lent_gpus(state, id),
            "policy": {
                "threshold": from_policy.pruning_threshold,
                "spot_share": from_policy.spot_share,
            },
            "hooks": results,
            "taken": {
                "threshold": applied.pruning_threshold,
                "spot_share": applied.spot_share,
                "class_order": applied.class_order,
                "priority": applied.score,
                "avoid_types": applied.avoided_types,
            },
        }))
    }
}

/// Why a job's tasks wait, as far as that follows from its team's limit and its own state.
fn describe_wait(
    state: &ClusterState,
    job: &Job,
    teams: &[TeamSettings],
    usage: &[ResourceQuantities],
) -> serde_json::Value {
    let index = teams.iter().position(|team| team.name == job.spec.team);
    let team =
        index.map(|index| (&teams[index], &usage[index], state.quota_limit(index, &teams[index])));
    let per_task = quota_per_task(&job.spec);
    let limit = team.map(|(team, used, cap)| {
        serde_json::json!({
            "team": team.name,
            "cpus_used": used.cpus.to_f64(),
            "cpus_most": team.cpus_max,
            "gpus_used": used.gpus.to_f64(),
            "gpus_most": team.gpus_max,
            "more_tasks": cap.remaining(*used).fit_count(per_task),
        })
    });
    let is_limited = team.is_some_and(|(_, used, cap)| !cap.allows(*used, per_task));
    let reason = match (job.waiting.is_empty(), job.gang_state()) {
        _ if job.state() == JobState::Awaiting => "the jobs that it awaits: see `pipeline show`",
        (true, _) if job.backing_off.is_empty() => "nothing waits",
        (true, _) if job.is_job_at_fault() => {
            "a pause: it has failed on every machine so far, and may have been submitted with a mistake"
        }
        (true, _) => "a pause after a failure",
        (false, GangState::Fetching) => "the rest of the gang still fetches its image",
        (false, GangState::Stopping) => "the rest of the gang is being stopped",
        (false, GangState::Whole) if is_limited => "its team's limit",
        (false, GangState::Whole) => "room, or a place where its chance is above the threshold",
    };
    serde_json::json!({ "tasks": job.waiting.len(), "for": reason, "limit": limit })
}

/// Text for each open loan in which a job is the lender.
fn describe_lent_gpus(state: &ClusterState, id: &str) -> Vec<String> {
    let loans = state.gpu_loans.lender_record(id).into_iter().flat_map(|record| &record.loans);
    let texts = loans.map(|loan| {
        let (gpus, since) = (loan.gpus, loan.phase_since_wall);
        let (borrower, machine, phase) = (&loan.borrower, &loan.machine, loan.phase());
        format!("gave {gpus} GPUs to {borrower} at {since} ms on {machine}: {phase:?}")
    });
    texts.collect()
}

/// The policy of jobs that are not evaluated one by one.
fn default_job_policy(policy: &mut SchedulingPolicy) -> JobPolicy {
    let none = AttributeValues::new(&[], Vec::new());
    JobPolicy {
        pruning_threshold: policy.job_value(PolicyParameter::PruningThreshold, &none, &none, &none),
        spot_share: policy.job_value(PolicyParameter::SpotShare, &none, &none, &none),
        ..JobPolicy::default()
    }
}

/// Evaluates policy and plug-ins for the jobs of one cycle.
struct PolicyEvaluator<'a> {
    policy: &'a mut SchedulingPolicy,
    plugin_host: &'a mut PluginHost,
    cluster: AttributeValues,
    now: u64,
    /// Results of the class order hook, which runs once for each class.
    class_orders: BTreeMap<String, HookResult>,
}

impl PolicyEvaluator<'_> {
    /// What the policy alone sets for a job.
    fn evaluate_policy(&mut self, job: &AttributeValues, team: &AttributeValues) -> JobPolicy {
        JobPolicy {
            pruning_threshold: self.policy.job_value(
                PolicyParameter::PruningThreshold,
                job,
                team,
                &self.cluster,
            ),
            spot_share: self.policy.job_value(PolicyParameter::SpotShare, job, team, &self.cluster),
            ..JobPolicy::default()
        }
    }

    /// What policy and plug-ins together set for a job, and the result of each hook.
    fn evaluate(
        &mut self,
        state: &ClusterState,
        job: &Job,
        attributes: &AttributeValues,
        team: &AttributeValues,
        type_names: &[String],
    ) -> (JobPolicy, Vec<(Hook, HookResult)>) {
        let mut job_policy = self.evaluate_policy(attributes, team);
        let mut results = Vec::new();
        // Plug-ins cannot restrict on which machines production jobs run: these come first whatever plug-ins answer.
        let restricts_machines = |hook: Hook| matches!(hook, Hook::SpotShare | Hook::AvoidTypes);
        for hook in [Hook::Priority, Hook::ClassOrder, Hook::SpotShare, Hook::AvoidTypes] {
            let is_exempt = restricts_machines(hook) && job.spec.priority == Priority::Production;
            if is_exempt || !self.plugin_host.has_active_hook(hook) {
                continue;
            }
            let result = match hook {
                Hook::ClassOrder => match self.class_orders.get(&job.spec.class) {
                    Some(known) => known.clone(),
                    None => {
                        let class = class_attributes(state, &job.spec.class);
                        let context = HookContext::Cluster(self.cluster.clone());
                        let result = self.plugin_host.run_hook(hook, &class, &context, self.now);
                        self.class_orders.insert(job.spec.class.clone(), result.clone());
                        result
                    }
                },
                Hook::AvoidTypes => self.plugin_host.run_hook(
                    hook,
                    attributes,
                    &HookContext::MachineTypes(type_names.to_vec()),
                    self.now,
                ),
                _ => self.plugin_host.run_hook(
                    hook,
                    attributes,
                    &HookContext::Cluster(self.cluster.clone()),
                    self.now,
                ),
            };
            match &result.composed {
                Some(HookAnswer::Score(score)) => job_policy.score = *score,
                Some(HookAnswer::ClassOrder(order)) => job_policy.class_order = *order,
                // The policy and the plug-ins both set an upper limit: the lower one applies.
                Some(HookAnswer::SpotShare(share)) => {
                    job_policy.spot_share = job_policy.spot_share.min(*share)
                }
                Some(HookAnswer::AvoidTypes(names)) => job_policy.avoided_types.clone_from(names),
                _ => {}
            }
            results.push((hook, result));
        }
        (job_policy, results)
    }
}

fn text(value: &str) -> AttributeValue {
    AttributeValue::Text(value.to_string())
}

/// Attributes of a job with this specification, in the order of [`JOB_ATTRIBUTES`]. `left_s`: time to its deadline;
/// none: it has no deadline.
fn spec_attributes(
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

/// Attributes of an accepted job. `now` is monotonic time, `wall` the wall clock, both in ms.
fn job_attributes(job: &Job, now: u64, wall: u64) -> AttributeValues {
    let left_s = job.deadline.map(|deadline| (deadline as f64 - now as f64) / MS_PER_S);
    let age_s = wall.saturating_sub(job.accepted_wall) as f64 / MS_PER_S;
    let running = f64::from(job.task_counts().1);
    spec_attributes(&job.id, &job.spec, job.waiting.len() as f64, running, left_s, age_s)
}

/// Attributes of a job class, summed over its jobs.
fn class_attributes(state: &ClusterState, class: &str) -> AttributeValues {
    let (mut jobs, mut waiting, mut running, mut late) = (0, 0, 0, 0);
    for job in state.jobs.values().filter(|job| job.spec.class == class) {
        jobs += 1;
        waiting += if job.has_queued_tasks() { job.waiting.len() as i64 } else { 0 };
        running += i64::from(job.task_counts().1);
        late += i64::from(job.missed_deadline);
    }
    let counts = [jobs, waiting, running, late].map(AttributeValue::Integer);
    AttributeValues::new(CLASS_ATTRIBUTES, [text(class)].into_iter().chain(counts).collect())
}

/// Attributes of a job's team; all numbers are 0 for a team that the settings do not name.
fn team_attributes(
    spec: &JobSpec,
    teams: &[TeamSettings],
    usage: &[ResourceQuantities],
) -> AttributeValues {
    let team = teams.iter().zip(usage).find(|(team, _)| team.name == spec.team);
    let numbers = team.map_or([0.0; 6], |(team, used)| {
        let (used_cpus, used_gpus) = (used.cpus.to_f64(), used.gpus.to_f64());
        [used_cpus, team.cpus, team.cpus_max, used_gpus, team.gpus, team.gpus_max]
    });
    let numbers = numbers.map(AttributeValue::Number);
    AttributeValues::new(TEAM_ATTRIBUTES, [text(&spec.team)].into_iter().chain(numbers).collect())
}

/// Attributes of the cluster, and the same as plain numbers in the order of [`CLUSTER_ATTRIBUTES`], as they are sent to
/// the other controllers.
fn cluster_attributes(
    state: &ClusterState,
    machine_types: &[MachineType],
    wall: u64,
) -> (AttributeValues, Vec<f64>) {
    let (mut late, mut waiting, mut running) = (0, 0, 0);
    for job in state.jobs.values() {
        late += usize::from(job.missed_deadline);
        waiting += if job.has_queued_tasks() { job.waiting.len() } else { 0 };
        running += job.task_counts().1 as usize;
    }
    let (mut ready, mut free_cpus, mut spot_cpus, mut cpus) = (0, 0.0, 0.0, 0.0);
    for machine in state.machines.values() {
        let machine_type = machine_types.iter().find(|t| t.name == machine.machine_type);
        let machine_cpus = machine_type.map_or(0.0, |t| t.cpus);
        cpus += machine_cpus;
        spot_cpus += if machine.spot { machine_cpus } else { 0.0 };
        if machine.state() == MachineState::Ready {
            ready += 1;
            free_cpus += machine.free_resources().map_or(0.0, |resources| resources.cpus);
        }
    }
    let numbers = vec![
        state.jobs.len() as f64,
        late as f64,
        waiting as f64,
        running as f64,
        state.machines.len() as f64,
        f64::from(ready),
        free_cpus,
        spot_cpus,
        cpus,
        f64::from(state.deadline_misses),
        (wall % DAY_MS) as f64 / MS_PER_S,
    ];
    (cluster_attributes_from_numbers(&numbers), numbers)
}

/// Attributes of the cluster from numbers in the order of [`CLUSTER_ATTRIBUTES`]; missing ones are 0.
fn cluster_attributes_from_numbers(numbers: &[f64]) -> AttributeValues {
    let value = |(index, attribute): (usize, &swiftsail_policy::attributes::Attribute)| {
        let number = numbers.get(index).copied().unwrap_or(0.0);
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
