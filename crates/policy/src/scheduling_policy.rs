//! The scheduling policy: parameters of placement and of the machine fleet, each set by an expression. The built-in
//! defaults are expressions too.

use crate::attributes::{AttributeValues, CLUSTER_ATTRIBUTES, JOB_ATTRIBUTES, TEAM_ATTRIBUTES};
use crate::constants::MAX_POLICY_OPS;
use crate::expression_engine::{Diagnostic, ExpressionEngine};
use rhai::{AST, Dynamic};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parameter of the scheduling policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyParameter {
    /// Pruning threshold of a job: a task whose probability of meeting its deadline is at or below it is deferred.
    #[serde(rename = "threshold")]
    PruningThreshold,
    /// Maximum share of CPUs on spot machines when a machine is rented for a job.
    SpotShare,
    /// Number of missed deadlines since the last mapping round that engages task dropping.
    #[serde(rename = "toggle")]
    DroppingToggle,
    /// Maximum length of a slot's run queue, including the executing task.
    #[serde(rename = "line_cap")]
    QueueLimit,
    /// Time between mapping rounds, s.
    #[serde(rename = "round_s")]
    RoundIntervalS,
    /// Number of tasks per service class for which capacity is kept free.
    #[serde(rename = "reserve")]
    ServiceHeadroom,
    /// Time for which a machine without tasks is kept, s.
    #[serde(rename = "idle_s")]
    IdleTimeoutS,
}

/// All parameters: name, whether it is evaluated per job, minimum, maximum, whether it is an integer, default
/// expression.
const POLICY_PARAMETERS: &[(PolicyParameter, &str, bool, f64, f64, bool, &str)] = &[
    (PolicyParameter::PruningThreshold, "threshold", true, 0.0, 1.0, false, "0.75"),
    (PolicyParameter::SpotShare, "spot_share", true, 0.0, 1.0, false, "1.0"),
    (PolicyParameter::DroppingToggle, "toggle", false, 1.0, 1e6, true, "1"),
    (PolicyParameter::QueueLimit, "line_cap", false, 1.0, 64.0, true, "6"),
    (PolicyParameter::RoundIntervalS, "round_s", false, 0.5, 30.0, false, "2.0"),
    (PolicyParameter::ServiceHeadroom, "reserve", false, 0.0, 1000.0, true, "4"),
    (PolicyParameter::IdleTimeoutS, "idle_s", false, 0.0, 3600.0, false, "25.0"),
];

/// Names of all parameters.
pub fn parameter_names() -> impl Iterator<Item = &'static str> {
    POLICY_PARAMETERS.iter().map(|p| p.1)
}

#[derive(Debug)]
enum ParameterValue {
    /// A constant, independent of attributes.
    Constant(f64),
    /// An expression that is evaluated for each use.
    Expression(Box<AST>),
}

/// A compiled and validated policy.
#[derive(Debug)]
pub struct SchedulingPolicy {
    engine: ExpressionEngine,
    parameters: BTreeMap<PolicyParameter, ParameterValue>,
    /// The first failure at run time of each expression that has failed.
    failed: BTreeMap<PolicyParameter, Diagnostic>,
    reported_failures: usize,
}

impl Default for SchedulingPolicy {
    fn default() -> SchedulingPolicy {
        // The built-in expressions are constants, and tests verify that they compile, so the fallback is never used.
        SchedulingPolicy::new(&BTreeMap::new()).unwrap_or_else(|_| SchedulingPolicy {
            engine: ExpressionEngine::new(MAX_POLICY_OPS),
            parameters: BTreeMap::new(),
            failed: BTreeMap::new(),
            reported_failures: 0,
        })
    }
}

impl SchedulingPolicy {
    /// Compiles a policy from expressions by parameter name, and evaluates each on samples. Parameters without an
    /// expression have their built-in default. An error contains the parameter's name and the position in the
    /// expression.
    pub fn new(
        sources: &BTreeMap<String, String>,
    ) -> Result<SchedulingPolicy, (String, Diagnostic)> {
        let engine = ExpressionEngine::new(MAX_POLICY_OPS);
        if let Some(name) = sources.keys().find(|n| !parameter_names().any(|k| k == n.as_str())) {
            let cause = crate::expression_engine::unknown_name_message(
                "setting of the policy:",
                name,
                parameter_names(),
            );
            return Err((name.clone(), Diagnostic { line: 0, column: 0, cause }));
        }
        let mut parameters = BTreeMap::new();
        for (parameter, name, by_job, .., default) in POLICY_PARAMETERS {
            let source = sources.get(*name).map_or(*default, String::as_str);
            let compiled = compile_parameter(&engine, *parameter, source, *by_job);
            parameters
                .insert(*parameter, compiled.map_err(|diagnostic| (name.to_string(), diagnostic))?);
        }
        Ok(SchedulingPolicy { engine, parameters, failed: BTreeMap::new(), reported_failures: 0 })
    }

    /// Whether any parameter that is evaluated per job depends on attributes.
    pub fn has_job_expressions(&self) -> bool {
        self.has_expressions(true)
    }

    /// Whether any parameter that is evaluated for the whole cluster depends on attributes.
    pub fn has_cluster_expressions(&self) -> bool {
        self.has_expressions(false)
    }

    fn has_expressions(&self, by_job: bool) -> bool {
        let mut parameters = POLICY_PARAMETERS.iter().filter(|p| p.2 == by_job);
        parameters.any(|p| matches!(self.parameters.get(&p.0), Some(ParameterValue::Expression(_))))
    }

    /// Value of a parameter that is evaluated for the whole cluster.
    pub fn cluster_value(&mut self, parameter: PolicyParameter, cluster: &AttributeValues) -> f64 {
        self.evaluate_parameter(parameter, || vec![("cluster", cluster.to_dynamic())])
    }

    /// Value of a parameter that is evaluated per job.
    pub fn job_value(
        &mut self,
        parameter: PolicyParameter,
        job: &AttributeValues,
        team: &AttributeValues,
        cluster: &AttributeValues,
    ) -> f64 {
        self.evaluate_parameter(parameter, || {
            vec![
                ("job", job.to_dynamic()),
                ("team", team.to_dynamic()),
                ("cluster", cluster.to_dynamic()),
            ]
        })
    }

    fn evaluate_parameter<'a>(
        &mut self,
        parameter: PolicyParameter,
        subjects: impl FnOnce() -> Vec<(&'a str, Dynamic)>,
    ) -> f64 {
        let ast = match self.parameters.get(&parameter) {
            Some(ParameterValue::Constant(value)) => return *value,
            Some(ParameterValue::Expression(ast)) => ast,
            None => return default_value(parameter),
        };
        match self
            .engine
            .evaluate(ast, subjects())
            .and_then(|value| parse_in_range(parameter, &value))
        {
            Ok(value) => value,
            Err(diagnostic) => {
                self.failed.entry(parameter).or_insert(diagnostic);
                default_value(parameter)
            }
        }
    }

    /// All expressions that have failed at run time, each with its first diagnostic, if any of them is new since the last
    /// call; otherwise an empty list. While an expression fails, the built-in default applies.
    pub fn take_new_failures(&mut self) -> Vec<(&'static str, Diagnostic)> {
        if self.reported_failures == self.failed.len() {
            return Vec::new();
        }
        let name = |parameter: &PolicyParameter| {
            POLICY_PARAMETERS.iter().find(|p| p.0 == *parameter).map_or("", |p| p.1)
        };
        let failures = self.failed.iter().map(|(k, f)| (name(k), f.clone())).collect();
        self.reported_failures = self.failed.len();
        failures
    }
}

/// The built-in default of a parameter.
pub fn default_value(parameter: PolicyParameter) -> f64 {
    let definition = POLICY_PARAMETERS.iter().find(|p| p.0 == parameter);
    definition.and_then(|p| p.6.parse().ok()).unwrap_or(0.0)
}

fn parse_in_range(parameter: PolicyParameter, value: &Dynamic) -> Result<f64, Diagnostic> {
    let none = rhai::Position::NONE;
    let Some((.., min, max, is_integer, _)) =
        POLICY_PARAMETERS.iter().find(|p| p.0 == parameter).copied()
    else {
        return Ok(0.0);
    };
    let number = value.as_float().or_else(|_| value.as_int().map(|n| n as f64));
    let Ok(number) = number else {
        let cause = format!("gives {}; a number is expected", value.type_name());
        return Err(Diagnostic::at_position(none, cause));
    };
    if !number.is_finite() || number < min || number > max {
        let cause = format!("gives {number}; a number from {min} to {max} is expected");
        return Err(Diagnostic::at_position(none, cause));
    }
    if is_integer && number.fract() != 0.0 {
        return Err(Diagnostic::at_position(
            none,
            format!("gives {number}; a whole number is expected"),
        ));
    }
    Ok(number)
}

fn compile_parameter(
    engine: &ExpressionEngine,
    parameter: PolicyParameter,
    source: &str,
    by_job: bool,
) -> Result<ParameterValue, Diagnostic> {
    let subjects: &[&str] = if by_job { &["job", "team", "cluster"] } else { &["cluster"] };
    let ast = engine.compile_expression(source, subjects)?;
    // An expression without attributes is evaluated once, here.
    let constant = engine.evaluate(&ast, Vec::new());
    if let Ok(value) = constant {
        return Ok(ParameterValue::Constant(parse_in_range(parameter, &value)?));
    }
    for n in 0..12 {
        let mut samples =
            vec![("cluster", AttributeValues::sample(CLUSTER_ATTRIBUTES, n).to_dynamic())];
        if by_job {
            samples.push(("job", AttributeValues::sample(JOB_ATTRIBUTES, n).to_dynamic()));
            samples.push(("team", AttributeValues::sample(TEAM_ATTRIBUTES, n).to_dynamic()));
        }
        let value = engine.evaluate(&ast, samples)?;
        parse_in_range(parameter, &value)?;
    }
    Ok(ParameterValue::Expression(Box::new(ast)))
}
