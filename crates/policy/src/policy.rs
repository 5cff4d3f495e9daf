//! The policy: expressions that set what placement and fleet may be steered by. The built-in default
//! is itself one.

use crate::constants::*;
use crate::facts::{CLUSTER, Facts, JOB, TEAM};
use crate::lang::{Flaw, Lang};
use rhai::{AST, Dynamic};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a policy sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Knob {
    /// Pruning threshold of a job: a chance at or below it defers.
    Threshold,
    /// Largest share of CPUs on spot machines when one is rented for a job.
    SpotShare,
    /// Misses since the last round that engage dropping.
    Toggle,
    /// Longest line of a slot, the executing task included.
    LineCap,
    /// Time between rounds, s.
    RoundS,
    /// Tasks of each service class for which room is kept.
    Reserve,
    /// Time a machine without tasks is kept, s.
    IdleS,
}

/// All of them: name, whether it is set for each job, least, most, whether whole, default.
const KNOBS: &[(Knob, &str, bool, f64, f64, bool, &str)] = &[
    (Knob::Threshold, "threshold", true, 0.0, 1.0, false, "0.75"),
    (Knob::SpotShare, "spot_share", true, 0.0, 1.0, false, "1.0"),
    (Knob::Toggle, "toggle", false, 1.0, 1e6, true, "1"),
    (Knob::LineCap, "line_cap", false, 1.0, 64.0, true, "6"),
    (Knob::RoundS, "round_s", false, 0.5, 30.0, false, "2.0"),
    (Knob::Reserve, "reserve", false, 0.0, 1000.0, true, "4"),
    (Knob::IdleS, "idle_s", false, 0.0, 3600.0, false, "25.0"),
];

/// Names that a policy may set.
pub fn knob_names() -> impl Iterator<Item = &'static str> {
    KNOBS.iter().map(|k| k.1)
}

#[derive(Debug)]
enum Set {
    /// The same whatever the facts.
    Constant(f64),
    /// To be worked out.
    Expression(Box<AST>),
}

/// A checked policy.
#[derive(Debug)]
pub struct Policy {
    lang: Lang,
    set: BTreeMap<Knob, Set>,
    /// Expressions that have failed at run time: each is told once.
    failed: BTreeMap<Knob, Flaw>,
    told: usize,
}

impl Default for Policy {
    fn default() -> Policy {
        // The built-in expressions are constants; the tests compile them.
        Policy::new(&BTreeMap::new()).unwrap_or_else(|_| Policy {
            lang: Lang::new(POLICY_OPS),
            set: BTreeMap::new(),
            failed: BTreeMap::new(),
            told: 0,
        })
    }
}

impl Policy {
    /// Compiles and tries a policy: expressions by the name of what they set. What is not named has
    /// the built-in default. An error names the expression and the place in it.
    pub fn new(sources: &BTreeMap<String, String>) -> Result<Policy, (String, Flaw)> {
        let lang = Lang::new(POLICY_OPS);
        if let Some(name) = sources.keys().find(|n| !knob_names().any(|k| k == n.as_str())) {
            let cause = crate::lang::unknown("setting of the policy:", name, knob_names());
            return Err((name.clone(), Flaw { line: 0, column: 0, cause }));
        }
        let mut set = BTreeMap::new();
        for (knob, name, by_job, .., default) in KNOBS {
            let source = sources.get(*name).map_or(*default, String::as_str);
            let found = compile(&lang, *knob, source, *by_job);
            set.insert(*knob, found.map_err(|flaw| (name.to_string(), flaw))?);
        }
        Ok(Policy { lang, set, failed: BTreeMap::new(), told: 0 })
    }

    /// Whether something set for each job depends on facts.
    pub fn varies_by_job(&self) -> bool {
        self.varies(true)
    }

    /// Whether something set for all depends on facts.
    pub fn varies_by_cluster(&self) -> bool {
        self.varies(false)
    }

    fn varies(&self, by_job: bool) -> bool {
        let mut knobs = KNOBS.iter().filter(|k| k.2 == by_job);
        knobs.any(|k| matches!(self.set.get(&k.0), Some(Set::Expression(_))))
    }

    /// The value of something set for all.
    pub fn cluster(&mut self, knob: Knob, cluster: &Facts) -> f64 {
        self.value(knob, || vec![("cluster", cluster.value())])
    }

    /// The value of something set for a job.
    pub fn job(&mut self, knob: Knob, job: &Facts, team: &Facts, cluster: &Facts) -> f64 {
        self.value(knob, || {
            vec![("job", job.value()), ("team", team.value()), ("cluster", cluster.value())]
        })
    }

    fn value<'a>(&mut self, knob: Knob, facts: impl FnOnce() -> Vec<(&'a str, Dynamic)>) -> f64 {
        let ast = match self.set.get(&knob) {
            Some(Set::Constant(value)) => return *value,
            Some(Set::Expression(ast)) => ast,
            None => return default_of(knob),
        };
        match self.lang.eval(ast, facts()).and_then(|found| in_range(knob, &found)) {
            Ok(value) => value,
            Err(flaw) => {
                self.failed.entry(knob).or_insert(flaw);
                default_of(knob)
            }
        }
    }

    /// Expressions that failed at run time since the last call, each told once.
    pub fn failures(&mut self) -> Vec<(&'static str, Flaw)> {
        if self.told == self.failed.len() {
            return Vec::new();
        }
        let name = |knob: &Knob| KNOBS.iter().find(|k| k.0 == *knob).map_or("", |k| k.1);
        let fresh = self.failed.iter().map(|(k, f)| (name(k), f.clone())).collect();
        self.told = self.failed.len();
        fresh
    }
}

/// The built-in value.
pub fn default_of(knob: Knob) -> f64 {
    let found = KNOBS.iter().find(|k| k.0 == knob);
    found.and_then(|k| k.6.parse().ok()).unwrap_or(0.0)
}

fn in_range(knob: Knob, found: &Dynamic) -> Result<f64, Flaw> {
    let none = rhai::Position::NONE;
    let Some((.., least, most, whole, _)) = KNOBS.iter().find(|k| k.0 == knob).copied() else {
        return Ok(0.0);
    };
    let number = found.as_float().or_else(|_| found.as_int().map(|n| n as f64));
    let Ok(number) = number else {
        let cause = format!("gives {}; a number is expected", found.type_name());
        return Err(Flaw::at(none, cause));
    };
    if !number.is_finite() || number < least || number > most {
        let cause = format!("gives {number}; a number from {least} to {most} is expected");
        return Err(Flaw::at(none, cause));
    }
    if whole && number.fract() != 0.0 {
        return Err(Flaw::at(none, format!("gives {number}; a whole number is expected")));
    }
    Ok(number)
}

fn compile(lang: &Lang, knob: Knob, source: &str, by_job: bool) -> Result<Set, Flaw> {
    let subjects: &[&str] = if by_job { &["job", "team", "cluster"] } else { &["cluster"] };
    let ast = lang.expression(source, subjects)?;
    // What needs no facts is worked out once.
    let alone = lang.eval(&ast, Vec::new());
    if let Ok(found) = alone {
        return Ok(Set::Constant(in_range(knob, &found)?));
    }
    for n in 0..12 {
        let mut facts = vec![("cluster", Facts::sample(CLUSTER, n).value())];
        if by_job {
            facts.push(("job", Facts::sample(JOB, n).value()));
            facts.push(("team", Facts::sample(TEAM, n).value()));
        }
        let found = lang.eval(&ast, facts)?;
        in_range(knob, &found)?;
    }
    Ok(Set::Expression(Box::new(ast)))
}
