//! The calendar and the chains, as operators write them down, and their checker. Times are of the yard's own zone:
//! across a change of daylight saving an arrival stays at its time of day. A time that a day does not have (the hour
//! that is skipped) is the one as long after the change; of a time that a day has twice the first counts.

use crate::constants::*;
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan, Zoned};
use rhai::AST;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_replicated_records::Versioned;
use swiftsail_policy::lang::{Flaw, Lang, unknown};
use swiftsail_tiers::Facts;

/// An arrival that comes again and again, or once on a date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
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
pub struct StepLine {
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
    MARGIN_S
}

/// A chain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChainLine {
    /// Its name.
    pub name: String,
    /// Its steps.
    #[serde(rename = "step")]
    pub steps: Vec<StepLine>,
}

/// Calendar and chains, in a file or in the state service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Form of the record; a file need not name it.
    #[serde(default, rename = "v", skip_serializing)]
    pub form: u32,
    /// Number of the plan: the highest is in force.
    pub version: u64,
    /// Arrivals.
    #[serde(default, rename = "arrival")]
    pub arrivals: Vec<Entry>,
    /// Chains.
    #[serde(default, rename = "chain")]
    pub chains: Vec<ChainLine>,
}

impl Versioned for Plan {
    const FORM: u32 = 1;
}

/// Something in a plan that is not sound: where, and what to do.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{of} `{name}`: {cause}")]
pub struct Flawed {
    /// arrival, chain or step.
    pub of: &'static str,
    /// Its name.
    pub name: String,
    /// What is wrong, and the remedy.
    pub cause: String,
}

fn flawed(of: &'static str, name: &str, cause: impl Into<String>) -> Flawed {
    Flawed { of, name: name.into(), cause: cause.into() }
}

#[derive(Debug)]
struct Times {
    at: Time,
    zone: TimeZone,
    days: BTreeSet<i8>,
    on: Option<Date>,
    except: BTreeSet<Date>,
}

/// A checked plan, compiled.
pub struct Calendar {
    plan: Plan,
    times: Vec<Times>,
    lang: Lang,
    steps: BTreeMap<(usize, usize), AST>,
    order: Vec<Vec<usize>>,
}

impl std::fmt::Debug for Calendar {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Calendar").field("plan", &self.plan).finish_non_exhaustive()
    }
}

const DAYS: [(&str, Weekday); 7] = [
    ("mon", Weekday::Monday),
    ("tue", Weekday::Tuesday),
    ("wed", Weekday::Wednesday),
    ("thu", Weekday::Thursday),
    ("fri", Weekday::Friday),
    ("sat", Weekday::Saturday),
    ("sun", Weekday::Sunday),
];

fn valid_name(name: &str) -> bool {
    let letters = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= NAME_MOST && name.chars().all(letters)
}

impl Calendar {
    /// Compiles and checks a plan.
    pub fn new(plan: Plan) -> Result<Calendar, Flawed> {
        let (entries, chains) = (plan.arrivals.len(), plan.chains.len());
        if entries > ENTRIES_MOST {
            let why = format!(
                "{entries} entries, {ENTRIES_MOST} at most; use `days` for what comes again and again"
            );
            return Err(flawed("calendar", "", why));
        }
        if chains > CHAINS_MOST {
            return Err(flawed("calendar", "", format!("{chains} chains, {CHAINS_MOST} at most")));
        }
        let lang = Lang::new(swiftsail_policy::constants::POLICY_OPS);
        let (mut steps, mut order) = (BTreeMap::new(), Vec::new());
        for (c, chain) in plan.chains.iter().enumerate() {
            order.push(check_chain(&plan.chains[..c], chain)?);
            for (s, step) in chain.steps.iter().enumerate() {
                let of = |flaw: Flaw| flawed("step", &step.name, flaw.to_string());
                let ast = lang.expression(&step.when, &["job"]).map_err(of)?;
                swiftsail_tiers::check::names(&ast).map_err(of)?;
                steps.insert((c, s), ast);
            }
        }
        let mut times = Vec::with_capacity(entries);
        for (n, entry) in plan.arrivals.iter().enumerate() {
            if plan.arrivals[..n].iter().any(|e| e.name == entry.name) {
                return Err(flawed("arrival", &entry.name, "its name is taken; rename it"));
            }
            if !plan.chains.iter().any(|c| c.name == entry.chain) {
                let names = plan.chains.iter().map(|c| c.name.as_str());
                return Err(flawed("arrival", &entry.name, unknown("chain", &entry.chain, names)));
            }
            times.push(check_entry(entry)?);
        }
        Ok(Calendar { plan, times, lang, steps, order })
    }

    /// As it is written down.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// A chain.
    pub fn chain(&self, name: &str) -> Option<&ChainLine> {
        self.plan.chains.iter().find(|c| c.name == name)
    }

    /// The steps of a chain in an order in which each comes behind what it waits for.
    pub fn order_of(&self, name: &str) -> &[usize] {
        let chain = self.plan.chains.iter().position(|c| c.name == name);
        chain.map_or(&[], |n| &self.order[n])
    }

    /// Whether a job does a step of a chain. An expression that fails is false.
    pub fn does(&self, chain: &str, step: usize, facts: &Facts) -> bool {
        let chain = self.plan.chains.iter().position(|c| c.name == chain);
        let ast = chain.and_then(|c| self.steps.get(&(c, step)));
        let Some(ast) = ast else { return false };
        let found = self.lang.eval(ast, vec![("job", facts.dynamic())]);
        found.ok().and_then(|v| v.as_bool().ok()).unwrap_or(false)
    }

    /// Times of day, ms, at which an entry arrives from one time of day to another.
    pub fn times(&self, entry: usize, from_ms: u64, to_ms: u64) -> Vec<u64> {
        let times = &self.times[entry];
        let at = |ms: u64| {
            let stamp = Timestamp::from_millisecond(ms.min(i64::MAX as u64) as i64).ok()?;
            Some(stamp.to_zoned(times.zone.clone()).date())
        };
        let (Some(first), Some(last)) = (at(from_ms), at(to_ms)) else { return Vec::new() };
        let mut found = Vec::new();
        let mut date = times.on.map_or(first, |on| on.max(first));
        while date <= last && times.on.is_none_or(|on| on == date) {
            let day = date.weekday().to_monday_zero_offset();
            let comes = (times.days.is_empty() || times.days.contains(&day))
                && !times.except.contains(&date);
            if let Some(ms) = when(date, times).filter(|ms| comes && (from_ms..to_ms).contains(ms))
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
fn when(date: Date, times: &Times) -> Option<u64> {
    let zoned: Zoned = date.to_datetime(times.at).to_zoned(times.zone.clone()).ok()?;
    u64::try_from(zoned.timestamp().as_millisecond()).ok()
}

fn check_entry(entry: &Entry) -> Result<Times, Flawed> {
    let bad = |cause: String| flawed("arrival", &entry.name, cause);
    if !valid_name(&entry.name) {
        let why = format!("a name has 1 to {NAME_MOST} lower-case letters, digits and dashes");
        return Err(bad(why));
    }
    let at: Time = entry.at.parse().map_err(|_| {
        bad(format!("`at = \"{}\"` is no time of day; write it as 06:30", entry.at))
    })?;
    let zone = TimeZone::get(&entry.zone).map_err(|_| {
        bad(format!("`zone = \"{}\"` is no time zone; write it as Europe/Stockholm", entry.zone))
    })?;
    let date = |text: &String| -> Result<Date, Flawed> {
        text.parse().map_err(|_| bad(format!("`{text}` is no date; write it as 2026-12-24")))
    };
    let mut days = BTreeSet::new();
    for day in &entry.days {
        let found = DAYS.iter().find(|d| d.0 == day);
        let found = found.ok_or_else(|| bad(unknown("day", day, DAYS.iter().map(|d| d.0))))?;
        days.insert(found.1.to_monday_zero_offset());
    }
    let on = entry.on.as_ref().map(date).transpose()?;
    let except = entry.except.iter().map(date).collect::<Result<_, _>>()?;
    if on.is_some() && !days.is_empty() {
        return Err(bad("it names a date and days of the week; drop one".into()));
    }
    Ok(Times { at, zone, days, on, except })
}

/// Checks a chain; gives its steps in an order in which each comes behind what it waits for.
fn check_chain(before: &[ChainLine], chain: &ChainLine) -> Result<Vec<usize>, Flawed> {
    let bad = |cause: String| flawed("chain", &chain.name, cause);
    if !valid_name(&chain.name) || before.iter().any(|c| c.name == chain.name) {
        return Err(
            bad("its name is taken or not of lower-case letters, digits and dashes".into()),
        );
    }
    if chain.steps.is_empty() || chain.steps.len() > STEPS_MOST {
        return Err(bad(format!("it has {} steps; 1 to {STEPS_MOST}", chain.steps.len())));
    }
    let number = |name: &str| chain.steps.iter().position(|s| s.name == name);
    for (n, step) in chain.steps.iter().enumerate() {
        if !valid_name(&step.name) || number(&step.name) != Some(n) {
            return Err(bad(format!("step `{}`: its name is taken or not sound", step.name)));
        }
        if !step.margin_s.is_finite() || !(0.0..=86_400.0).contains(&step.margin_s) {
            return Err(bad(format!("step `{}`: a margin is 0 to 86,400 s", step.name)));
        }
        if let Some(name) = step.after.iter().find(|a| number(a).is_none()) {
            let names = chain.steps.iter().map(|s| s.name.as_str());
            return Err(bad(format!("step `{}`: {}", step.name, unknown("step", name, names))));
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
