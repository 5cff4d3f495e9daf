//! The table of tiers: named, ordered, each with an expression over what a job asks for. What changes while a
//! job waits is out of its reach, or the line would change with it.

use crate::check::{self, Flawed};
use crate::constants::*;
use rhai::{AST, Dynamic, Map};
use serde::{Deserialize, Serialize};
use std::fmt;
use swiftsail_replicated_records::Versioned;
use swiftsail_policy::lang::{Flaw, Lang};

/// A job's priority, the highest last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Rank {
    Low,
    Normal,
    High,
    Production,
}

impl Rank {
    /// All of them, the lowest first.
    pub const ALL: [Rank; 4] = [Rank::Low, Rank::Normal, Rank::High, Rank::Production];

    /// As expressions name it.
    pub fn name(self) -> &'static str {
        ["low", "normal", "high", "production"][self as usize]
    }
}

/// A job's shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Shape {
    Array,
    Gang,
    Service,
}

impl Shape {
    /// All of them.
    pub const ALL: [Shape; 3] = [Shape::Array, Shape::Gang, Shape::Service];

    /// As expressions name it.
    pub fn name(self) -> &'static str {
        ["array", "gang", "service"][self as usize]
    }
}

/// What expressions may know of a job: what it asked for when it was accepted.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct Facts {
    pub id: String,
    pub class: String,
    pub team: String,
    pub kind: Shape,
    pub priority: Rank,
    pub tasks: i64,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image_gb: f64,
    pub estimate_s: f64,
    pub spot: bool,
}

/// The attributes, by the names under which they stand.
pub const ATTRIBUTES: &[&str] = &[
    "id",
    "class",
    "team",
    "kind",
    "priority",
    "tasks",
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimate_s",
    "spot",
];

impl Facts {
    fn value(&self) -> Dynamic {
        let mut map = Map::new();
        let mut set = |name: &str, value: Dynamic| drop(map.insert(name.into(), value));
        set("id", self.id.clone().into());
        set("class", self.class.clone().into());
        set("team", self.team.clone().into());
        set("kind", self.kind.name().into());
        set("priority", self.priority.name().into());
        set("tasks", self.tasks.into());
        set("cpus", self.cpus.into());
        set("gpus", self.gpus.into());
        set("memory_gb", self.memory_gb.into());
        set("image_gb", self.image_gb.into());
        set("estimate_s", self.estimate_s.into());
        set("spot", self.spot.into());
        map.into()
    }
}

/// The name of what is of no tier.
pub const REST: &str = "rest";

/// A tier as it is written down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierLine {
    /// Its name.
    pub name: String,
    /// Which jobs are of it: those of no earlier tier for which this is true.
    pub when: String,
    /// Its work is served in the order of acceptance, which nothing moves; else the mapper chooses within it.
    #[serde(default)]
    pub ordered: bool,
}

/// A table as it is written down, in a file or in the state service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableRecord {
    /// Form of the record; a file need not name it.
    #[serde(default, rename = "v", skip_serializing)]
    pub form: u32,
    /// Number of the table: the highest is in force.
    pub version: u64,
    /// The tiers, the first first.
    #[serde(rename = "tier")]
    pub tiers: Vec<TierLine>,
}

impl Versioned for TableRecord {
    const FORM: u32 = 1;
}

impl Default for TableRecord {
    /// What holds without a table: services of production first, in the order of acceptance; then by priority.
    fn default() -> TableRecord {
        let core = r#"job.priority == "production" && job.kind == "service""#;
        let tier = TierLine { name: "core".into(), when: core.into(), ordered: true };
        TableRecord { form: 0, version: 0, tiers: vec![tier] }
    }
}

/// A checked table, compiled.
pub struct Table {
    record: TableRecord,
    lang: Lang,
    compiled: Vec<AST>,
}

impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Table").field("record", &self.record).finish_non_exhaustive()
    }
}

impl Default for Table {
    fn default() -> Table {
        // The built-in table is sound: the tests compile it.
        Table::compile(TableRecord::default()).unwrap_or_else(|_| Table {
            record: TableRecord { form: 0, version: 0, tiers: Vec::new() },
            lang: Lang::new(OPS),
            compiled: Vec::new(),
        })
    }
}

/// Where a job stands in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tiers {
    /// Number of its tier; the number of all for what is of none.
    pub tier: u8,
    /// Its tier is served in the order of acceptance.
    pub ordered: bool,
}

impl Table {
    /// Compiles and checks a table, also on jobs made up for it. An error names the tier, the place and the
    /// remedy.
    pub fn new(record: TableRecord) -> Result<Table, Flawed> {
        let table = Table::compile(record)?;
        check::trial(&table)?;
        Ok(table)
    }

    /// Compiles a table that was tried before it was written down.
    pub fn compile(record: TableRecord) -> Result<Table, Flawed> {
        let lang = Lang::new(OPS);
        let mut compiled = Vec::with_capacity(record.tiers.len());
        check::form(&record)?;
        for (number, tier) in record.tiers.iter().enumerate() {
            let flawed = |flaw: Flaw| Flawed::of(&record, number, flaw);
            let ast = lang.expression(&tier.when, &["job"]).map_err(flawed)?;
            check::names(&ast).map_err(flawed)?;
            compiled.push(ast);
        }
        Ok(Table { record, lang, compiled })
    }

    /// As it is written down.
    pub fn record(&self) -> &TableRecord {
        &self.record
    }

    /// Its number.
    pub fn version(&self) -> u64 {
        self.record.version
    }

    /// Compiled expressions.
    pub(crate) fn compiled(&self) -> &[AST] {
        &self.compiled
    }

    /// Whether a tier's expression is true of a job.
    pub(crate) fn says(&self, number: usize, facts: &Dynamic) -> Result<bool, Flaw> {
        let found = self.lang.eval(&self.compiled[number], vec![("job", facts.clone())])?;
        found.as_bool().map_err(|kind| Flaw {
            line: 0,
            column: 0,
            cause: format!("gives {kind}; true or false is expected"),
        })
    }

    /// The tier of a job by the expressions. One that fails is false: the job is then of a later tier, and waits.
    pub fn judge(&self, facts: &Facts) -> usize {
        let value = facts.value();
        let of = |n: &usize| self.says(*n, &value).unwrap_or(false);
        (0..self.compiled.len()).find(of).unwrap_or(self.compiled.len())
    }

    /// The name of a tier.
    pub fn name(&self, number: usize) -> &str {
        self.record.tiers.get(number).map_or(REST, |t| &t.name)
    }

    /// The name of the tier that takes a job now.
    pub fn accepts_as(&self, facts: &Facts) -> &str {
        self.name(self.judge(facts))
    }

    /// Where a job stands whose record names the tier that it was accepted into: **the rule by which a new table
    /// meets work that waits.** A tier of that name is the job's, wherever the new table puts it; if there is
    /// none, the new table's expressions judge. Both depend on records alone.
    pub fn place(&self, accepted_as: Option<&str>, facts: &Facts) -> Tiers {
        let named = accepted_as
            .and_then(|name| (0..=self.record.tiers.len()).find(|n| self.name(*n) == name));
        let number = named.unwrap_or_else(|| self.judge(facts));
        let ordered = self.record.tiers.get(number).is_some_and(|t| t.ordered);
        Tiers { tier: number as u8, ordered }
    }
}

impl Facts {
    /// As the language takes it.
    pub fn dynamic(&self) -> Dynamic {
        self.value()
    }
}
