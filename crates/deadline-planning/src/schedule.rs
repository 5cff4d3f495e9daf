//! The calendar and the chains, as operators write them down, and their checker. Times are of the yard's own zone:
//! across a change of daylight saving an arrival stays at its time of day. A time that a day does not have (the hour
//! that is skipped) is the one as long after the change; of a time that a day has twice the first counts.

use crate::constants::{
    DEFAULT_MARGIN_S, MAX_CHAIN_STEPS, MAX_CHAINS, MAX_NAME_BYTES, MAX_SCHEDULE_ENTRIES,
};
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan, Zoned};
use rhai::AST;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_policy::expression_engine::{Diagnostic, ExpressionEngine, unknown_name_message};
use swiftsail_replicated_records::Versioned;
use swiftsail_tiers::JobAttributes;

/// An arrival that comes again and again, or once on a date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduleEntry {
    /// Its name.
    pub name: String,
    /// Where.
    #[serde(default)]
    pub yard: String,
    /// Who.
    #[serde(default)]
    pub haulier: String,
    /// The chain that must be done before.
    pub chain: String,
    /// Time of day, as 06:30.
    pub at: String,
    /// Time zone, as Europe/Stockholm.
    pub zone: String,
    /// Days of the week, as mon; none: every day.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub days: Vec<String>,
    /// The only date, as 2026-12-24; none: again and again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub on: Option<String>,
    /// Dates on which it does not come.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub except: Vec<String>,
}

/// A step of a chain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepDefinition {
    /// Its name.
    pub name: String,
    /// Which jobs do it: an expression over what a job asked for.
    pub when: String,
    /// Steps that must be done before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<String>,
    /// Time to spare behind it, s.
    #[serde(default = "margin")]
    pub margin_s: f64,
}

fn margin() -> f64 {
    DEFAULT_MARGIN_S
}

/// A chain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChainDefinition {
    /// Its name.
    pub name: String,
    /// Its steps.
    #[serde(rename = "step")]
    pub steps: Vec<StepDefinition>,
}

/// Calendar and chains, in a file or in the state service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeadlinePlan {
    /// Form of the record; a file need not name it.
    #[serde(default, rename = "v", skip_serializing)]
    pub format_version: u32,
    /// Number of the plan: the highest is in force.
    pub version: u64,
    /// Arrivals.
    #[serde(default, rename = "arrival")]
    pub arrivals: Vec<ScheduleEntry>,
    /// Chains.
    #[serde(default, rename = "chain")]
    pub chains: Vec<ChainDefinition>,
}

impl Versioned for DeadlinePlan {
    const FORMAT_VERSION: u32 = 1;
}

/// Something in a plan that is not sound: where, and what to do.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{of} `{name}`: {cause}")]
pub struct PlanError {
    /// arrival, chain or step.
    pub of: &'static str,
    /// Its name.
    pub name: String,
    /// What is wrong, and the remedy.
    pub cause: String,
}

fn plan_error(of: &'static str, name: &str, cause: impl Into<String>) -> PlanError {
    PlanError { of, name: name.into(), cause: cause.into() }
}

#[derive(Debug)]
struct EntryTimes {
    time_of_day: Time,
    zone: TimeZone,
    days: BTreeSet<i8>,
    only_date: Option<Date>,
    excluded_dates: BTreeSet<Date>,
}

/// A checked plan, compiled.
pub struct DeadlineSchedule {
    plan: DeadlinePlan,
    entry_times: Vec<EntryTimes>,
    engine: ExpressionEngine,
    step_expressions: BTreeMap<(usize, usize), AST>,
    topological_orders: Vec<Vec<usize>>,
}

impl std::fmt::Debug for DeadlineSchedule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Calendar").field("plan", &self.plan).finish_non_exhaustive()
    }
}

const WEEKDAYS: [(&str, Weekday); 7] = [
    ("mon", Weekday::Monday),
    ("tue", Weekday::Tuesday),
    ("wed", Weekday::Wednesday),
    ("thu", Weekday::Thursday),
    ("fri", Weekday::Friday),
    ("sat", Weekday::Saturday),
    ("sun", Weekday::Sunday),
];

fn is_valid_name(name: &str) -> bool {
    let letters = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(letters)
}

impl DeadlineSchedule {
    /// Compiles and checks a plan.
    pub fn new(plan: DeadlinePlan) -> Result<DeadlineSchedule, PlanError> {
        let (entries, chains) = (plan.arrivals.len(), plan.chains.len());
        if entries > MAX_SCHEDULE_ENTRIES {
            let why = format!(
                "{entries} entries, {MAX_SCHEDULE_ENTRIES} at most; use `days` for what comes again and again"
            );
            return Err(plan_error("calendar", "", why));
        }
        if chains > MAX_CHAINS {
            return Err(plan_error(
                "calendar",
                "",
                format!("{chains} chains, {MAX_CHAINS} at most"),
            ));
        }
        let lang = ExpressionEngine::new(swiftsail_policy::constants::MAX_POLICY_OPS);
        let (mut steps, mut order) = (BTreeMap::new(), Vec::new());
        for (c, chain) in plan.chains.iter().enumerate() {
            order.push(validate_chain(&plan.chains[..c], chain)?);
            for (s, step) in chain.steps.iter().enumerate() {
                let of = |flaw: Diagnostic| plan_error("step", &step.name, flaw.to_string());
                let ast = lang.compile_expression(&step.when, &["job"]).map_err(of)?;
                swiftsail_tiers::validation::validate_attribute_names(&ast).map_err(of)?;
                steps.insert((c, s), ast);
            }
        }
        let mut times = Vec::with_capacity(entries);
        for (n, entry) in plan.arrivals.iter().enumerate() {
            if plan.arrivals[..n].iter().any(|e| e.name == entry.name) {
                return Err(plan_error("arrival", &entry.name, "its name is taken; rename it"));
            }
            if !plan.chains.iter().any(|c| c.name == entry.chain) {
                let names = plan.chains.iter().map(|c| c.name.as_str());
                return Err(plan_error(
                    "arrival",
                    &entry.name,
                    unknown_name_message("chain", &entry.chain, names),
                ));
            }
            times.push(validate_entry(entry)?);
        }
        Ok(DeadlineSchedule {
            plan,
            entry_times: times,
            engine: lang,
            step_expressions: steps,
            topological_orders: order,
        })
    }

    /// As it is written down.
    pub fn plan(&self) -> &DeadlinePlan {
        &self.plan
    }

    /// A chain.
    pub fn chain(&self, name: &str) -> Option<&ChainDefinition> {
        self.plan.chains.iter().find(|c| c.name == name)
    }

    /// The steps of a chain in an order in which each comes behind what it waits for.
    pub fn topological_order(&self, name: &str) -> &[usize] {
        let chain = self.plan.chains.iter().position(|c| c.name == name);
        chain.map_or(&[], |n| &self.topological_orders[n])
    }

    /// Whether a job does a step of a chain. An expression that fails is false.
    pub fn job_matches_step(&self, chain: &str, step: usize, facts: &JobAttributes) -> bool {
        let chain = self.plan.chains.iter().position(|c| c.name == chain);
        let ast = chain.and_then(|c| self.step_expressions.get(&(c, step)));
        let Some(ast) = ast else { return false };
        let found = self.engine.evaluate(ast, vec![("job", facts.to_dynamic())]);
        found.ok().and_then(|v| v.as_bool().ok()).unwrap_or(false)
    }

    /// Times of day, ms, at which an entry arrives from one time of day to another.
    pub fn occurrences_between(&self, entry: usize, from_ms: u64, to_ms: u64) -> Vec<u64> {
        let times = &self.entry_times[entry];
        let at = |ms: u64| {
            let stamp = Timestamp::from_millisecond(ms.min(i64::MAX as u64) as i64).ok()?;
            Some(stamp.to_zoned(times.zone.clone()).date())
        };
        let (Some(first), Some(last)) = (at(from_ms), at(to_ms)) else { return Vec::new() };
        let mut found = Vec::new();
        let mut date = times.only_date.map_or(first, |on| on.max(first));
        while date <= last && times.only_date.is_none_or(|on| on == date) {
            let day = date.weekday().to_monday_zero_offset();
            let comes = (times.days.is_empty() || times.days.contains(&day))
                && !times.excluded_dates.contains(&date);
            if let Some(ms) =
                occurrence_time(date, times).filter(|ms| comes && (from_ms..to_ms).contains(ms))
            {
                found.push(ms);
            }
            match date.checked_add(1.day()) {
                Ok(next) => date = next,
                Err(_) => break,
            }
        }
        found
    }
}

/// A date and the entry's time of day, as ms since the epoch.
fn occurrence_time(date: Date, times: &EntryTimes) -> Option<u64> {
    let zoned: Zoned = date.to_datetime(times.time_of_day).to_zoned(times.zone.clone()).ok()?;
    u64::try_from(zoned.timestamp().as_millisecond()).ok()
}

fn validate_entry(entry: &ScheduleEntry) -> Result<EntryTimes, PlanError> {
    let bad = |cause: String| plan_error("arrival", &entry.name, cause);
    if !is_valid_name(&entry.name) {
        let why = format!("a name has 1 to {MAX_NAME_BYTES} lower-case letters, digits and dashes");
        return Err(bad(why));
    }
    let at: Time = entry.at.parse().map_err(|_| {
        bad(format!("`at = \"{}\"` is no time of day; write it as 06:30", entry.at))
    })?;
    let zone = TimeZone::get(&entry.zone).map_err(|_| {
        bad(format!("`zone = \"{}\"` is no time zone; write it as Europe/Stockholm", entry.zone))
    })?;
    let date = |text: &String| -> Result<Date, PlanError> {
        text.parse().map_err(|_| bad(format!("`{text}` is no date; write it as 2026-12-24")))
    };
    let mut days = BTreeSet::new();
    for day in &entry.days {
        let found = WEEKDAYS.iter().find(|d| d.0 == day);
        let found = found
            .ok_or_else(|| bad(unknown_name_message("day", day, WEEKDAYS.iter().map(|d| d.0))))?;
        days.insert(found.1.to_monday_zero_offset());
    }
    let on = entry.on.as_ref().map(date).transpose()?;
    let except = entry.except.iter().map(date).collect::<Result<_, _>>()?;
    if on.is_some() && !days.is_empty() {
        return Err(bad("it names a date and days of the week; drop one".into()));
    }
    Ok(EntryTimes { time_of_day: at, zone, days, only_date: on, excluded_dates: except })
}

/// Checks a chain; gives its steps in an order in which each comes behind what it waits for.
fn validate_chain(
    before: &[ChainDefinition],
    chain: &ChainDefinition,
) -> Result<Vec<usize>, PlanError> {
    let bad = |cause: String| plan_error("chain", &chain.name, cause);
    if !is_valid_name(&chain.name) || before.iter().any(|c| c.name == chain.name) {
        return Err(
            bad("its name is taken or not of lower-case letters, digits and dashes".into()),
        );
    }
    if chain.steps.is_empty() || chain.steps.len() > MAX_CHAIN_STEPS {
        return Err(bad(format!("it has {} steps; 1 to {MAX_CHAIN_STEPS}", chain.steps.len())));
    }
    let number = |name: &str| chain.steps.iter().position(|s| s.name == name);
    for (n, step) in chain.steps.iter().enumerate() {
        if !is_valid_name(&step.name) || number(&step.name) != Some(n) {
            return Err(bad(format!("step `{}`: its name is taken or not sound", step.name)));
        }
        if !step.margin_s.is_finite() || !(0.0..=86_400.0).contains(&step.margin_s) {
            return Err(bad(format!("step `{}`: a margin is 0 to 86,400 s", step.name)));
        }
        if let Some(name) = step.after.iter().find(|a| number(a).is_none()) {
            let names = chain.steps.iter().map(|s| s.name.as_str());
            return Err(bad(format!(
                "step `{}`: {}",
                step.name,
                unknown_name_message("step", name, names)
            )));
        }
    }
    let mut order: Vec<usize> = Vec::with_capacity(chain.steps.len());
    while order.len() < chain.steps.len() {
        let free = |n: &usize| {
            let done = |a: &String| number(a).is_some_and(|m| order.contains(&m));
            !order.contains(n) && chain.steps[*n].after.iter().all(done)
        };
        match (0..chain.steps.len()).find(free) {
            Some(n) => order.push(n),
            None => {
                let left = (0..chain.steps.len()).filter(|n| !order.contains(n));
                let names: Vec<&str> = left.map(|n| chain.steps[n].name.as_str()).collect();
                let names = names.join(", ");
                return Err(bad(format!(
                    "its steps wait for each other in a circle ({names}); drop one `after`"
                )));
            }
        }
    }
    Ok(order)
}
