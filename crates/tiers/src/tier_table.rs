//! The tier table: an ordered list of named tiers, each with an expression over the attributes of a job's
//! specification. Expressions cannot refer to anything that changes while a job waits, since the queue order would then
//! change with it.

use crate::constants::MAX_EXPRESSION_OPS;
use crate::validation::{self, TierTableError};
use rhai::{AST, Dynamic, Map};
use serde::{Deserialize, Serialize};
use std::fmt;
use swiftsail_policy::expression_engine::{Diagnostic, ExpressionEngine};
use swiftsail_replicated_records::Versioned;

/// A job's priority as tier expressions see it, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum JobPriorityAttribute {
    Low,
    Normal,
    High,
    Production,
}

impl JobPriorityAttribute {
    /// All priorities, lowest first.
    pub const ALL: [JobPriorityAttribute; 4] = [
        JobPriorityAttribute::Low,
        JobPriorityAttribute::Normal,
        JobPriorityAttribute::High,
        JobPriorityAttribute::Production,
    ];

    /// The value of `job.priority` in expressions.
    pub fn name(self) -> &'static str {
        ["low", "normal", "high", "production"][self as usize]
    }
}

/// A job's kind as tier expressions see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum JobKindAttribute {
    Array,
    Gang,
    Service,
}

impl JobKindAttribute {
    /// All kinds.
    pub const ALL: [JobKindAttribute; 3] =
        [JobKindAttribute::Array, JobKindAttribute::Gang, JobKindAttribute::Service];

    /// The value of `job.kind` in expressions.
    pub fn name(self) -> &'static str {
        ["array", "gang", "service"][self as usize]
    }
}

/// The attributes of a job that expressions can refer to: its specification at acceptance. Resources are per task.
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

/// Names of the job attributes in expressions.
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

/// Name of the implicit last tier, which has the jobs that match no tier of the table.
pub const UNTIERED_NAME: &str = "rest";

/// A tier as written in a file or record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierDefinition {
    /// Name of the tier, unique in the table.
    pub name: String,
    /// Boolean expression over `job`. The tier has the jobs for which it is true and which match no earlier tier.
    pub when: String,
    /// Whether its jobs are served strictly in the order of acceptance; otherwise the mapper may reorder them.
    #[serde(default)]
    pub ordered: bool,
}

/// A tier table as written in a file or stored in the state service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierTableRecord {
    /// Format version of the record; optional in a file.
    #[serde(default, rename = "v", skip_serializing)]
    pub format_version: u32,
    /// Version of the table: the table with the highest version is in force.
    pub version: u64,
    /// The tiers; earlier ones are served first.
    #[serde(rename = "tier")]
    pub tiers: Vec<TierDefinition>,
}

impl Versioned for TierTableRecord {
    const FORMAT_VERSION: u32 = 1;
}

impl Default for TierTableRecord {
    /// The table used if none is configured: production services come first, in the order of acceptance. All other
    /// jobs are ordered by priority alone.
    fn default() -> TierTableRecord {
        let is_core = r#"job.priority == "production" && job.kind == "service""#;
        let tier = TierDefinition { name: "core".into(), when: is_core.into(), ordered: true };
        TierTableRecord { format_version: 0, version: 0, tiers: vec![tier] }
    }
}

/// A tier table with its expressions compiled.
pub struct TierTable {
    record: TierTableRecord,
    engine: ExpressionEngine,
    expressions: Vec<AST>,
}

impl fmt::Debug for TierTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TierTable").field("record", &self.record).finish_non_exhaustive()
    }
}

impl Default for TierTable {
    fn default() -> TierTable {
        // The built-in table always compiles, which a test verifies; the fallback is a table without tiers.
        TierTable::compile(TierTableRecord::default()).unwrap_or_else(|_| TierTable {
            record: TierTableRecord { format_version: 0, version: 0, tiers: Vec::new() },
            engine: ExpressionEngine::new(MAX_EXPRESSION_OPS),
            expressions: Vec::new(),
        })
    }
}

/// The tier of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TierAssignment {
    /// Index of the tier in the table; the number of tiers for a job that matches none.
    pub tier: u8,
    /// Whether the tier is served strictly in the order of acceptance.
    pub ordered: bool,
}

impl TierTable {
    /// Compiles and validates a table, which includes trials on generated jobs. An error names the tier, the position
    /// in its expression, and the remedy.
    pub fn new(record: TierTableRecord) -> Result<TierTable, TierTableError> {
        let table = TierTable::compile(record)?;
        validation::run_trials(&table)?;
        Ok(table)
    }

    /// Compiles a table without the trials on generated jobs, which it passed before it was stored. Errors are as those
    /// of [`TierTable::new`].
    pub fn compile(record: TierTableRecord) -> Result<TierTable, TierTableError> {
        let engine = ExpressionEngine::new(MAX_EXPRESSION_OPS);
        let mut expressions = Vec::with_capacity(record.tiers.len());
        validation::validate_structure(&record)?;
        for (index, tier) in record.tiers.iter().enumerate() {
            let tier_error = |diagnostic: Diagnostic| {
                TierTableError::from_diagnostic(&record, index, diagnostic)
            };
            let ast = engine.compile_expression(&tier.when, &["job"]).map_err(tier_error)?;
            validation::validate_attribute_names(&ast).map_err(tier_error)?;
            expressions.push(ast);
        }
        Ok(TierTable { record, engine, expressions })
    }

    /// The record that the table was compiled from.
    pub fn record(&self) -> &TierTableRecord {
        &self.record
    }

    /// Version of the table.
    pub fn version(&self) -> u64 {
        self.record.version
    }

    /// The compiled expressions, by tier index.
    pub(crate) fn expressions(&self) -> &[AST] {
        &self.expressions
    }

    /// Whether the expression of the tier with this index is true for a job. Fails if the expression fails or its value
    /// is not a boolean.
    pub(crate) fn tier_matches(&self, index: usize, job: &Dynamic) -> Result<bool, Diagnostic> {
        let value = self.engine.evaluate(&self.expressions[index], vec![("job", job.clone())])?;
        value.as_bool().map_err(|kind| Diagnostic {
            line: 0,
            column: 0,
            cause: format!("gives {kind}; true or false is expected"),
        })
    }

    /// Index of the first tier whose expression is true for a job; the number of tiers if there is none. An expression
    /// that fails counts as false, so that the job falls to a later tier.
    pub fn match_tier(&self, job: &JobAttributes) -> usize {
        let job = job.to_dynamic_map();
        let matches = |index: &usize| self.tier_matches(*index, &job).unwrap_or(false);
        (0..self.expressions.len()).find(matches).unwrap_or(self.expressions.len())
    }

    /// Name of the tier with this index; [`UNTIERED_NAME`] beyond the last one.
    pub fn name(&self, index: usize) -> &str {
        self.record.tiers.get(index).map_or(UNTIERED_NAME, |tier| &tier.name)
    }

    /// Name of the tier that a job is accepted into if it is submitted now.
    pub fn accepting_tier_name(&self, job: &JobAttributes) -> &str {
        self.name(self.match_tier(job))
    }

    /// The tier of an accepted job. `accepted_as` is the name of the tier that it was accepted into, from its record.
    ///
    /// This is how a new table applies to jobs that are already waiting: a job keeps the tier of that name, whatever its
    /// index in the new table is. Only if the new table has no such tier do its expressions decide. Both depend on
    /// records alone.
    pub fn assign_tier(&self, accepted_as: Option<&str>, job: &JobAttributes) -> TierAssignment {
        let named = accepted_as
            .and_then(|name| (0..=self.record.tiers.len()).find(|index| self.name(*index) == name));
        let index = named.unwrap_or_else(|| self.match_tier(job));
        let ordered = self.record.tiers.get(index).is_some_and(|tier| tier.ordered);
        TierAssignment { tier: index as u8, ordered }
    }
}

impl JobAttributes {
    /// The attributes as a value of the expression engine.
    pub fn to_dynamic(&self) -> Dynamic {
        self.to_dynamic_map()
    }
}
