//! Validation of a tier table: its structure, unknown attributes, attributes that change while a job waits, tiers that no
//! job can reach, and tiers that put a lower priority above a higher one, which preemption would not be allowed to
//! enforce.

use crate::constants::{MAX_EXPRESSION_BYTES, MAX_NAME_BYTES, MAX_TIERS, TRIAL_JOBS};
use crate::tier_table::{
    ATTRIBUTE_NAMES, JobAttributes, JobKindAttribute, JobPriorityAttribute, TierTable,
    TierTableRecord, UNTIERED_NAME,
};
use rhai::{AST, ASTNode, Expr};
use std::collections::BTreeSet;
use swiftsail_policy::expression_engine::{Diagnostic, unknown_name_message};

/// Why a tier table is invalid. The text is sent to operators.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("tier {number} `{name}`{}: {cause}", position_suffix(*.line, *.column))]
pub struct TierTableError {
    /// Number of the tier, from 1; of a table with too many tiers the first beyond [`MAX_TIERS`].
    pub number: usize,
    /// Name of the tier.
    pub name: String,
    /// Line in the tier's expression, from 1; 0 if not known.
    pub line: usize,
    /// Column in that line, from 1; 0 if not known.
    pub column: usize,
    /// What is wrong, and the remedy.
    pub cause: String,
}

fn position_suffix(line: usize, column: usize) -> String {
    if line == 0 { String::new() } else { format!(", line {line}, column {column}") }
}

impl TierTableError {
    /// The error for a diagnostic in the expression of the tier with this index.
    pub(crate) fn from_diagnostic(
        record: &TierTableRecord,
        index: usize,
        diagnostic: Diagnostic,
    ) -> TierTableError {
        let name = record.tiers.get(index).map_or(String::new(), |tier| tier.name.clone());
        let Diagnostic { line, column, cause } = diagnostic;
        TierTableError { number: index + 1, name, line, column, cause }
    }

    fn without_position(
        record: &TierTableRecord,
        index: usize,
        cause: impl Into<String>,
    ) -> TierTableError {
        TierTableError::from_diagnostic(
            record,
            index,
            Diagnostic { line: 0, column: 0, cause: cause.into() },
        )
    }
}

/// Checks the number of tiers, their names and the length of their expressions.
pub(crate) fn validate_structure(record: &TierTableRecord) -> Result<(), TierTableError> {
    if record.tiers.len() > MAX_TIERS {
        let cause = format!("a table has {MAX_TIERS} tiers at most; join some");
        return Err(TierTableError::without_position(record, MAX_TIERS, cause));
    }
    for (index, tier) in record.tiers.iter().enumerate() {
        let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let is_valid_name = !tier.name.is_empty() && tier.name.chars().all(is_name_char);
        if !is_valid_name || tier.name.len() > MAX_NAME_BYTES {
            let cause = format!(
                "a name has 1 to {MAX_NAME_BYTES} lower-case letters, digits and dashes; rename it"
            );
            return Err(TierTableError::without_position(record, index, cause));
        }
        if tier.name == UNTIERED_NAME || record.tiers[..index].iter().any(|t| t.name == tier.name) {
            return Err(TierTableError::without_position(
                record,
                index,
                "its name is taken; rename it",
            ));
        }
        if tier.when.len() > MAX_EXPRESSION_BYTES {
            let cause =
                format!("its expression is longer than {MAX_EXPRESSION_BYTES} bytes; shorten it");
            return Err(TierTableError::without_position(record, index, cause));
        }
    }
    Ok(())
}

/// Fails if an expression refers to an attribute that jobs do not have, or that changes while a job waits.
pub fn validate_attribute_names(ast: &AST) -> Result<(), Diagnostic> {
    let mut diagnostic = None;
    ast.walk(&mut |path| {
        if let Some(ASTNode::Expr(Expr::Property(property, position))) = path.last()
            && !ATTRIBUTE_NAMES.contains(&property.2.as_str())
        {
            let changing = ["waiting", "running", "left_s", "age_s"];
            let cause = match changing.contains(&property.2.as_str()) {
                true => format!(
                    "`job.{}` changes while a job waits, and the line would with it; use what it asked for",
                    property.2
                ),
                false => unknown_name_message("attribute of job:", &property.2, ATTRIBUTE_NAMES.iter().copied()),
            };
            diagnostic = Some(Diagnostic::at_position(*position, cause));
        }
        diagnostic.is_none()
    });
    diagnostic.map_or(Ok(()), Err)
}

/// String and number literals of a table's expressions.
#[derive(Default)]
struct ExpressionLiterals {
    texts: BTreeSet<String>,
    numbers: Vec<f64>,
}

impl ExpressionLiterals {
    fn from_expressions(asts: &[AST]) -> ExpressionLiterals {
        let mut found = ExpressionLiterals::default();
        for ast in asts {
            ast.walk(&mut |path| {
                match path.last() {
                    Some(ASTNode::Expr(Expr::StringConstant(text, _))) => {
                        found.texts.insert(text.to_string());
                    }
                    Some(ASTNode::Expr(Expr::IntegerConstant(n, _))) => {
                        found.numbers.push(*n as f64);
                    }
                    Some(ASTNode::Expr(Expr::FloatConstant(n, _))) => found.numbers.push(**n),
                    _ => {}
                }
                true
            });
        }
        found
    }
}

/// A deterministic pseudo-random number generator: xorshift (Marsaglia, 2003).
struct PseudoRandom(u64);

impl PseudoRandom {
    /// A number below `bound`; 0 if `bound` is 0.
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound.max(1) as u64) as usize
    }

    /// A string literal of the expressions, or one that equals none of them.
    fn pick_text(&mut self, literals: &ExpressionLiterals) -> String {
        let index = self.below(literals.texts.len() + 1);
        literals.texts.iter().nth(index).cloned().unwrap_or_else(|| "other".into())
    }

    /// A typical value of the attribute, or a value at or next to a number literal of the expressions.
    fn pick_number(&mut self, literals: &ExpressionLiterals, typical: &[f64]) -> f64 {
        let index = self.below(literals.numbers.len() * 3 + typical.len());
        match index.checked_sub(typical.len()) {
            None => typical[index],
            // The literal and its neighbours: the outcome of a comparison with it differs among them.
            Some(index) => (literals.numbers[index / 3] + [-1.0, 0.0, 1.0][index % 3]).max(0.0),
        }
    }

    fn generate_job(&mut self, literals: &ExpressionLiterals) -> JobAttributes {
        JobAttributes {
            id: self.pick_text(literals),
            class: self.pick_text(literals),
            team: self.pick_text(literals),
            kind: JobKindAttribute::ALL[self.below(3)],
            priority: JobPriorityAttribute::ALL[self.below(4)],
            tasks: self.pick_number(literals, &[1.0, 2.0, 100.0, 100_000.0]) as i64,
            cpus: self.pick_number(literals, &[0.1, 1.0, 4.0, 64.0]),
            gpus: self.pick_number(literals, &[0.0, 1.0, 2.0, 8.0]),
            memory_gb: self.pick_number(literals, &[0.5, 4.0, 256.0]),
            image_gb: self.pick_number(literals, &[0.0, 2.0, 20.0]),
            estimate_s: self.pick_number(literals, &[0.0, 60.0, 3_600.0]),
            spot: self.below(2) == 0,
        }
    }
}

/// Tries a table on jobs generated from the literals of its expressions. Fails if an expression fails, if no job
/// reaches a tier, or if a job of a higher priority is in a later tier than one of a lower priority.
pub(crate) fn run_trials(table: &TierTable) -> Result<(), TierTableError> {
    let record = table.record();
    let literals = ExpressionLiterals::from_expressions(table.expressions());
    let mut random = PseudoRandom(0x9e37_79b9_7f4a_7c15);
    let tier_count = record.tiers.len();
    // Priorities found in each tier; the last entry is for jobs that match no tier.
    let mut priorities: Vec<BTreeSet<JobPriorityAttribute>> = vec![BTreeSet::new(); tier_count + 1];
    for _ in 0..TRIAL_JOBS {
        let job = random.generate_job(&literals);
        let value = job.to_dynamic();
        let mut matched = tier_count;
        for tier in 0..tier_count {
            if table
                .tier_matches(tier, &value)
                .map_err(|diagnostic| TierTableError::from_diagnostic(record, tier, diagnostic))?
            {
                matched = tier;
                break;
            }
        }
        priorities[matched].insert(job.priority);
    }
    for tier in 0..tier_count {
        if priorities[tier].is_empty() {
            let cause = "no job can be of it: an earlier tier takes all, or its conditions exclude each \
                         other; move it up or drop it";
            return Err(TierTableError::without_position(record, tier, cause));
        }
        let lowest = priorities[tier].first().copied();
        for (later, later_priorities) in priorities.iter().enumerate().skip(tier + 1) {
            if let (Some(lowest), Some(highest)) = (lowest, later_priorities.last().copied())
                && lowest < highest
            {
                let cause = format!(
                    "it puts priority {} above priority {} of tier `{}`, which no stop may act on; add `job.priority \
                     == \"{}\"` to it or move it down",
                    lowest.name(),
                    highest.name(),
                    table.name(later),
                    highest.name()
                );
                return Err(TierTableError::without_position(record, tier, cause));
            }
        }
    }
    Ok(())
}
