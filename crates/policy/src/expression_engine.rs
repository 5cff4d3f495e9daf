//! The embedded expression language, in which all policy expressions and plug-ins run, with bounds on operations and
//! memory. It has no I/O, clock, random numbers, modules or `eval`.

use crate::attributes::{Attribute, SUBJECTS};
use crate::constants::{
    MAX_CALL_DEPTH, MAX_EXPRESSION_DEPTH, MAX_FUNCTIONS, MAX_LIST_LENGTH, MAX_MAP_SIZE,
    MAX_TEXT_BYTES, MAX_VARIABLES, SUGGESTION_SIMILARITY,
};
use rhai::packages::{
    BasicArrayPackage, BasicMapPackage, BasicMathPackage, CorePackage, LogicPackage,
    MoreStringPackage, Package,
};
use rhai::{AST, ASTNode, Dynamic, Engine, EvalAltResult, Expr, ParseError, Position, Scope};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// An error in a source, with its position.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}{cause}", position_prefix(*.line, *.column))]
pub struct Diagnostic {
    /// Line, from 1; 0 if unknown.
    pub line: usize,
    /// Column, from 1; 0 if unknown.
    pub column: usize,
    /// The error and, where possible, the expected input.
    pub cause: String,
}

fn position_prefix(line: usize, column: usize) -> String {
    if line == 0 { String::new() } else { format!("line {line}, column {column}: ") }
}

impl Diagnostic {
    /// A diagnostic at a position.
    pub fn at_position(position: Position, cause: impl Into<String>) -> Diagnostic {
        Diagnostic {
            line: position.line().unwrap_or(0),
            column: position.position().unwrap_or(0),
            cause: cause.into(),
        }
    }
}

impl From<ParseError> for Diagnostic {
    fn from(e: ParseError) -> Diagnostic {
        Diagnostic::at_position(e.position(), e.err_type().to_string())
    }
}

impl From<Box<EvalAltResult>> for Diagnostic {
    fn from(e: Box<EvalAltResult>) -> Diagnostic {
        let cause = match e.unwrap_inner() {
            EvalAltResult::ErrorTooManyOperations(_) => {
                "it takes too many operations: it may loop for ever, or must do less".into()
            }
            EvalAltResult::ErrorStackOverflow(_) => "its calls are nested too deeply".into(),
            other => {
                let text = other.to_string();
                // The engine appends the position in its own format, which is cut off.
                text.split(" (line ").next().unwrap_or(&text).to_string()
            }
        };
        Diagnostic::at_position(e.position(), cause)
    }
}

/// Compiles and evaluates expressions and plug-ins within the bounds, and counts operations.
pub struct ExpressionEngine {
    engine: Engine,
    last_ops: Rc<Cell<u64>>,
}

impl std::fmt::Debug for ExpressionEngine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ExpressionEngine").finish_non_exhaustive()
    }
}

impl ExpressionEngine {
    /// An engine that limits each evaluation to `max_ops` operations.
    pub fn new(max_ops: u64) -> ExpressionEngine {
        let mut engine = Engine::new_raw();
        CorePackage::new().register_into_engine(&mut engine);
        LogicPackage::new().register_into_engine(&mut engine);
        BasicMathPackage::new().register_into_engine(&mut engine);
        BasicArrayPackage::new().register_into_engine(&mut engine);
        BasicMapPackage::new().register_into_engine(&mut engine);
        MoreStringPackage::new().register_into_engine(&mut engine);
        engine
            .set_max_operations(max_ops)
            .set_max_call_levels(MAX_CALL_DEPTH)
            .set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH)
            .set_max_string_size(MAX_TEXT_BYTES)
            .set_max_array_size(MAX_LIST_LENGTH)
            .set_max_map_size(MAX_MAP_SIZE)
            .set_max_variables(MAX_VARIABLES)
            .set_max_functions(MAX_FUNCTIONS)
            .set_allow_anonymous_fn(false)
            .set_strict_variables(true)
            .set_fail_on_invalid_map_property(true)
            .disable_symbol("eval");
        engine.on_print(|_| {}).on_debug(|_, _, _| {});
        let last_ops = Rc::new(Cell::new(0));
        let counter = last_ops.clone();
        engine.on_progress(move |count| {
            counter.set(count);
            None
        });
        ExpressionEngine { engine, last_ops }
    }

    /// Number of operations of the last evaluation or call.
    pub fn last_ops(&self) -> u64 {
        self.last_ops.get()
    }

    /// Compiles an expression that may refer to these subjects.
    pub fn compile_expression(&self, source: &str, subjects: &[&str]) -> Result<AST, Diagnostic> {
        let mut scope = Scope::new();
        for name in subjects {
            scope.push_constant_dynamic(*name, Dynamic::UNIT);
        }
        let ast = self
            .engine
            .compile_expression_with_scope(&scope, source)
            .map_err(|e| undefined_name_diagnostic(e, subjects.iter().copied()))?;
        validate_attribute_names(&ast)?;
        Ok(ast)
    }

    /// Compiles the functions of a plug-in.
    pub fn compile_plugin(&self, source: &str) -> Result<AST, Diagnostic> {
        let ast = self
            .engine
            .compile(source)
            .map_err(|e| undefined_name_diagnostic(e, SUBJECTS.iter().map(|s| s.0)))?;
        validate_attribute_names(&ast)?;
        Ok(ast)
    }

    /// Evaluates an expression with these subjects in scope.
    pub fn evaluate(
        &self,
        ast: &AST,
        subjects: Vec<(&str, Dynamic)>,
    ) -> Result<Dynamic, Diagnostic> {
        self.last_ops.set(0);
        let mut scope = Scope::new();
        for (name, value) in subjects {
            scope.push_constant_dynamic(name, value);
        }
        Ok(self.engine.eval_ast_with_scope::<Dynamic>(&mut scope, ast)?)
    }

    /// Calls a function of a plug-in.
    pub fn call_function(
        &self,
        ast: &AST,
        name: &str,
        args: Vec<Dynamic>,
    ) -> Result<Dynamic, Diagnostic> {
        self.last_ops.set(0);
        let mut scope = Scope::new();
        Ok(self.engine.call_fn::<Dynamic>(&mut scope, ast, name, args)?)
    }
}

/// A diagnostic for a parse error; for an undefined variable it suggests the most similar known name.
fn undefined_name_diagnostic<'a>(
    e: ParseError,
    known: impl Iterator<Item = &'a str>,
) -> Diagnostic {
    let position = e.position();
    match e.err_type() {
        rhai::ParseErrorType::VariableUndefined(name) => {
            Diagnostic::at_position(position, unknown_name_message("name", name, known))
        }
        _ => e.into(),
    }
}

/// Message for an unknown name, with the most similar known name or a list of all known names.
pub fn unknown_name_message<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> String {
    let known: Vec<&str> = known.collect();
    let most_similar = known
        .iter()
        .map(|k| (strsim::jaro_winkler(name, k), *k))
        .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
    match most_similar {
        Some((similarity, k)) if similarity >= SUGGESTION_SIMILARITY => {
            format!("unknown {kind} `{name}`; did you mean `{k}`?")
        }
        _ => format!("unknown {kind} `{name}`; known are {}", known.join(", ")),
    }
}

/// Rejects unknown attributes of subjects, also in branches that no trial evaluation reaches.
fn validate_attribute_names(ast: &AST) -> Result<(), Diagnostic> {
    let mut diagnostic = None;
    ast.walk(&mut |path| {
        if let Some(ASTNode::Expr(Expr::Dot(pair, ..))) = path.last()
            && let Expr::Variable(variable, ..) = &pair.lhs
            && let Some((subject, table)) = SUBJECTS.iter().find(|s| *s.0 == *variable.1.as_str())
        {
            let attribute = match &pair.rhs {
                Expr::Dot(inner, ..) | Expr::Index(inner, ..) => &inner.lhs,
                other => other,
            };
            if let Expr::Property(property, position) = attribute
                && !table.iter().any(|a| *a.0 == *property.2.as_str())
            {
                let kind = format!("attribute of {subject}:");
                let names = table.iter().map(|a: &Attribute| a.0);
                diagnostic = Some(Diagnostic::at_position(
                    *position,
                    unknown_name_message(&kind, &property.2, names),
                ));
            }
        }
        diagnostic.is_none()
    });
    diagnostic.map_or(Ok(()), Err)
}

/// Names of the functions that a compiled plug-in defines, with their numbers of parameters.
pub fn defined_functions(ast: &AST) -> BTreeSet<(String, usize)> {
    ast.iter_functions().map(|f| (f.name.to_string(), f.params.len())).collect()
}
