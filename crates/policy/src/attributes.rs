//! What policies and plug-ins may know: documented attributes of job, class, team and cluster, as
//! values. Nothing else reaches them.

use rhai::{Dynamic, Map};

/// Type of an attribute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttributeType {
    /// A number with a fraction.
    Number,
    /// A whole number.
    Integer,
    /// Text.
    Text,
    /// True or false.
    Boolean,
}

/// A documented attribute: name, type, and what it is.
pub type Attribute = (&'static str, AttributeType, &'static str);

/// Attributes of a job.
pub const JOB_ATTRIBUTES: &[Attribute] = &[
    ("id", AttributeType::Text, "its id"),
    ("class", AttributeType::Text, "class of jobs"),
    ("team", AttributeType::Text, "team"),
    ("kind", AttributeType::Text, "array, gang or service"),
    ("priority", AttributeType::Text, "production, high, normal or low"),
    ("tasks", AttributeType::Integer, "number of tasks"),
    ("waiting", AttributeType::Integer, "tasks that wait for a place"),
    ("running", AttributeType::Integer, "tasks that run"),
    ("cpus", AttributeType::Number, "CPUs of a task"),
    ("gpus", AttributeType::Number, "accelerators of a task"),
    ("memory_gb", AttributeType::Number, "memory of a task, GB"),
    ("image_gb", AttributeType::Number, "size of its image, GB"),
    ("estimate_s", AttributeType::Number, "owner's estimate of a task's run time, s"),
    (
        "left_s",
        AttributeType::Number,
        "time to its deadline, s; below 0 when missed; 1e9 without one",
    ),
    ("age_s", AttributeType::Number, "time since its acceptance, s"),
    ("spot", AttributeType::Boolean, "whether it may use spot machines"),
];
/// Attributes of a class of jobs.
pub const CLASS_ATTRIBUTES: &[Attribute] = &[
    ("name", AttributeType::Text, "its name"),
    ("jobs", AttributeType::Integer, "jobs of it that are not over"),
    ("waiting", AttributeType::Integer, "tasks that wait"),
    ("running", AttributeType::Integer, "tasks that run"),
    ("late", AttributeType::Integer, "jobs past their deadline"),
];
/// Attributes of a team.
pub const TEAM_ATTRIBUTES: &[Attribute] = &[
    ("name", AttributeType::Text, "its name"),
    ("cpus", AttributeType::Number, "CPUs that its tasks use, all not proved gone counted"),
    ("cpus_guaranteed", AttributeType::Number, "its guarantee; 0: none"),
    ("cpus_limit", AttributeType::Number, "its limit; 0: none"),
    ("gpus", AttributeType::Number, "accelerators that its tasks use"),
    ("gpus_guaranteed", AttributeType::Number, "its guarantee; 0: none"),
    ("gpus_limit", AttributeType::Number, "its limit; 0: none"),
];
/// Attributes of the cluster.
pub const CLUSTER_ATTRIBUTES: &[Attribute] = &[
    ("jobs", AttributeType::Integer, "jobs that are not over"),
    ("late", AttributeType::Integer, "jobs past their deadline"),
    ("waiting", AttributeType::Integer, "tasks that wait"),
    ("running", AttributeType::Integer, "tasks that run"),
    ("machines", AttributeType::Integer, "machines known"),
    ("ready", AttributeType::Integer, "machines that may be given work"),
    ("free_cpus", AttributeType::Number, "CPUs free on those"),
    ("spot_cpus", AttributeType::Number, "CPUs of spot machines"),
    ("cpus", AttributeType::Number, "CPUs of all machines"),
    ("misses", AttributeType::Integer, "tasks that missed their deadline since the last round"),
    ("day_s", AttributeType::Number, "time of day, UTC, s"),
];

/// The names under which the attributes stand.
pub const SUBJECTS: &[(&str, &[Attribute])] = &[
    ("job", JOB_ATTRIBUTES),
    ("class", CLASS_ATTRIBUTES),
    ("team", TEAM_ATTRIBUTES),
    ("cluster", CLUSTER_ATTRIBUTES),
];

/// A value of an attribute.
#[derive(Debug, Clone, PartialEq)]
pub enum AttributeValue {
    /// A number.
    Number(f64),
    /// A whole number.
    Integer(i64),
    /// Text.
    Text(String),
    /// True or false.
    Boolean(bool),
}

impl From<AttributeValue> for Dynamic {
    fn from(value: AttributeValue) -> Dynamic {
        match value {
            AttributeValue::Number(it) => it.into(),
            AttributeValue::Integer(it) => it.into(),
            AttributeValue::Text(it) => it.into(),
            AttributeValue::Boolean(it) => it.into(),
        }
    }
}

/// Attributes of one subject, in the order of its table above.
#[derive(Debug, Clone)]
pub struct AttributeValues(Map);

impl AttributeValues {
    /// From values in the order of the table. A table and its values differ only by a defect, which
    /// the tests of the node look for.
    pub fn new(table: &[Attribute], values: Vec<AttributeValue>) -> AttributeValues {
        debug_assert_eq!(table.len(), values.len());
        let named = table.iter().zip(values);
        AttributeValues(
            named.map(|((name, ..), value)| (name.to_string().into(), value.into())).collect(),
        )
    }

    /// Sample facts by which expressions and plug-ins are tried: number `n` of a few that differ.
    pub fn sample(table: &[Attribute], n: usize) -> AttributeValues {
        let value = |(name, kind, _): &Attribute| match (kind, *name) {
            (AttributeType::Text, "kind") => {
                AttributeValue::Text(["array", "service", "gang"][n % 3].into())
            }
            (AttributeType::Text, "priority") => {
                AttributeValue::Text(["normal", "production", "high", "low"][n % 4].into())
            }
            (AttributeType::Text, _) => AttributeValue::Text(format!("sample-{n}")),
            (AttributeType::Number, _) => AttributeValue::Number([1.0, 0.0, 1e9, -5.0][n % 4]),
            (AttributeType::Integer, _) => AttributeValue::Integer([1, 0, 100_000][n % 3]),
            (AttributeType::Boolean, _) => AttributeValue::Boolean(n.is_multiple_of(2)),
        };
        AttributeValues::new(table, table.iter().map(value).collect())
    }

    /// As the language takes it.
    pub(crate) fn to_dynamic(&self) -> Dynamic {
        self.0.clone().into()
    }
}
