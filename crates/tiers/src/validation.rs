//! What speaks against a table: its form, unknown names, what changes while a job waits, tiers that nothing can
//! reach, and a lower priority above a higher one, on which the protocol's preemption forbids acting.

use crate::constants::{MAX_EXPRESSION_BYTES, MAX_NAME_BYTES, MAX_TIERS, TRIAL_JOBS};
use crate::tier_table::{
    ATTRIBUTE_NAMES, JobAttributes, JobKindAttribute, JobPriorityAttribute, TierTable,
    TierTableRecord, UNTIERED_NAME,
};
use rhai::{AST, ASTNode, Expr};
use std::collections::BTreeSet;
use swiftsail_policy::expression_engine::{Diagnostic, unknown_name_message};

/// A table that is not sound: which tier, where, and why.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("tier {number} `{name}`{}: {cause}", position_suffix(*.line, *.column))]
pub struct TierTableError {
    /// Number of the tier, from 1; 0: the table as a whole.
    pub number: usize,
    /// Its name.
    pub name: String,
    /// Line in its expression, from 1; 0 if not known.
    pub line: usize,
    /// Column there.
    pub column: usize,
    /// What is wrong, and the remedy.
    pub cause: String,
}

fn position_suffix(line: usize, column: usize) -> String {
    if line == 0 { String::new() } else { format!(", line {line}, column {column}") }
}

impl TierTableError {
    pub(crate) fn from_diagnostic(
        record: &TierTableRecord,
        number: usize,
        flaw: Diagnostic,
    ) -> TierTableError {
        let name = record.tiers.get(number).map_or(String::new(), |t| t.name.clone());
        let Diagnostic { line, column, cause } = flaw;
        TierTableError { number: number + 1, name, line, column, cause }
    }

    fn without_position(
        record: &TierTableRecord,
        number: usize,
        cause: impl Into<String>,
    ) -> TierTableError {
        TierTableError::from_diagnostic(
            record,
            number,
            Diagnostic { line: 0, column: 0, cause: cause.into() },
        )
    }
}

/// The form: names, sizes, numbers.
pub(crate) fn validate_structure(record: &TierTableRecord) -> Result<(), TierTableError> {
    if record.tiers.len() > MAX_TIERS {
        let cause = format!("a table has {MAX_TIERS} tiers at most; join some");
        return Err(TierTableError::without_position(record, MAX_TIERS, cause));
    }
    for (n, tier) in record.tiers.iter().enumerate() {
        let letters = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let sound = !tier.name.is_empty() && tier.name.chars().all(letters);
        if !sound || tier.name.len() > MAX_NAME_BYTES {
            let cause = format!(
                "a name has 1 to {MAX_NAME_BYTES} lower-case letters, digits and dashes; rename it"
            );
            return Err(TierTableError::without_position(record, n, cause));
        }
        if tier.name == UNTIERED_NAME || record.tiers[..n].iter().any(|t| t.name == tier.name) {
            return Err(TierTableError::without_position(
                record,
                n,
                "its name is taken; rename it",
            ));
        }
        if tier.when.len() > MAX_EXPRESSION_BYTES {
            let cause =
                format!("its expression is longer than {MAX_EXPRESSION_BYTES} bytes; shorten it");
            return Err(TierTableError::without_position(record, n, cause));
        }
    }
    Ok(())
}

/// Refuses attributes that a job does not have, or that change while it waits.
pub fn validate_attribute_names(ast: &AST) -> Result<(), Diagnostic> {
    let mut flaw = None;
    ast.walk(&mut |path| {
        if let Some(ASTNode::Expr(Expr::Property(property, position))) = path.last()
            && !ATTRIBUTE_NAMES.contains(&property.2.as_str())
        {
            let changes = ["waiting", "running", "left_s", "age_s"];
            let cause = match changes.contains(&property.2.as_str()) {
                true => format!(
                    "`job.{}` changes while a job waits, and the line would with it; use what it asked for",
                    property.2
                ),
                false => unknown_name_message("attribute of job:", &property.2, ATTRIBUTE_NAMES.iter().copied()),
            };
            flaw = Some(Diagnostic::at_position(*position, cause));
        }
        flaw.is_none()
    });
    flaw.map_or(Ok(()), Err)
}

/// Texts and numbers that stand in expressions.
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

/// Numbers that look drawn and are the same every time: xorshift (Marsaglia, 2003).
struct PseudoRandom(u64);

impl PseudoRandom {
    fn below(&mut self, most: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % most.max(1) as u64) as usize
    }

    fn pick_text(&mut self, literals: &ExpressionLiterals) -> String {
        let n = self.below(literals.texts.len() + 1);
        literals.texts.iter().nth(n).cloned().unwrap_or_else(|| "other".into())
    }

    fn pick_number(&mut self, literals: &ExpressionLiterals, usual: &[f64]) -> f64 {
        let n = self.below(literals.numbers.len() * 3 + usual.len());
        match n.checked_sub(usual.len()) {
            None => usual[n],
            // The number itself and its neighbours: a comparison differs on one of them.
            Some(n) => (literals.numbers[n / 3] + [-1.0, 0.0, 1.0][n % 3]).max(0.0),
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

/// Tries a table on jobs made up from what stands in its expressions: each tier must be reached, and no job of a
/// higher priority may be of a later tier than one of a lower.
pub(crate) fn run_trials(table: &TierTable) -> Result<(), TierTableError> {
    let record = table.record();
    let literals = ExpressionLiterals::from_expressions(table.expressions());
    let mut draws = PseudoRandom(0x9e37_79b9_7f4a_7c15);
    let all = record.tiers.len();
    // The ranks that were seen in each tier, and in what is of none.
    let mut seen: Vec<BTreeSet<JobPriorityAttribute>> = vec![BTreeSet::new(); all + 1];
    for _ in 0..TRIAL_JOBS {
        let facts = draws.generate_job(&literals);
        let value = facts.to_dynamic();
        let mut found = all;
        for n in 0..all {
            if table
                .tier_matches(n, &value)
                .map_err(|flaw| TierTableError::from_diagnostic(record, n, flaw))?
            {
                found = n;
                break;
            }
        }
        seen[found].insert(facts.priority);
    }
    for n in 0..all {
        if seen[n].is_empty() {
            let cause = "no job can be of it: an earlier tier takes all, or its conditions exclude each \
                         other; move it up or drop it";
            return Err(TierTableError::without_position(record, n, cause));
        }
        let low = seen[n].first().copied();
        for (later, ranks) in seen.iter().enumerate().skip(n + 1) {
            if let (Some(low), Some(high)) = (low, ranks.last().copied())
                && low < high
            {
                let cause = format!(
                    "it puts priority {} above priority {} of tier `{}`, which no stop may act on; add `job.priority \
                     == \"{}\"` to it or move it down",
                    low.name(),
                    high.name(),
                    table.name(later),
                    high.name()
                );
                return Err(TierTableError::without_position(record, n, cause));
            }
        }
    }
    Ok(())
}
