//! Builds the daemon that the tasks run.

use std::path::PathBuf;
use std::process::Command;

use crate::error::TaskError;

/// Builds `apricotd` in release mode and returns the path of the binary.
///
/// # Errors
/// Returns an error if the build fails.
pub fn daemon() -> Result<PathBuf, TaskError> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let status = Command::new(cargo)
        .args(["build", "--release", "--quiet", "--package", "apricotd"])
        .current_dir(&root)
        .status()?;
    if !status.success() {
        return Err(TaskError::Build);
    }
    let target =
        std::env::var_os("CARGO_TARGET_DIR").map_or_else(|| root.join("target"), PathBuf::from);
    Ok(target.join("release/apricotd").canonicalize()?)
}
