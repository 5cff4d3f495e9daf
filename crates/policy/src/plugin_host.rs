//! The plug-in host: the set in force, calls within bounds, faults and suspension. It has values in
//! and values out, and no clock of its own.

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

/// Milliseconds of steady time.
pub type Time = u64;

/// What one plug-in said when a hook was played.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HookResponse {
    /// Its name.
    pub plugin: String,
    /// Its answer, if it gave one.
    pub answer: Option<HookAnswer>,
    /// Why it gave none.
    pub fault: Option<String>,
}

/// What a hook came to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HookResult {
    /// Who said what, in order of precedence.
    #[serde(rename = "said")]
    pub responses: Vec<HookResponse>,
    /// What was taken.
    #[serde(rename = "taken")]
    pub composed: Option<HookAnswer>,
}

struct LoadedPlugin {
    record: PluginRecord,
    ast: Option<AST>,
    outbox: Option<EventOutbox>,
    /// Suspended here, and not yet in the state service.
    suspended_reason: Option<String>,
    faults: VecDeque<(Time, String)>,
    slow_cycles: VecDeque<Time>,
    /// Operations left in this second, and when it began.
    budget: (Time, u64),
    /// Operations in the pass under way, and in all.
    ops_in_cycle: u64,
    total_ops: u64,
    calls: u64,
}

impl LoadedPlugin {
    fn is_active(&self) -> bool {
        self.record.state == PluginState::Active && self.suspended_reason.is_none()
    }
}

/// What an operator sees of a plug-in.
#[derive(Debug, Clone, Serialize)]
pub struct PluginStatus {
    /// Its record.
    #[serde(flatten)]
    pub record: PluginRecord,
    /// Calls made on this controller.
    pub calls: u64,
    /// Operations that they took.
    pub ops: u64,
    /// Faults within the last minute, the latest last.
    pub faults: Vec<String>,
    /// Of a report hook: events that wait, were delivered, were dropped.
    pub delivery: Option<outbox::DeliveryCounts>,
}

/// The host.
pub struct PluginHost {
    engine: ExpressionEngine,
    plugins: BTreeMap<String, LoadedPlugin>,
    /// Names in the order in which they speak.
    precedence_order: Vec<String>,
    /// Faults of the pass or call under way.
    now: Time,
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
    /// Checks a source: it compiles, has hooks, and none of them fails, loops or talks nonsense on
    /// every sample. Returns its hooks.
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

    /// Puts a set in force, between passes. What has not changed keeps its counts.
    pub fn install(&mut self, found: Vec<(PluginRecord, String)>) {
        let mut before = std::mem::take(&mut self.plugins);
        for (record, source) in found.into_iter().take(MAX_PLUGINS) {
            if record.state == PluginState::Removed || source_hash(&source) != record.hash {
                continue;
            }
            let name = record.name.clone();
            let same = before.remove(&name).filter(|l| l.record.hash == record.hash);
            let loaded = match same {
                Some(mut same) => {
                    // An operator's decision ends what this controller thought of it.
                    if same.record != record {
                        same.suspended_reason = None;
                        same.faults.clear();
                        same.slow_cycles.clear();
                    }
                    same.record = record;
                    same
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

    /// Whether any active plug-in has that hook.
    pub fn has_active_hook(&self, hook: Hook) -> bool {
        self.plugins.values().any(|l| l.is_active() && l.record.hooks.contains(&hook))
    }

    /// Whether any active plug-in advises on passes.
    pub fn has_scheduling_hooks(&self) -> bool {
        Hook::ALL.into_iter().any(|h| h != Hook::Admit && self.has_active_hook(h))
    }

    /// Begins a pass.
    pub fn begin_cycle(&mut self, now: Time) {
        self.now = now;
        self.plugins.values_mut().for_each(|l| l.ops_in_cycle = 0);
    }

    /// Ends a pass that computed so many scores: what took most of its work makes it slow.
    pub fn end_cycle(&mut self, scores: u64) {
        let all: u64 = self.plugins.values().map(|l| l.ops_in_cycle).sum();
        let work = (all + scores * OPS_PER_SCORE) as f64;
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

    /// Plays a hook on two values: a job or a class, and what stands beside it.
    pub fn run_hook(
        &mut self,
        hook: Hook,
        first: &AttributeValues,
        second: &HookContext,
        now: Time,
    ) -> HookResult {
        self.now = now;
        let mut said = Vec::new();
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
            said.push(HookResponse { plugin: name.clone(), answer, fault });
        }
        let answers: Vec<HookAnswer> = said.iter().filter_map(|s| s.answer.clone()).collect();
        HookResult { composed: compose_answers(hook, &answers), responses: said }
    }

    /// Plug-ins suspended here since the last call, and why. The caller records it for all.
    pub fn take_newly_suspended(&mut self) -> Vec<(String, String)> {
        std::mem::take(&mut self.newly_suspended)
    }

    /// The record of a plug-in.
    pub fn record(&self, name: &str) -> Option<&PluginRecord> {
        self.plugins.get(name).map(|l| &l.record)
    }

    /// All plug-ins, in the order in which they speak.
    pub fn statuses(&self) -> Vec<PluginStatus> {
        let shown = |l: &LoadedPlugin| PluginStatus {
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
        self.precedence_order.iter().filter_map(|n| self.plugins.get(n)).map(shown).collect()
    }

    /// Whether any active report hook listens.
    pub fn has_event_receivers(&self) -> bool {
        self.plugins.values().any(|l| l.is_active() && l.outbox.is_some())
    }

    /// Tells the active report hooks of an event.
    pub fn enqueue_event(&mut self, event: &outbox::ReportedEvent) {
        for loaded in self.plugins.values_mut().filter(|l| l.is_active()) {
            if let Some(outbox) = &mut loaded.outbox {
                outbox.enqueue(event);
            }
        }
    }

    /// Deliveries that may leave now.
    pub fn due_deliveries(&mut self, now: Time) -> Vec<outbox::EventDelivery> {
        let active = self.plugins.iter_mut().filter(|(_, l)| l.is_active());
        active.filter_map(|(name, l)| l.outbox.as_mut()?.next_delivery(name, now)).collect()
    }

    /// A delivery has ended.
    pub fn on_delivery_ended(&mut self, name: &str, taken: bool, now: Time) {
        if let Some(outbox) = self.plugins.get_mut(name).and_then(|l| l.outbox.as_mut()) {
            outbox.on_delivery_ended(taken, now);
        }
    }
}

/// What stands beside the first value of a hook.
#[derive(Debug, Clone)]
pub enum HookContext {
    /// The cluster.
    Cluster(AttributeValues),
    /// Names of the machine types.
    MachineTypes(Vec<String>),
}

impl HookContext {
    fn to_dynamic(&self) -> Dynamic {
        match self {
            HookContext::Cluster(facts) => facts.to_dynamic(),
            HookContext::MachineTypes(names) => {
                names.iter().map(|n| Dynamic::from(n.clone())).collect::<Vec<Dynamic>>().into()
            }
        }
    }
}

/// One call within its bounds. What a plug-in's second no longer holds is not called: its answer is
/// the default, and no fault.
fn call_hook(
    lang: &ExpressionEngine,
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
    let found = lang.call_function(ast, hook.name(), vec![first.to_dynamic(), second.to_dynamic()]);
    // A call that does next to nothing costs something too: its values are made for it.
    let ops = lang.last_ops() + CALL_OVERHEAD_OPS;
    loaded.calls += 1;
    loaded.total_ops += ops;
    loaded.ops_in_cycle += ops;
    loaded.budget.1 = loaded.budget.1.saturating_sub(ops);
    found.and_then(|f| parse_answer(hook, &f)).map_err(|flaw| flaw.to_string())
}

/// Operations that stand for making the values of a call.
const CALL_OVERHEAD_OPS: u64 = 40;

fn record_fault(
    loaded: &mut LoadedPlugin,
    fresh: &mut Vec<(String, String)>,
    cause: &str,
    now: Time,
) {
    loaded.faults.push_back((now, cause.to_string()));
    loaded.faults.retain(|(at, _)| now.saturating_sub(*at) <= FAULT_WINDOW_MS);
    if loaded.faults.len() >= MAX_FAULTS {
        let reason = format!("{MAX_FAULTS} faults within a minute, the latest: {cause}");
        suspend_plugin(loaded, fresh, reason);
    }
}

fn suspend_plugin(loaded: &mut LoadedPlugin, fresh: &mut Vec<(String, String)>, reason: String) {
    if loaded.suspended_reason.is_none() {
        loaded.suspended_reason = Some(reason.clone());
        fresh.push((loaded.record.name.clone(), reason));
    }
}

/// Sample values on which a hook may be tried: what `swiftsail check --plugin` does.
pub fn try_hook(source: &str, hook: Hook) -> Result<(), Diagnostic> {
    let lang = ExpressionEngine::new(MAX_CALL_OPS);
    let ast = lang.compile_plugin(source)?;
    for n in 0..12 {
        let first = match hook {
            Hook::ClassOrder => AttributeValues::sample(CLASS_ATTRIBUTES, n),
            _ => AttributeValues::sample(JOB_ATTRIBUTES, n),
        };
        let second = match hook {
            Hook::AvoidTypes => HookContext::MachineTypes(vec!["small".into(), "large".into()]),
            _ => HookContext::Cluster(AttributeValues::sample(CLUSTER_ATTRIBUTES, n)),
        };
        let found =
            lang.call_function(&ast, hook.name(), vec![first.to_dynamic(), second.to_dynamic()])?;
        parse_answer(hook, &found)?;
    }
    Ok(())
}
