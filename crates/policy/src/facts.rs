//! What policies and plug-ins may know: documented attributes of job, class, team and cluster, as
//! values. Nothing else reaches them.

use rhai::{Dynamic, Map};

/// Type of an attribute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Type {
    /// A number with a fraction.
    Number,
    /// A whole number.
    Count,
    /// Text.
    Text,
    /// True or false.
    Flag,
}

/// A documented attribute: name, type, and what it is.
pub type Attribute = (&'static str, Type, &'static str);

/// Attributes of a job.
pub const JOB: &[Attribute] = &[
    ("id", Type::Text, "its id"),
    ("class", Type::Text, "class of jobs"),
    ("team", Type::Text, "team"),
    ("kind", Type::Text, "array, gang or service"),
    ("priority", Type::Text, "production, high, normal or low"),
    ("tasks", Type::Count, "number of tasks"),
    ("waiting", Type::Count, "tasks that wait for a place"),
    ("running", Type::Count, "tasks that run"),
    ("cpus", Type::Number, "CPUs of a task"),
    ("gpus", Type::Number, "accelerators of a task"),
    ("memory_gb", Type::Number, "memory of a task, GB"),
    ("image_gb", Type::Number, "size of its image, GB"),
    ("estimate_s", Type::Number, "owner's estimate of a task's run time, s"),
    ("left_s", Type::Number, "time to its deadline, s; below 0 when missed; 1e9 without one"),
    ("age_s", Type::Number, "time since its acceptance, s"),
    ("spot", Type::Flag, "whether it may use spot machines"),
];
/// Attributes of a class of jobs.
pub const CLASS: &[Attribute] = &[
    ("name", Type::Text, "its name"),
    ("jobs", Type::Count, "jobs of it that are not over"),
    ("waiting", Type::Count, "tasks that wait"),
    ("running", Type::Count, "tasks that run"),
    ("late", Type::Count, "jobs past their deadline"),
];
/// Attributes of a team.
pub const TEAM: &[Attribute] = &[
    ("name", Type::Text, "its name"),
    ("cpus", Type::Number, "CPUs that its tasks use, all not proved gone counted"),
    ("cpus_guaranteed", Type::Number, "its guarantee; 0: none"),
    ("cpus_limit", Type::Number, "its limit; 0: none"),
    ("gpus", Type::Number, "accelerators that its tasks use"),
    ("gpus_guaranteed", Type::Number, "its guarantee; 0: none"),
    ("gpus_limit", Type::Number, "its limit; 0: none"),
];
/// Attributes of the cluster.
pub const CLUSTER: &[Attribute] = &[
    ("jobs", Type::Count, "jobs that are not over"),
    ("late", Type::Count, "jobs past their deadline"),
    ("waiting", Type::Count, "tasks that wait"),
    ("running", Type::Count, "tasks that run"),
    ("machines", Type::Count, "machines known"),
    ("ready", Type::Count, "machines that may be given work"),
    ("free_cpus", Type::Number, "CPUs free on those"),
    ("spot_cpus", Type::Number, "CPUs of spot machines"),
    ("cpus", Type::Number, "CPUs of all machines"),
    ("misses", Type::Count, "tasks that missed their deadline since the last round"),
    ("day_s", Type::Number, "time of day, UTC, s"),
];

/// The names under which the attributes stand.
pub const SUBJECTS: &[(&str, &[Attribute])] =
    &[("job", JOB), ("class", CLASS), ("team", TEAM), ("cluster", CLUSTER)];

/// A value of an attribute.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A number.
    Number(f64),
    /// A whole number.
    Count(i64),
    /// Text.
    Text(String),
    /// True or false.
    Flag(bool),
}

impl From<Value> for Dynamic {
    fn from(value: Value) -> Dynamic {
        match value {
            Value::Number(it) => it.into(),
            Value::Count(it) => it.into(),
            Value::Text(it) => it.into(),
            Value::Flag(it) => it.into(),
        }
    }
}

/// Attributes of one subject, in the order of its table above.
#[derive(Debug, Clone)]
pub struct Facts(Map);

impl Facts {
    /// From values in the order of the table. A table and its values differ only by a defect, which
    /// the tests of the node look for.
    pub fn new(table: &[Attribute], values: Vec<Value>) -> Facts {
        debug_assert_eq!(table.len(), values.len());
        let named = table.iter().zip(values);
        Facts(named.map(|((name, ..), value)| (name.to_string().into(), value.into())).collect())
    }

    /// Sample facts by which expressions and plug-ins are tried: number `n` of a few that differ.
    pub fn sample(table: &[Attribute], n: usize) -> Facts {
        let value = |(name, kind, _): &Attribute| match (kind, *name) {
            (Type::Text, "kind") => Value::Text(["array", "service", "gang"][n % 3].into()),
            (Type::Text, "priority") => {
                Value::Text(["normal", "production", "high", "low"][n % 4].into())
            }
            (Type::Text, _) => Value::Text(format!("sample-{n}")),
            (Type::Number, _) => Value::Number([1.0, 0.0, 1e9, -5.0][n % 4]),
            (Type::Count, _) => Value::Count([1, 0, 100_000][n % 3]),
            (Type::Flag, _) => Value::Flag(n.is_multiple_of(2)),
        };
        Facts::new(table, table.iter().map(value).collect())
    }

    /// As the language takes it.
    pub(crate) fn value(&self) -> Dynamic {
        self.0.clone().into()
    }
}
