//! Checks the deploy file against the program that it starts.

use std::path::Path;
use std::process::Command;

/// The command line of each role is accepted: the program fails only on its settings, which are
/// absent here.
#[test]
fn each_role_of_the_deploy_file_starts() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    let deploy: toml::Table = toml::from_str(&text).expect("TOML");
    let roles = deploy["roles"].as_table().expect("roles");
    assert!(!roles.is_empty());
    for (name, role) in roles {
        let mut words = role["run"].as_str().expect("a command").split(' ');
        let program = words.next().expect("a program");
        assert_eq!(program, "target/release/apricotd", "{name}");
        let mut command = Command::new(env!("CARGO_BIN_EXE_apricotd"));
        let output = command.args(words).env_clear().output();
        let output = output.expect("the program starts");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{name}: {error}");
        assert!(error.contains("settings"), "{name}: {error}");
    }
}
