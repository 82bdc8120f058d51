//! The command line: exit codes and messages.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_apricotctl");
    Command::new(program)
        .args(arguments)
        .output()
        .expect("the program starts")
}

macro_rules! exits {
    ($($case:ident: $arguments:expr => $code:expr, $message:expr;)*) => {
        $(#[test] fn $case() {
            let output = run(&$arguments);
            let text = [output.stdout, output.stderr].concat();
            let text = String::from_utf8_lossy(&text);
            assert_eq!(output.status.code(), Some($code), "{text}");
            assert!(text.contains($message), "{text}");
        })*
    };
}

exits! {
    help_is_fine: ["--help"] => 0, "Exit codes: 0 fine, 1 refused or failed, 2 wrong usage";
    no_command_is_usage: [] as [&str; 0] => 2, "Usage";
    check_without_file_is_usage: ["check"] => 2, "required";
    missing_file_fails: ["check", "no-such-file.toml"] => 1, "no-such-file.toml";
    default_is_printed: ["check", "--print-default"] => 0, "[daemon]";
    completions_are_printed: ["completions", "bash"] => 0, "apricotctl";
    silent_daemon_fails: ["status", "--operator", "127.0.0.1:1"] => 1, "cannot connect";
    silent_entry_fails: ["entries", "--entry", "127.0.0.1:1"] => 1, "cannot connect";
    model_or_service_is_usage: ["request", "--entry", "127.0.0.1:1"] => 2, "--model";
}
