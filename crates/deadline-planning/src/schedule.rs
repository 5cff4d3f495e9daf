//! The schedule and the chains as operators define them, and their validation.
//!
//! An entry's time is in its own time zone: it stays at the same local time when daylight saving time begins or ends. A
//! local time that a day skips is moved forward by the length of the gap (02:30 becomes 03:30); of a local time that a
//! day has twice, the first counts.

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

/// An entry of the schedule: it recurs daily or on days of the week, or occurs once on a date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduleEntry {
    /// Name of the entry, unique in the schedule.
    pub name: String,
    /// The site that it concerns; informational.
    #[serde(default)]
    pub yard: String,
    /// The carrier that it concerns; informational.
    #[serde(default)]
    pub haulier: String,
    /// Name of the chain that must be done before the entry's time.
    pub chain: String,
    /// Local time of day, such as `06:30`.
    pub at: String,
    /// IANA time zone, such as `Europe/Stockholm`.
    pub zone: String,
    /// Days of the week on which it occurs, such as `mon`; empty: every day.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub days: Vec<String>,
    /// The only date on which it occurs, such as `2026-12-24`; none: it recurs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub on: Option<String>,
    /// Dates on which it does not occur.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub except: Vec<String>,
}

/// A step of a chain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepDefinition {
    /// Name of the step, unique in the chain.
    pub name: String,
    /// Boolean expression over the attributes of a job's specification: jobs for which it is true perform the step.
    pub when: String,
    /// Names of the steps that must be done before this one begins.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<String>,
    /// Slack between the step's deadline and whatever follows it, s.
    #[serde(default = "default_margin_s")]
    pub margin_s: f64,
}

fn default_margin_s() -> f64 {
    DEFAULT_MARGIN_S
}

/// A chain: steps that must be done for each occurrence of an entry, with their order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChainDefinition {
    /// Name of the chain, unique in the plan.
    pub name: String,
    /// The steps, in any order.
    #[serde(rename = "step")]
    pub steps: Vec<StepDefinition>,
}

/// Schedule and chains as written in a file or stored in the state service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeadlinePlan {
    /// Format version of the record; optional in a file.
    #[serde(default, rename = "v", skip_serializing)]
    pub format_version: u32,
    /// Version of the plan: the plan with the highest version is in force.
    pub version: u64,
    /// Entries of the schedule.
    #[serde(default, rename = "arrival")]
    pub entries: Vec<ScheduleEntry>,
    /// The chains that the entries refer to.
    #[serde(default, rename = "chain")]
    pub chains: Vec<ChainDefinition>,
}

impl Versioned for DeadlinePlan {
    const FORMAT_VERSION: u32 = 1;
}

/// Why a plan is invalid. The text is sent to operators.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{subject} `{name}`: {cause}")]
pub struct PlanError {
    /// Kind of the invalid part: `calendar`, `arrival`, `chain` or `step`.
    pub subject: &'static str,
    /// Name of the invalid part; empty for the schedule as a whole.
    pub name: String,
    /// What is wrong, and the remedy.
    pub cause: String,
}

fn plan_error(subject: &'static str, name: &str, cause: impl Into<String>) -> PlanError {
    PlanError { subject, name: name.into(), cause: cause.into() }
}

/// When an entry occurs, parsed from its texts.
#[derive(Debug)]
struct EntryTimes {
    time_of_day: Time,
    zone: TimeZone,
    /// Days of the week, Monday is 0; empty: every day.
    days: BTreeSet<i8>,
    only_date: Option<Date>,
    excluded_dates: BTreeSet<Date>,
}

/// A validated plan with its times parsed and its expressions compiled.
pub struct DeadlineSchedule {
    plan: DeadlinePlan,
    /// Times of each entry, by its index in the plan.
    entry_times: Vec<EntryTimes>,
    engine: ExpressionEngine,
    /// Compiled expressions, by the indices of chain and step.
    step_expressions: BTreeMap<(usize, usize), AST>,
    /// Topological order of the steps of each chain, by the chain's index.
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
    let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_name_char)
}

impl DeadlineSchedule {
    /// Validates and compiles a plan. An error names the invalid part and the remedy.
    pub fn new(plan: DeadlinePlan) -> Result<DeadlineSchedule, PlanError> {
        let (entries, chains) = (plan.entries.len(), plan.chains.len());
        if entries > MAX_SCHEDULE_ENTRIES {
            let cause = format!(
                "{entries} entries, {MAX_SCHEDULE_ENTRIES} at most; use `days` for what comes again and again"
            );
            return Err(plan_error("calendar", "", cause));
        }
        if chains > MAX_CHAINS {
            return Err(plan_error(
                "calendar",
                "",
                format!("{chains} chains, {MAX_CHAINS} at most"),
            ));
        }
        let engine = ExpressionEngine::new(swiftsail_policy::constants::MAX_POLICY_OPS);
        let (mut step_expressions, mut topological_orders) = (BTreeMap::new(), Vec::new());
        for (chain_index, chain) in plan.chains.iter().enumerate() {
            topological_orders.push(validate_chain(&plan.chains[..chain_index], chain)?);
            for (step_index, step) in chain.steps.iter().enumerate() {
                let step_error =
                    |diagnostic: Diagnostic| plan_error("step", &step.name, diagnostic.to_string());
                let ast = engine.compile_expression(&step.when, &["job"]).map_err(step_error)?;
                swiftsail_tiers::validation::validate_attribute_names(&ast).map_err(step_error)?;
                step_expressions.insert((chain_index, step_index), ast);
            }
        }
        let mut entry_times = Vec::with_capacity(entries);
        for (index, entry) in plan.entries.iter().enumerate() {
            if plan.entries[..index].iter().any(|earlier| earlier.name == entry.name) {
                return Err(plan_error("arrival", &entry.name, "its name is taken; rename it"));
            }
            if !plan.chains.iter().any(|chain| chain.name == entry.chain) {
                let names = plan.chains.iter().map(|chain| chain.name.as_str());
                return Err(plan_error(
                    "arrival",
                    &entry.name,
                    unknown_name_message("chain", &entry.chain, names),
                ));
            }
            entry_times.push(validate_entry(entry)?);
        }
        Ok(DeadlineSchedule { plan, entry_times, engine, step_expressions, topological_orders })
    }

    /// The plan that the schedule was compiled from.
    pub fn plan(&self) -> &DeadlinePlan {
        &self.plan
    }

    /// The chain of this name.
    pub fn chain(&self, name: &str) -> Option<&ChainDefinition> {
        self.plan.chains.iter().find(|chain| chain.name == name)
    }

    /// Indices of the steps of the named chain in a topological order; empty if there is no such chain.
    pub fn topological_order(&self, name: &str) -> &[usize] {
        let chain = self.plan.chains.iter().position(|chain| chain.name == name);
        chain.map_or(&[], |index| &self.topological_orders[index])
    }

    /// Whether a job performs the step with this index of the named chain. False if the step's expression fails.
    pub fn job_matches_step(&self, chain: &str, step: usize, job: &JobAttributes) -> bool {
        let chain = self.plan.chains.iter().position(|definition| definition.name == chain);
        let ast = chain.and_then(|index| self.step_expressions.get(&(index, step)));
        let Some(ast) = ast else { return false };
        let value = self.engine.evaluate(ast, vec![("job", job.to_dynamic())]);
        value.ok().and_then(|value| value.as_bool().ok()).unwrap_or(false)
    }

    /// Wall-clock times, ms since the Unix epoch, at which the entry with this index occurs from `from_ms` on and
    /// before `to_ms`.
    pub fn occurrences_between(&self, entry: usize, from_ms: u64, to_ms: u64) -> Vec<u64> {
        let times = &self.entry_times[entry];
        let local_date = |ms: u64| {
            let timestamp = Timestamp::from_millisecond(ms.min(i64::MAX as u64) as i64).ok()?;
            Some(timestamp.to_zoned(times.zone.clone()).date())
        };
        let (Some(first), Some(last)) = (local_date(from_ms), local_date(to_ms)) else {
            return Vec::new();
        };
        let mut occurrences = Vec::new();
        let mut date = times.only_date.map_or(first, |only| only.max(first));
        while date <= last && times.only_date.is_none_or(|only| only == date) {
            let day = date.weekday().to_monday_zero_offset();
            let occurs = (times.days.is_empty() || times.days.contains(&day))
                && !times.excluded_dates.contains(&date);
            if let Some(ms) =
                occurrence_time(date, times).filter(|ms| occurs && (from_ms..to_ms).contains(ms))
            {
                occurrences.push(ms);
            }
            match date.checked_add(1.day()) {
                Ok(next) => date = next,
                Err(_) => break,
            }
        }
        occurrences
    }
}

/// The entry's time on a date, ms since the Unix epoch. None for times before the epoch or out of range.
fn occurrence_time(date: Date, times: &EntryTimes) -> Option<u64> {
    let zoned: Zoned = date.to_datetime(times.time_of_day).to_zoned(times.zone.clone()).ok()?;
    u64::try_from(zoned.timestamp().as_millisecond()).ok()
}

/// Validates an entry's texts and parses its times.
fn validate_entry(entry: &ScheduleEntry) -> Result<EntryTimes, PlanError> {
    let entry_error = |cause: String| plan_error("arrival", &entry.name, cause);
    if !is_valid_name(&entry.name) {
        let cause =
            format!("a name has 1 to {MAX_NAME_BYTES} lower-case letters, digits and dashes");
        return Err(entry_error(cause));
    }
    let time_of_day: Time = entry.at.parse().map_err(|_| {
        entry_error(format!("`at = \"{}\"` is no time of day; write it as 06:30", entry.at))
    })?;
    let zone = TimeZone::get(&entry.zone).map_err(|_| {
        entry_error(format!(
            "`zone = \"{}\"` is no time zone; write it as Europe/Stockholm",
            entry.zone
        ))
    })?;
    let parse_date = |text: &String| -> Result<Date, PlanError> {
        text.parse()
            .map_err(|_| entry_error(format!("`{text}` is no date; write it as 2026-12-24")))
    };
    let mut days = BTreeSet::new();
    for name in &entry.days {
        let day = WEEKDAYS.iter().find(|weekday| weekday.0 == name);
        let day = day.ok_or_else(|| {
            let names = WEEKDAYS.iter().map(|weekday| weekday.0);
            entry_error(unknown_name_message("day", name, names))
        })?;
        days.insert(day.1.to_monday_zero_offset());
    }
    let only_date = entry.on.as_ref().map(parse_date).transpose()?;
    let excluded_dates = entry.except.iter().map(parse_date).collect::<Result<_, _>>()?;
    if only_date.is_some() && !days.is_empty() {
        return Err(entry_error("it names a date and days of the week; drop one".into()));
    }
    Ok(EntryTimes { time_of_day, zone, days, only_date, excluded_dates })
}

/// Validates a chain, `earlier` being the chains before it in the plan. Returns the indices of its steps in a
/// topological order.
fn validate_chain(
    earlier: &[ChainDefinition],
    chain: &ChainDefinition,
) -> Result<Vec<usize>, PlanError> {
    let chain_error = |cause: String| plan_error("chain", &chain.name, cause);
    if !is_valid_name(&chain.name) || earlier.iter().any(|other| other.name == chain.name) {
        return Err(chain_error(
            "its name is taken or not of lower-case letters, digits and dashes".into(),
        ));
    }
    if chain.steps.is_empty() || chain.steps.len() > MAX_CHAIN_STEPS {
        return Err(chain_error(format!(
            "it has {} steps; 1 to {MAX_CHAIN_STEPS}",
            chain.steps.len()
        )));
    }
    let step_index = |name: &str| chain.steps.iter().position(|step| step.name == name);
    for (index, step) in chain.steps.iter().enumerate() {
        if !is_valid_name(&step.name) || step_index(&step.name) != Some(index) {
            return Err(chain_error(format!(
                "step `{}`: its name is taken or not sound",
                step.name
            )));
        }
        if !step.margin_s.is_finite() || !(0.0..=86_400.0).contains(&step.margin_s) {
            return Err(chain_error(format!("step `{}`: a margin is 0 to 86,400 s", step.name)));
        }
        if let Some(name) = step.after.iter().find(|name| step_index(name).is_none()) {
            let names = chain.steps.iter().map(|step| step.name.as_str());
            return Err(chain_error(format!(
                "step `{}`: {}",
                step.name,
                unknown_name_message("step", name, names)
            )));
        }
    }
    let mut order: Vec<usize> = Vec::with_capacity(chain.steps.len());
    while order.len() < chain.steps.len() {
        let is_next = |index: &usize| {
            let is_ordered =
                |name: &String| step_index(name).is_some_and(|other| order.contains(&other));
            !order.contains(index) && chain.steps[*index].after.iter().all(is_ordered)
        };
        match (0..chain.steps.len()).find(is_next) {
            Some(index) => order.push(index),
            None => {
                let cyclic = (0..chain.steps.len()).filter(|index| !order.contains(index));
                let names: Vec<&str> =
                    cyclic.map(|index| chain.steps[index].name.as_str()).collect();
                let names = names.join(", ");
                return Err(chain_error(format!(
                    "its steps wait for each other in a circle ({names}); drop one `after`"
                )));
            }
        }
    }
    Ok(order)
}
