//! The table of tiers: named, ordered, each with an expression over what a job asks for. What changes while a
//! job waits is out of its reach, or the line would change with it.

use crate::constants::MAX_EXPRESSION_OPS;
use crate::validation::{self, TierTableError};
use rhai::{AST, Dynamic, Map};
use serde::{Deserialize, Serialize};
use std::fmt;
use swiftsail_policy::expression_engine::{Diagnostic, ExpressionEngine};
use swiftsail_replicated_records::Versioned;

/// A job's priority, the highest last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum JobPriorityAttribute {
    Low,
    Normal,
    High,
    Production,
}

impl JobPriorityAttribute {
    /// All of them, the lowest first.
    pub const ALL: [JobPriorityAttribute; 4] = [
        JobPriorityAttribute::Low,
        JobPriorityAttribute::Normal,
        JobPriorityAttribute::High,
        JobPriorityAttribute::Production,
    ];

    /// As expressions name it.
    pub fn name(self) -> &'static str {
        ["low", "normal", "high", "production"][self as usize]
    }
}

/// A job's shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum JobKindAttribute {
    Array,
    Gang,
    Service,
}

impl JobKindAttribute {
    /// All of them.
    pub const ALL: [JobKindAttribute; 3] =
        [JobKindAttribute::Array, JobKindAttribute::Gang, JobKindAttribute::Service];

    /// As expressions name it.
    pub fn name(self) -> &'static str {
        ["array", "gang", "service"][self as usize]
    }
}

/// What expressions may know of a job: what it asked for when it was accepted.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct JobAttributes {
    pub id: String,
    pub class: String,
    pub team: String,
    pub kind: JobKindAttribute,
    pub priority: JobPriorityAttribute,
    pub tasks: i64,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image_gb: f64,
    pub estimate_s: f64,
    pub spot: bool,
}

/// The attributes, by the names under which they stand.
pub const ATTRIBUTE_NAMES: &[&str] = &[
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

impl JobAttributes {
    fn to_dynamic_map(&self) -> Dynamic {
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
pub const UNTIERED_NAME: &str = "rest";

/// A tier as it is written down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierDefinition {
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
pub struct TierTableRecord {
    /// Form of the record; a file need not name it.
    #[serde(default, rename = "v", skip_serializing)]
    pub format_version: u32,
    /// Number of the table: the highest is in force.
    pub version: u64,
    /// The tiers, the first first.
    #[serde(rename = "tier")]
    pub tiers: Vec<TierDefinition>,
}

impl Versioned for TierTableRecord {
    const FORMAT_VERSION: u32 = 1;
}

impl Default for TierTableRecord {
    /// What holds without a table: services of production first, in the order of acceptance; then by priority.
    fn default() -> TierTableRecord {
        let core = r#"job.priority == "production" && job.kind == "service""#;
        let tier = TierDefinition { name: "core".into(), when: core.into(), ordered: true };
        TierTableRecord { format_version: 0, version: 0, tiers: vec![tier] }
    }
}

/// A checked table, compiled.
pub struct TierTable {
    record: TierTableRecord,
    engine: ExpressionEngine,
    expressions: Vec<AST>,
}

impl fmt::Debug for TierTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Table").field("record", &self.record).finish_non_exhaustive()
    }
}

impl Default for TierTable {
    fn default() -> TierTable {
        // The built-in table is sound: the tests compile it.
        TierTable::compile(TierTableRecord::default()).unwrap_or_else(|_| TierTable {
            record: TierTableRecord { format_version: 0, version: 0, tiers: Vec::new() },
            engine: ExpressionEngine::new(MAX_EXPRESSION_OPS),
            expressions: Vec::new(),
        })
    }
}

/// Where a job stands in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TierAssignment {
    /// Number of its tier; the number of all for what is of none.
    pub tier: u8,
    /// Its tier is served in the order of acceptance.
    pub ordered: bool,
}

impl TierTable {
    /// Compiles and checks a table, also on jobs made up for it. An error names the tier, the place and the
    /// remedy.
    pub fn new(record: TierTableRecord) -> Result<TierTable, TierTableError> {
        let table = TierTable::compile(record)?;
        validation::run_trials(&table)?;
        Ok(table)
    }

    /// Compiles a table that was tried before it was written down.
    pub fn compile(record: TierTableRecord) -> Result<TierTable, TierTableError> {
        let lang = ExpressionEngine::new(MAX_EXPRESSION_OPS);
        let mut compiled = Vec::with_capacity(record.tiers.len());
        validation::validate_structure(&record)?;
        for (number, tier) in record.tiers.iter().enumerate() {
            let flawed = |flaw: Diagnostic| TierTableError::from_diagnostic(&record, number, flaw);
            let ast = lang.compile_expression(&tier.when, &["job"]).map_err(flawed)?;
            validation::validate_attribute_names(&ast).map_err(flawed)?;
            compiled.push(ast);
        }
        Ok(TierTable { record, engine: lang, expressions: compiled })
    }

    /// As it is written down.
    pub fn record(&self) -> &TierTableRecord {
        &self.record
    }

    /// Its number.
    pub fn version(&self) -> u64 {
        self.record.version
    }

    /// Compiled expressions.
    pub(crate) fn expressions(&self) -> &[AST] {
        &self.expressions
    }

    /// Whether a tier's expression is true of a job.
    pub(crate) fn tier_matches(&self, number: usize, facts: &Dynamic) -> Result<bool, Diagnostic> {
        let found =
            self.engine.evaluate(&self.expressions[number], vec![("job", facts.clone())])?;
        found.as_bool().map_err(|kind| Diagnostic {
            line: 0,
            column: 0,
            cause: format!("gives {kind}; true or false is expected"),
        })
    }

    /// The tier of a job by the expressions. One that fails is false: the job is then of a later tier, and waits.
    pub fn match_tier(&self, facts: &JobAttributes) -> usize {
        let value = facts.to_dynamic_map();
        let of = |n: &usize| self.tier_matches(*n, &value).unwrap_or(false);
        (0..self.expressions.len()).find(of).unwrap_or(self.expressions.len())
    }

    /// The name of a tier.
    pub fn name(&self, number: usize) -> &str {
        self.record.tiers.get(number).map_or(UNTIERED_NAME, |t| &t.name)
    }

    /// The name of the tier that takes a job now.
    pub fn accepting_tier_name(&self, facts: &JobAttributes) -> &str {
        self.name(self.match_tier(facts))
    }

    /// Where a job stands whose record names the tier that it was accepted into: **the rule by which a new table
    /// meets work that waits.** A tier of that name is the job's, wherever the new table puts it; if there is
    /// none, the new table's expressions judge. Both depend on records alone.
    pub fn assign_tier(&self, accepted_as: Option<&str>, facts: &JobAttributes) -> TierAssignment {
        let named = accepted_as
            .and_then(|name| (0..=self.record.tiers.len()).find(|n| self.name(*n) == name));
        let number = named.unwrap_or_else(|| self.match_tier(facts));
        let ordered = self.record.tiers.get(number).is_some_and(|t| t.ordered);
        TierAssignment { tier: number as u8, ordered }
    }
}

impl JobAttributes {
    /// As the language takes it.
    pub fn to_dynamic(&self) -> Dynamic {
        self.to_dynamic_map()
    }
}
