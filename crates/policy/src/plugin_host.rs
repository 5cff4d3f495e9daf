//! The plug-in host: holds the installed plug-ins, calls their hooks within bounds, and suspends plug-ins with too many
//! faults or slow cycles. It does no I/O and reads no clock.

use crate::attributes::{AttributeValues, CLASS_ATTRIBUTES, CLUSTER_ATTRIBUTES, JOB_ATTRIBUTES};
use crate::constants::{
    FAULT_WINDOW_MS, MAX_CALL_OPS, MAX_FAULTS, MAX_PLUGIN_OPS_PER_S, MAX_PLUGINS, MAX_SLOW_CYCLES,
    MAX_SOURCE_BYTES, MIN_SLOW_OPS, OPS_PER_SCORE, SLOW_CYCLE_SHARE,
};
use crate::expression_engine::{
    Diagnostic, ExpressionEngine, defined_functions, unknown_name_message,
};
use crate::hooks::{Hook, HookAnswer, compose_answers, parse_answer};
use crate::outbox::{self, EventOutbox, EventReceiver};
use crate::plugin::{PluginKind, PluginRecord, PluginState, source_hash};
use rhai::{AST, Dynamic};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Monotonic time, ms.
pub type Time = u64;

/// Response of one plug-in to a hook call.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HookResponse {
    /// Name of the plug-in.
    pub plugin: String,
    /// The answer, if the plug-in gave one.
    pub answer: Option<HookAnswer>,
    /// The fault, if the call failed.
    pub fault: Option<String>,
}

/// Result of a hook call over all plug-ins.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HookResult {
    /// Responses of the called plug-ins, in the order of precedence.
    #[serde(rename = "said")]
    pub responses: Vec<HookResponse>,
    /// The composed answer, if any plug-in gave one.
    #[serde(rename = "taken")]
    pub composed: Option<HookAnswer>,
}

struct LoadedPlugin {
    record: PluginRecord,
    ast: Option<AST>,
    outbox: Option<EventOutbox>,
    /// Reason for a suspension by this controller, which may not be recorded in the state service yet.
    suspended_reason: Option<String>,
    faults: VecDeque<(Time, String)>,
    slow_cycles: VecDeque<Time>,
    /// Start of the current budget period of 1 s, and the operations left in it.
    budget: (Time, u64),
    /// Operations in the current scheduling cycle.
    ops_in_cycle: u64,
    /// Operations in total.
    total_ops: u64,
    calls: u64,
}

impl LoadedPlugin {
    fn is_active(&self) -> bool {
        self.record.state == PluginState::Active && self.suspended_reason.is_none()
    }
}

/// Status of a plug-in, as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct PluginStatus {
    /// Record of the plug-in, with its suspension on this controller.
    #[serde(flatten)]
    pub record: PluginRecord,
    /// Number of hook calls on this controller.
    pub calls: u64,
    /// Operations of these calls.
    pub ops: u64,
    /// Faults within [`FAULT_WINDOW_MS`] up to the latest one, the latest last.
    pub faults: Vec<String>,
    /// Delivery counts of an event receiver; `None` for other plug-ins.
    pub delivery: Option<outbox::DeliveryCounts>,
}

/// Holds and calls the installed plug-ins.
pub struct PluginHost {
    engine: ExpressionEngine,
    plugins: BTreeMap<String, LoadedPlugin>,
    /// Names of the plug-ins in the order of precedence.
    precedence_order: Vec<String>,
    /// Time of the current cycle or call.
    now: Time,
    /// Plug-ins suspended since the last [`take_newly_suspended`](PluginHost::take_newly_suspended), with reasons.
    newly_suspended: Vec<(String, String)>,
}

impl Default for PluginHost {
    fn default() -> PluginHost {
        PluginHost {
            engine: ExpressionEngine::new(MAX_CALL_OPS),
            plugins: BTreeMap::new(),
            precedence_order: Vec::new(),
            now: 0,
            newly_suspended: Vec::new(),
        }
    }
}

impl std::fmt::Debug for PluginHost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Host").field("plugins", &self.precedence_order).finish_non_exhaustive()
    }
}

impl PluginHost {
    /// Validates a source: its size, that it compiles, and that it defines at least one hook or, for an event receiver,
    /// parses. Returns the hooks that it defines. Does not call them; see [`try_hook`].
    pub fn validate_source(&self, kind: PluginKind, source: &str) -> Result<Vec<Hook>, Diagnostic> {
        let none = rhai::Position::NONE;
        if source.len() > MAX_SOURCE_BYTES {
            let cause =
                format!("the source has {} bytes; {MAX_SOURCE_BYTES} at most", source.len());
            return Err(Diagnostic::at_position(none, cause));
        }
        if kind == PluginKind::EventReceiver {
            return EventReceiver::parse(source).map(|_| Vec::new());
        }
        let ast = self.engine.compile_plugin(source)?;
        let defined = defined_functions(&ast);
        let hooks: Vec<Hook> = Hook::ALL
            .into_iter()
            .filter(|h| defined.iter().any(|(name, n)| name == h.name() && *n == 2))
            .collect();
        if hooks.is_empty() {
            let name = defined.first().map_or("", |f| f.0.as_str());
            let known = Hook::ALL.iter().map(|h| h.name());
            let cause =
                format!("no hook of two parameters; {}", unknown_name_message("hook", name, known));
            return Err(Diagnostic::at_position(none, cause));
        }
        Ok(hooks)
    }

    /// Replaces the installed plug-ins; called between scheduling cycles. Plug-ins with an unchanged source keep their
    /// counters.
    pub fn install(&mut self, plugins: Vec<(PluginRecord, String)>) {
        let mut previous = std::mem::take(&mut self.plugins);
        for (record, source) in plugins.into_iter().take(MAX_PLUGINS) {
            if record.state == PluginState::Removed || source_hash(&source) != record.hash {
                continue;
            }
            let name = record.name.clone();
            let unchanged = previous.remove(&name).filter(|l| l.record.hash == record.hash);
            let loaded = match unchanged {
                Some(mut loaded) => {
                    // A changed record, such as an operator's decision, overrides this controller's suspension.
                    if loaded.record != record {
                        loaded.suspended_reason = None;
                        loaded.faults.clear();
                        loaded.slow_cycles.clear();
                    }
                    loaded.record = record;
                    loaded
                }
                None => LoadedPlugin {
                    ast: match record.kind {
                        PluginKind::Decision => self.engine.compile_plugin(&source).ok(),
                        PluginKind::EventReceiver => None,
                    },
                    outbox: match record.kind {
                        PluginKind::EventReceiver => {
                            EventReceiver::parse(&source).ok().map(EventOutbox::new)
                        }
                        PluginKind::Decision => None,
                    },
                    record,
                    suspended_reason: None,
                    faults: VecDeque::new(),
                    slow_cycles: VecDeque::new(),
                    budget: (0, MAX_PLUGIN_OPS_PER_S),
                    ops_in_cycle: 0,
                    total_ops: 0,
                    calls: 0,
                },
            };
            self.plugins.insert(name, loaded);
        }
        self.precedence_order = self.plugins.keys().cloned().collect();
        self.precedence_order.sort_by_key(|n| (self.plugins[n].record.precedence, n.clone()));
    }

    /// Whether any active plug-in defines this hook.
    pub fn has_active_hook(&self, hook: Hook) -> bool {
        self.plugins.values().any(|l| l.is_active() && l.record.hooks.contains(&hook))
    }

    /// Whether any active plug-in defines a hook of scheduling cycles, that is, any but [`Hook::Admit`].
    pub fn has_scheduling_hooks(&self) -> bool {
        Hook::ALL.into_iter().any(|h| h != Hook::Admit && self.has_active_hook(h))
    }

    /// Begins a scheduling cycle.
    pub fn begin_cycle(&mut self, now: Time) {
        self.now = now;
        self.plugins.values_mut().for_each(|l| l.ops_in_cycle = 0);
    }

    /// Ends a scheduling cycle that computed this number of scores. Plug-ins that took at least [`SLOW_CYCLE_SHARE`] of
    /// its work count as slow, and are suspended after [`MAX_SLOW_CYCLES`].
    pub fn end_cycle(&mut self, scores: u64) {
        let plugin_ops: u64 = self.plugins.values().map(|l| l.ops_in_cycle).sum();
        let work = (plugin_ops + scores * OPS_PER_SCORE) as f64;
        let now = self.now;
        for loaded in self.plugins.values_mut().filter(|l| l.is_active()) {
            if loaded.ops_in_cycle < MIN_SLOW_OPS
                || (loaded.ops_in_cycle as f64) < SLOW_CYCLE_SHARE * work
            {
                continue;
            }
            let share = loaded.ops_in_cycle as f64 / work * 100.0;
            loaded.slow_cycles.push_back(now);
            loaded.slow_cycles.retain(|at| now.saturating_sub(*at) <= FAULT_WINDOW_MS);
            if loaded.slow_cycles.len() >= MAX_SLOW_CYCLES {
                let reason = format!("it takes {share:.0}% of the work of passes");
                suspend_plugin(loaded, &mut self.newly_suspended, reason);
            }
        }
    }

    /// Calls a hook of all active plug-ins that define it, with a job or class as the first argument, and composes the
    /// answers.
    pub fn run_hook(
        &mut self,
        hook: Hook,
        first: &AttributeValues,
        second: &HookContext,
        now: Time,
    ) -> HookResult {
        self.now = now;
        let mut responses = Vec::new();
        for name in &self.precedence_order {
            let Some(loaded) = self.plugins.get_mut(name) else { continue };
            if !loaded.is_active() || !loaded.record.hooks.contains(&hook) {
                continue;
            }
            let outcome = call_hook(&self.engine, loaded, hook, first, second, now);
            let (answer, fault) = match outcome {
                Ok(answer) => (answer, None),
                Err(cause) => (None, Some(cause)),
            };
            if let Some(cause) = &fault {
                record_fault(loaded, &mut self.newly_suspended, cause, now);
            }
            responses.push(HookResponse { plugin: name.clone(), answer, fault });
        }
        let answers: Vec<HookAnswer> = responses.iter().filter_map(|r| r.answer.clone()).collect();
        HookResult { composed: compose_answers(hook, &answers), responses }
    }

    /// Plug-ins suspended on this controller since the last call, with the reasons. The caller records the suspensions
    /// in the state service.
    pub fn take_newly_suspended(&mut self) -> Vec<(String, String)> {
        std::mem::take(&mut self.newly_suspended)
    }

    /// The record of a plug-in.
    pub fn record(&self, name: &str) -> Option<&PluginRecord> {
        self.plugins.get(name).map(|l| &l.record)
    }

    /// Status of all plug-ins, in the order of precedence.
    pub fn statuses(&self) -> Vec<PluginStatus> {
        let status = |l: &LoadedPlugin| PluginStatus {
            record: PluginRecord {
                state: if l.suspended_reason.is_some() {
                    PluginState::Suspended
                } else {
                    l.record.state
                },
                reason: l.suspended_reason.clone().or_else(|| l.record.reason.clone()),
                ..l.record.clone()
            },
            calls: l.calls,
            ops: l.total_ops,
            faults: l.faults.iter().map(|f| f.1.clone()).collect(),
            delivery: l.outbox.as_ref().map(EventOutbox::counts),
        };
        self.precedence_order.iter().filter_map(|n| self.plugins.get(n)).map(status).collect()
    }

    /// Whether there is any active event receiver.
    pub fn has_event_receivers(&self) -> bool {
        self.plugins.values().any(|l| l.is_active() && l.outbox.is_some())
    }

    /// Queues an event for all active event receivers.
    pub fn enqueue_event(&mut self, event: &outbox::ReportedEvent) {
        for loaded in self.plugins.values_mut().filter(|l| l.is_active()) {
            if let Some(outbox) = &mut loaded.outbox {
                outbox.enqueue(event);
            }
        }
    }

    /// Starts and returns the deliveries that may be sent now.
    pub fn due_deliveries(&mut self, now: Time) -> Vec<outbox::EventDelivery> {
        let active = self.plugins.iter_mut().filter(|(_, l)| l.is_active());
        active.filter_map(|(name, l)| l.outbox.as_mut()?.next_delivery(name, now)).collect()
    }

    /// Handles the end of a delivery to the event receiver `name`.
    pub fn on_delivery_ended(&mut self, name: &str, accepted: bool, now: Time) {
        if let Some(outbox) = self.plugins.get_mut(name).and_then(|l| l.outbox.as_mut()) {
            outbox.on_delivery_ended(accepted, now);
        }
    }
}

/// Second argument of a hook call.
#[derive(Debug, Clone)]
pub enum HookContext {
    /// Attributes of the cluster.
    Cluster(AttributeValues),
    /// Names of the machine types.
    MachineTypes(Vec<String>),
}

impl HookContext {
    fn to_dynamic(&self) -> Dynamic {
        match self {
            HookContext::Cluster(attributes) => attributes.to_dynamic(),
            HookContext::MachineTypes(names) => {
                names.iter().map(|n| Dynamic::from(n.clone())).collect::<Vec<Dynamic>>().into()
            }
        }
    }
}

/// Calls a hook of one plug-in within the bounds. If the plug-in's budget for the current second is used up, it is not
/// called; that is no fault and gives no answer.
fn call_hook(
    engine: &ExpressionEngine,
    loaded: &mut LoadedPlugin,
    hook: Hook,
    first: &AttributeValues,
    second: &HookContext,
    now: Time,
) -> Result<Option<HookAnswer>, String> {
    if now.saturating_sub(loaded.budget.0) >= 1_000 {
        loaded.budget = (now, MAX_PLUGIN_OPS_PER_S);
    }
    let Some(ast) = loaded.ast.as_ref().filter(|_| loaded.budget.1 > 0) else { return Ok(None) };
    let value =
        engine.call_function(ast, hook.name(), vec![first.to_dynamic(), second.to_dynamic()]);
    // Even a trivial call has a cost, since its arguments are created for it.
    let ops = engine.last_ops() + CALL_OVERHEAD_OPS;
    loaded.calls += 1;
    loaded.total_ops += ops;
    loaded.ops_in_cycle += ops;
    loaded.budget.1 = loaded.budget.1.saturating_sub(ops);
    value.and_then(|v| parse_answer(hook, &v)).map_err(|diagnostic| diagnostic.to_string())
}

/// Operations charged for creating the arguments of a call.
const CALL_OVERHEAD_OPS: u64 = 40;

fn record_fault(
    loaded: &mut LoadedPlugin,
    newly_suspended: &mut Vec<(String, String)>,
    cause: &str,
    now: Time,
) {
    loaded.faults.push_back((now, cause.to_string()));
    loaded.faults.retain(|(at, _)| now.saturating_sub(*at) <= FAULT_WINDOW_MS);
    if loaded.faults.len() >= MAX_FAULTS {
        let reason = format!("{MAX_FAULTS} faults within a minute, the latest: {cause}");
        suspend_plugin(loaded, newly_suspended, reason);
    }
}

fn suspend_plugin(
    loaded: &mut LoadedPlugin,
    newly_suspended: &mut Vec<(String, String)>,
    reason: String,
) {
    if loaded.suspended_reason.is_none() {
        loaded.suspended_reason = Some(reason.clone());
        newly_suspended.push((loaded.record.name.clone(), reason));
    }
}

/// Calls a hook on sample arguments, as `swiftsail check --plugin` does. Returns the first error or invalid answer.
pub fn try_hook(source: &str, hook: Hook) -> Result<(), Diagnostic> {
    let engine = ExpressionEngine::new(MAX_CALL_OPS);
    let ast = engine.compile_plugin(source)?;
    for n in 0..12 {
        let first = match hook {
            Hook::ClassOrder => AttributeValues::sample(CLASS_ATTRIBUTES, n),
            _ => AttributeValues::sample(JOB_ATTRIBUTES, n),
        };
        let second = match hook {
            Hook::AvoidTypes => HookContext::MachineTypes(vec!["small".into(), "large".into()]),
            _ => HookContext::Cluster(AttributeValues::sample(CLUSTER_ATTRIBUTES, n)),
        };
        let value = engine.call_function(
            &ast,
            hook.name(),
            vec![first.to_dynamic(), second.to_dynamic()],
        )?;
        parse_answer(hook, &value)?;
    }
    Ok(())
}
