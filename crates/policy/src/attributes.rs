//! Attributes of job, class, team and cluster that policy expressions and plug-ins can read. They have access to
//! nothing else.

use rhai::{Dynamic, Map};

/// Type of an attribute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttributeType {
    /// A floating-point number.
    Number,
    /// An integer.
    Integer,
    /// A string.
    Text,
    /// A Boolean.
    Boolean,
}

/// An attribute: name, type and description.
pub type Attribute = (&'static str, AttributeType, &'static str);

/// Attributes of a job.
pub const JOB_ATTRIBUTES: &[Attribute] = &[
    ("id", AttributeType::Text, "id"),
    ("class", AttributeType::Text, "job class"),
    ("team", AttributeType::Text, "team"),
    ("kind", AttributeType::Text, "array, gang or service"),
    ("priority", AttributeType::Text, "production, high, normal or low"),
    ("tasks", AttributeType::Integer, "number of tasks"),
    ("waiting", AttributeType::Integer, "tasks that wait to be placed"),
    ("running", AttributeType::Integer, "running tasks"),
    ("cpus", AttributeType::Number, "CPUs of a task"),
    ("gpus", AttributeType::Number, "accelerators of a task"),
    ("memory_gb", AttributeType::Number, "memory of a task, GB"),
    ("image_gb", AttributeType::Number, "size of its image, GB"),
    ("estimate_s", AttributeType::Number, "the user's estimate of a task's run time, s"),
    (
        "left_s",
        AttributeType::Number,
        "time to its deadline, s; negative if the deadline has passed; 1e9 without a deadline",
    ),
    ("age_s", AttributeType::Number, "time since its acceptance, s"),
    ("spot", AttributeType::Boolean, "whether it may use spot machines"),
];
/// Attributes of a class of jobs.
pub const CLASS_ATTRIBUTES: &[Attribute] = &[
    ("name", AttributeType::Text, "its name"),
    ("jobs", AttributeType::Integer, "jobs of the class that have not ended"),
    ("waiting", AttributeType::Integer, "waiting tasks"),
    ("running", AttributeType::Integer, "running tasks"),
    ("late", AttributeType::Integer, "jobs past their deadline"),
];
/// Attributes of a team.
pub const TEAM_ATTRIBUTES: &[Attribute] = &[
    ("name", AttributeType::Text, "its name"),
    (
        "cpus",
        AttributeType::Number,
        "CPUs that its tasks use, including tasks not confirmed terminated",
    ),
    ("cpus_guaranteed", AttributeType::Number, "CPU guarantee; 0: none"),
    ("cpus_limit", AttributeType::Number, "CPU limit; 0: none"),
    ("gpus", AttributeType::Number, "accelerators that its tasks use"),
    ("gpus_guaranteed", AttributeType::Number, "accelerator guarantee; 0: none"),
    ("gpus_limit", AttributeType::Number, "accelerator limit; 0: none"),
];
/// Attributes of the cluster.
pub const CLUSTER_ATTRIBUTES: &[Attribute] = &[
    ("jobs", AttributeType::Integer, "jobs that have not ended"),
    ("late", AttributeType::Integer, "jobs past their deadline"),
    ("waiting", AttributeType::Integer, "waiting tasks"),
    ("running", AttributeType::Integer, "running tasks"),
    ("machines", AttributeType::Integer, "known machines"),
    ("ready", AttributeType::Integer, "machines that accept work"),
    ("free_cpus", AttributeType::Number, "free CPUs on ready machines"),
    ("spot_cpus", AttributeType::Number, "CPUs of spot machines"),
    ("cpus", AttributeType::Number, "CPUs of all machines"),
    (
        "misses",
        AttributeType::Integer,
        "tasks that missed their deadline since the last mapping round",
    ),
    ("day_s", AttributeType::Number, "time of day, UTC, s"),
];

/// Subjects that expressions and plug-ins can refer to, with their attributes.
pub const SUBJECTS: &[(&str, &[Attribute])] = &[
    ("job", JOB_ATTRIBUTES),
    ("class", CLASS_ATTRIBUTES),
    ("team", TEAM_ATTRIBUTES),
    ("cluster", CLUSTER_ATTRIBUTES),
];

/// Value of an attribute.
#[derive(Debug, Clone, PartialEq)]
pub enum AttributeValue {
    /// A floating-point number.
    Number(f64),
    /// An integer.
    Integer(i64),
    /// A string.
    Text(String),
    /// A Boolean.
    Boolean(bool),
}

impl From<AttributeValue> for Dynamic {
    fn from(value: AttributeValue) -> Dynamic {
        match value {
            AttributeValue::Number(number) => number.into(),
            AttributeValue::Integer(integer) => integer.into(),
            AttributeValue::Text(text) => text.into(),
            AttributeValue::Boolean(boolean) => boolean.into(),
        }
    }
}

/// Attribute values of one subject, by name.
#[derive(Debug, Clone)]
pub struct AttributeValues(Map);

impl AttributeValues {
    /// Names the values, which must be in the order of `table`. A mismatch is a programming error, which debug builds
    /// and tests detect.
    pub fn new(table: &[Attribute], values: Vec<AttributeValue>) -> AttributeValues {
        debug_assert_eq!(table.len(), values.len());
        let named = table.iter().zip(values);
        AttributeValues(
            named.map(|((name, ..), value)| (name.to_string().into(), value.into())).collect(),
        )
    }

    /// Sample values for trial evaluations of expressions and plug-ins. Different `n` give a few different samples.
    pub fn sample(table: &[Attribute], n: usize) -> AttributeValues {
        let value = |(name, attribute_type, _): &Attribute| match (attribute_type, *name) {
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

    /// These values as a value of the expression language.
    pub(crate) fn to_dynamic(&self) -> Dynamic {
        self.0.clone().into()
    }
}
