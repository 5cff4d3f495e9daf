//! The plug-in host: the set in force, calls within bounds, faults and suspension. It has values in
//! and values out, and no clock of its own.

use crate::constants::*;
use crate::facts::{CLASS, CLUSTER, Facts, JOB};
use crate::hooks::{Answer, Hook, compose, read};
use crate::lang::{Flaw, Lang, functions, unknown};
use crate::outbox::{self, Outbox, ReportHook};
use crate::plugin::{Kind, PluginRecord, State, hash};
use rhai::{AST, Dynamic};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Milliseconds of steady time.
pub type Time = u64;

/// What one plug-in said when a hook was played.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Said {
    /// Its name.
    pub plugin: String,
    /// Its answer, if it gave one.
    pub answer: Option<Answer>,
    /// Why it gave none.
    pub fault: Option<String>,
}

/// What a hook came to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// Who said what, in order of precedence.
    pub said: Vec<Said>,
    /// What was taken.
    pub taken: Option<Answer>,
}

struct Loaded {
    record: PluginRecord,
    ast: Option<AST>,
    outbox: Option<Outbox>,
    /// Suspended here, and not yet in the state service.
    suspended: Option<String>,
    faults: VecDeque<(Time, String)>,
    slow: VecDeque<Time>,
    /// Operations left in this second, and when it began.
    budget: (Time, u64),
    /// Operations in the pass under way, and in all.
    in_pass: u64,
    ops: u64,
    calls: u64,
}

impl Loaded {
    fn active(&self) -> bool {
        self.record.state == State::Active && self.suspended.is_none()
    }
}

/// What an operator sees of a plug-in.
#[derive(Debug, Clone, Serialize)]
pub struct Shown {
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
    pub delivery: Option<outbox::Counts>,
}

/// The host.
pub struct Host {
    lang: Lang,
    set: BTreeMap<String, Loaded>,
    /// Names in the order in which they speak.
    order: Vec<String>,
    /// Faults of the pass or call under way.
    now: Time,
    fresh: Vec<(String, String)>,
}

impl Default for Host {
    fn default() -> Host {
        Host {
            lang: Lang::new(CALL_OPS),
            set: BTreeMap::new(),
            order: Vec::new(),
            now: 0,
            fresh: Vec::new(),
        }
    }
}

impl std::fmt::Debug for Host {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Host").field("plugins", &self.order).finish_non_exhaustive()
    }
}

impl Host {
    /// Checks a source: it compiles, has hooks, and none of them fails, loops or talks nonsense on
    /// every sample. Returns its hooks.
    pub fn check(&self, kind: Kind, source: &str) -> Result<Vec<Hook>, Flaw> {
        let none = rhai::Position::NONE;
        if source.len() > SOURCE_MOST {
            let cause = format!("the source has {} bytes; {SOURCE_MOST} at most", source.len());
            return Err(Flaw::at(none, cause));
        }
        if kind == Kind::Report {
            return ReportHook::parse(source).map(|_| Vec::new());
        }
        let ast = self.lang.script(source)?;
        let defined = functions(&ast);
        let hooks: Vec<Hook> = Hook::ALL
            .into_iter()
            .filter(|h| defined.iter().any(|(name, n)| name == h.name() && *n == 2))
            .collect();
        if hooks.is_empty() {
            let name = defined.first().map_or("", |f| f.0.as_str());
            let known = Hook::ALL.iter().map(|h| h.name());
            let cause = format!("no hook of two parameters; {}", unknown("hook", name, known));
            return Err(Flaw::at(none, cause));
        }
        Ok(hooks)
    }

    /// Puts a set in force, between passes. What has not changed keeps its counts.
    pub fn install(&mut self, found: Vec<(PluginRecord, String)>) {
        let mut before = std::mem::take(&mut self.set);
        for (record, source) in found.into_iter().take(PLUGINS_MOST) {
            if record.state == State::Removed || hash(&source) != record.hash {
                continue;
            }
            let name = record.name.clone();
            let same = before.remove(&name).filter(|l| l.record.hash == record.hash);
            let loaded = match same {
                Some(mut same) => {
                    // An operator's decision ends what this controller thought of it.
                    if same.record != record {
                        same.suspended = None;
                        same.faults.clear();
                        same.slow.clear();
                    }
                    same.record = record;
                    same
                }
                None => Loaded {
                    ast: match record.kind {
                        Kind::Decision => self.lang.script(&source).ok(),
                        Kind::Report => None,
                    },
                    outbox: match record.kind {
                        Kind::Report => ReportHook::parse(&source).ok().map(Outbox::new),
                        Kind::Decision => None,
                    },
                    record,
                    suspended: None,
                    faults: VecDeque::new(),
                    slow: VecDeque::new(),
                    budget: (0, OPS_PER_S),
                    in_pass: 0,
                    ops: 0,
                    calls: 0,
                },
            };
            self.set.insert(name, loaded);
        }
        self.order = self.set.keys().cloned().collect();
        self.order.sort_by_key(|n| (self.set[n].record.precedence, n.clone()));
    }

    /// Whether any active plug-in has that hook.
    pub fn has(&self, hook: Hook) -> bool {
        self.set.values().any(|l| l.active() && l.record.hooks.contains(&hook))
    }

    /// Whether any active plug-in advises on passes.
    pub fn steers(&self) -> bool {
        Hook::ALL.into_iter().any(|h| h != Hook::Admit && self.has(h))
    }

    /// Begins a pass.
    pub fn begin_pass(&mut self, now: Time) {
        self.now = now;
        self.set.values_mut().for_each(|l| l.in_pass = 0);
    }

    /// Ends a pass that computed so many scores: what took most of its work makes it slow.
    pub fn end_pass(&mut self, scores: u64) {
        let all: u64 = self.set.values().map(|l| l.in_pass).sum();
        let work = (all + scores * SCORE_OPS) as f64;
        let now = self.now;
        for loaded in self.set.values_mut().filter(|l| l.active()) {
            if loaded.in_pass < SLOW_LEAST || (loaded.in_pass as f64) < SLOW_SHARE * work {
                continue;
            }
            let share = loaded.in_pass as f64 / work * 100.0;
            loaded.slow.push_back(now);
            loaded.slow.retain(|at| now.saturating_sub(*at) <= FAULT_WINDOW_MS);
            if loaded.slow.len() >= SLOW_PASSES {
                let reason = format!("it takes {share:.0}% of the work of passes");
                suspend(loaded, &mut self.fresh, reason);
            }
        }
    }

    /// Plays a hook on two values: a job or a class, and what stands beside it.
    pub fn play(&mut self, hook: Hook, first: &Facts, second: &Second, now: Time) -> Verdict {
        self.now = now;
        let mut said = Vec::new();
        for name in &self.order {
            let Some(loaded) = self.set.get_mut(name) else { continue };
            if !loaded.active() || !loaded.record.hooks.contains(&hook) {
                continue;
            }
            let outcome = call(&self.lang, loaded, hook, first, second, now);
            let (answer, fault) = match outcome {
                Ok(answer) => (answer, None),
                Err(cause) => (None, Some(cause)),
            };
            if let Some(cause) = &fault {
                note_fault(loaded, &mut self.fresh, cause, now);
            }
            said.push(Said { plugin: name.clone(), answer, fault });
        }
        let answers: Vec<Answer> = said.iter().filter_map(|s| s.answer.clone()).collect();
        Verdict { taken: compose(hook, &answers), said }
    }

    /// Plug-ins suspended here since the last call, and why. The caller records it for all.
    pub fn take_suspended(&mut self) -> Vec<(String, String)> {
        std::mem::take(&mut self.fresh)
    }

    /// The record of a plug-in.
    pub fn record(&self, name: &str) -> Option<&PluginRecord> {
        self.set.get(name).map(|l| &l.record)
    }

    /// All plug-ins, in the order in which they speak.
    pub fn show(&self) -> Vec<Shown> {
        let shown = |l: &Loaded| Shown {
            record: PluginRecord {
                state: if l.suspended.is_some() { State::Suspended } else { l.record.state },
                reason: l.suspended.clone().or_else(|| l.record.reason.clone()),
                ..l.record.clone()
            },
            calls: l.calls,
            ops: l.ops,
            faults: l.faults.iter().map(|f| f.1.clone()).collect(),
            delivery: l.outbox.as_ref().map(Outbox::counts),
        };
        self.order.iter().filter_map(|n| self.set.get(n)).map(shown).collect()
    }

    /// Whether any active report hook listens.
    pub fn listens(&self) -> bool {
        self.set.values().any(|l| l.active() && l.outbox.is_some())
    }

    /// Tells the active report hooks of an event.
    pub fn tell(&mut self, event: &outbox::Event) {
        for loaded in self.set.values_mut().filter(|l| l.active()) {
            if let Some(outbox) = &mut loaded.outbox {
                outbox.push(event);
            }
        }
    }

    /// Deliveries that may leave now.
    pub fn deliveries(&mut self, now: Time) -> Vec<outbox::Delivery> {
        let active = self.set.iter_mut().filter(|(_, l)| l.active());
        active.filter_map(|(name, l)| l.outbox.as_mut()?.next(name, now)).collect()
    }

    /// A delivery has ended.
    pub fn delivered(&mut self, name: &str, taken: bool, now: Time) {
        if let Some(outbox) = self.set.get_mut(name).and_then(|l| l.outbox.as_mut()) {
            outbox.ended(taken, now);
        }
    }
}

/// What stands beside the first value of a hook.
#[derive(Debug, Clone)]
pub enum Second {
    /// The cluster.
    Cluster(Facts),
    /// Names of the machine types.
    Types(Vec<String>),
}

impl Second {
    fn value(&self) -> Dynamic {
        match self {
            Second::Cluster(facts) => facts.value(),
            Second::Types(names) => {
                names.iter().map(|n| Dynamic::from(n.clone())).collect::<Vec<Dynamic>>().into()
            }
        }
    }
}

/// One call within its bounds. What a plug-in's second no longer holds is not called: its answer is
/// the default, and no fault.
fn call(
    lang: &Lang,
    loaded: &mut Loaded,
    hook: Hook,
    first: &Facts,
    second: &Second,
    now: Time,
) -> Result<Option<Answer>, String> {
    if now.saturating_sub(loaded.budget.0) >= 1_000 {
        loaded.budget = (now, OPS_PER_S);
    }
    let Some(ast) = loaded.ast.as_ref().filter(|_| loaded.budget.1 > 0) else { return Ok(None) };
    let found = lang.call(ast, hook.name(), vec![first.value(), second.value()]);
    // A call that does next to nothing costs something too: its values are made for it.
    let ops = lang.ops() + CALL_COST;
    loaded.calls += 1;
    loaded.ops += ops;
    loaded.in_pass += ops;
    loaded.budget.1 = loaded.budget.1.saturating_sub(ops);
    found.and_then(|f| read(hook, &f)).map_err(|flaw| flaw.to_string())
}

/// Operations that stand for making the values of a call.
const CALL_COST: u64 = 40;

fn note_fault(loaded: &mut Loaded, fresh: &mut Vec<(String, String)>, cause: &str, now: Time) {
    loaded.faults.push_back((now, cause.to_string()));
    loaded.faults.retain(|(at, _)| now.saturating_sub(*at) <= FAULT_WINDOW_MS);
    if loaded.faults.len() >= FAULTS_MOST {
        let reason = format!("{FAULTS_MOST} faults within a minute, the latest: {cause}");
        suspend(loaded, fresh, reason);
    }
}

fn suspend(loaded: &mut Loaded, fresh: &mut Vec<(String, String)>, reason: String) {
    if loaded.suspended.is_none() {
        loaded.suspended = Some(reason.clone());
        fresh.push((loaded.record.name.clone(), reason));
    }
}

/// Sample values on which a hook may be tried: what `swiftsail check --plugin` does.
pub fn try_hook(source: &str, hook: Hook) -> Result<(), Flaw> {
    let lang = Lang::new(CALL_OPS);
    let ast = lang.script(source)?;
    for n in 0..12 {
        let first = match hook {
            Hook::ClassOrder => Facts::sample(CLASS, n),
            _ => Facts::sample(JOB, n),
        };
        let second = match hook {
            Hook::AvoidTypes => Second::Types(vec!["small".into(), "large".into()]),
            _ => Second::Cluster(Facts::sample(CLUSTER, n)),
        };
        let found = lang.call(&ast, hook.name(), vec![first.value(), second.value()])?;
        read(hook, &found)?;
    }
    Ok(())
}
