//! The program: everything is in the library.

#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    swiftsail::program::main()
}
