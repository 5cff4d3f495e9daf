//! Accelerators lent: what was stopped for whom, where, and who goes on first when it comes free. Each loan is a
//! state machine in a record that outlives leaders. Pure: what is seen comes in, what is to be done goes out. A loan
//! proves nothing and allows nothing: stops, proofs, limits and bindings are as ever; it says whose room it is.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
mod gpu_loans;

pub use gpu_loans::{GpuLoan, GpuLoans, LenderRecord, LoanAction, LoanObservation, LoanPhase};
