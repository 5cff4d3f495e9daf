//! The policy: expressions that set what placement and fleet may be steered by. The built-in default
//! is itself one.

use crate::attributes::{AttributeValues, CLUSTER_ATTRIBUTES, JOB_ATTRIBUTES, TEAM_ATTRIBUTES};
use crate::constants::MAX_POLICY_OPS;
use crate::expression_engine::{Diagnostic, ExpressionEngine};
use rhai::{AST, Dynamic};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a policy sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyParameter {
    /// Pruning threshold of a job: a chance at or below it defers.
    #[serde(rename = "threshold")]
    PruningThreshold,
    /// Largest share of CPUs on spot machines when one is rented for a job.
    SpotShare,
    /// Misses since the last round that engage dropping.
    #[serde(rename = "toggle")]
    DroppingToggle,
    /// Longest line of a slot, the executing task included.
    #[serde(rename = "line_cap")]
    QueueLimit,
    /// Time between rounds, s.
    #[serde(rename = "round_s")]
    RoundIntervalS,
    /// Tasks of each service class for which room is kept.
    #[serde(rename = "reserve")]
    ServiceHeadroom,
    /// Time a machine without tasks is kept, s.
    #[serde(rename = "idle_s")]
    IdleTimeoutS,
}

/// All of them: name, whether it is set for each job, least, most, whether whole, default.
const POLICY_PARAMETERS: &[(PolicyParameter, &str, bool, f64, f64, bool, &str)] = &[
    (PolicyParameter::PruningThreshold, "threshold", true, 0.0, 1.0, false, "0.75"),
    (PolicyParameter::SpotShare, "spot_share", true, 0.0, 1.0, false, "1.0"),
    (PolicyParameter::DroppingToggle, "toggle", false, 1.0, 1e6, true, "1"),
    (PolicyParameter::QueueLimit, "line_cap", false, 1.0, 64.0, true, "6"),
    (PolicyParameter::RoundIntervalS, "round_s", false, 0.5, 30.0, false, "2.0"),
    (PolicyParameter::ServiceHeadroom, "reserve", false, 0.0, 1000.0, true, "4"),
    (PolicyParameter::IdleTimeoutS, "idle_s", false, 0.0, 3600.0, false, "25.0"),
];

/// Names that a policy may set.
pub fn parameter_names() -> impl Iterator<Item = &'static str> {
    POLICY_PARAMETERS.iter().map(|k| k.1)
}

#[derive(Debug)]
enum ParameterValue {
    /// The same whatever the facts.
    Constant(f64),
    /// To be worked out.
    Expression(Box<AST>),
}

/// A checked policy.
#[derive(Debug)]
pub struct SchedulingPolicy {
    engine: ExpressionEngine,
    parameters: BTreeMap<PolicyParameter, ParameterValue>,
    /// Expressions that have failed at run time: each is told once.
    failed: BTreeMap<PolicyParameter, Diagnostic>,
    reported_failures: usize,
}

impl Default for SchedulingPolicy {
    fn default() -> SchedulingPolicy {
        // The built-in expressions are constants; the tests compile them.
        SchedulingPolicy::new(&BTreeMap::new()).unwrap_or_else(|_| SchedulingPolicy {
            engine: ExpressionEngine::new(MAX_POLICY_OPS),
            parameters: BTreeMap::new(),
            failed: BTreeMap::new(),
            reported_failures: 0,
        })
    }
}

impl SchedulingPolicy {
    /// Compiles and tries a policy: expressions by the name of what they set. What is not named has
    /// the built-in default. An error names the expression and the place in it.
    pub fn new(
        sources: &BTreeMap<String, String>,
    ) -> Result<SchedulingPolicy, (String, Diagnostic)> {
        let lang = ExpressionEngine::new(MAX_POLICY_OPS);
        if let Some(name) = sources.keys().find(|n| !parameter_names().any(|k| k == n.as_str())) {
            let cause = crate::expression_engine::unknown_name_message(
                "setting of the policy:",
                name,
                parameter_names(),
            );
            return Err((name.clone(), Diagnostic { line: 0, column: 0, cause }));
        }
        let mut set = BTreeMap::new();
        for (knob, name, by_job, .., default) in POLICY_PARAMETERS {
            let source = sources.get(*name).map_or(*default, String::as_str);
            let found = compile_parameter(&lang, *knob, source, *by_job);
            set.insert(*knob, found.map_err(|flaw| (name.to_string(), flaw))?);
        }
        Ok(SchedulingPolicy {
            engine: lang,
            parameters: set,
            failed: BTreeMap::new(),
            reported_failures: 0,
        })
    }

    /// Whether something set for each job depends on facts.
    pub fn has_job_expressions(&self) -> bool {
        self.has_expressions(true)
    }

    /// Whether something set for all depends on facts.
    pub fn has_cluster_expressions(&self) -> bool {
        self.has_expressions(false)
    }

    fn has_expressions(&self, by_job: bool) -> bool {
        let mut knobs = POLICY_PARAMETERS.iter().filter(|k| k.2 == by_job);
        knobs.any(|k| matches!(self.parameters.get(&k.0), Some(ParameterValue::Expression(_))))
    }

    /// The value of something set for all.
    pub fn cluster_value(&mut self, knob: PolicyParameter, cluster: &AttributeValues) -> f64 {
        self.evaluate_parameter(knob, || vec![("cluster", cluster.to_dynamic())])
    }

    /// The value of something set for a job.
    pub fn job_value(
        &mut self,
        knob: PolicyParameter,
        job: &AttributeValues,
        team: &AttributeValues,
        cluster: &AttributeValues,
    ) -> f64 {
        self.evaluate_parameter(knob, || {
            vec![
                ("job", job.to_dynamic()),
                ("team", team.to_dynamic()),
                ("cluster", cluster.to_dynamic()),
            ]
        })
    }

    fn evaluate_parameter<'a>(
        &mut self,
        knob: PolicyParameter,
        facts: impl FnOnce() -> Vec<(&'a str, Dynamic)>,
    ) -> f64 {
        let ast = match self.parameters.get(&knob) {
            Some(ParameterValue::Constant(value)) => return *value,
            Some(ParameterValue::Expression(ast)) => ast,
            None => return default_value(knob),
        };
        match self.engine.evaluate(ast, facts()).and_then(|found| parse_in_range(knob, &found)) {
            Ok(value) => value,
            Err(flaw) => {
                self.failed.entry(knob).or_insert(flaw);
                default_value(knob)
            }
        }
    }

    /// Expressions that failed at run time since the last call, each told once.
    pub fn take_new_failures(&mut self) -> Vec<(&'static str, Diagnostic)> {
        if self.reported_failures == self.failed.len() {
            return Vec::new();
        }
        let name = |knob: &PolicyParameter| {
            POLICY_PARAMETERS.iter().find(|k| k.0 == *knob).map_or("", |k| k.1)
        };
        let fresh = self.failed.iter().map(|(k, f)| (name(k), f.clone())).collect();
        self.reported_failures = self.failed.len();
        fresh
    }
}

/// The built-in value.
pub fn default_value(knob: PolicyParameter) -> f64 {
    let found = POLICY_PARAMETERS.iter().find(|k| k.0 == knob);
    found.and_then(|k| k.6.parse().ok()).unwrap_or(0.0)
}

fn parse_in_range(knob: PolicyParameter, found: &Dynamic) -> Result<f64, Diagnostic> {
    let none = rhai::Position::NONE;
    let Some((.., least, most, whole, _)) = POLICY_PARAMETERS.iter().find(|k| k.0 == knob).copied()
    else {
        return Ok(0.0);
    };
    let number = found.as_float().or_else(|_| found.as_int().map(|n| n as f64));
    let Ok(number) = number else {
        let cause = format!("gives {}; a number is expected", found.type_name());
        return Err(Diagnostic::at_position(none, cause));
    };
    if !number.is_finite() || number < least || number > most {
        let cause = format!("gives {number}; a number from {least} to {most} is expected");
        return Err(Diagnostic::at_position(none, cause));
    }
    if whole && number.fract() != 0.0 {
        return Err(Diagnostic::at_position(
            none,
            format!("gives {number}; a whole number is expected"),
        ));
    }
    Ok(number)
}

fn compile_parameter(
    lang: &ExpressionEngine,
    knob: PolicyParameter,
    source: &str,
    by_job: bool,
) -> Result<ParameterValue, Diagnostic> {
    let subjects: &[&str] = if by_job { &["job", "team", "cluster"] } else { &["cluster"] };
    let ast = lang.compile_expression(source, subjects)?;
    // What needs no facts is worked out once.
    let alone = lang.evaluate(&ast, Vec::new());
    if let Ok(found) = alone {
        return Ok(ParameterValue::Constant(parse_in_range(knob, &found)?));
    }
    for n in 0..12 {
        let mut facts =
            vec![("cluster", AttributeValues::sample(CLUSTER_ATTRIBUTES, n).to_dynamic())];
        if by_job {
            facts.push(("job", AttributeValues::sample(JOB_ATTRIBUTES, n).to_dynamic()));
            facts.push(("team", AttributeValues::sample(TEAM_ATTRIBUTES, n).to_dynamic()));
        }
        let found = lang.evaluate(&ast, facts)?;
        parse_in_range(knob, &found)?;
    }
    Ok(ParameterValue::Expression(Box::new(ast)))
}
