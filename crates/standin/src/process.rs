//! Child processes that run a released binary.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use smol_str::SmolStr;
use tokio::process::{Child, Command};

use crate::StandinError;

/// Longest wait for a process to stop, and the interval of checks.
const STOP_LIMIT: Duration = Duration::from_secs(5);
const STOP_POLL: Duration = Duration::from_millis(1);

/// A child process with its log file. Dropping it kills the child process.
pub struct Process {
    name: SmolStr,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` and appends its output to `{dir}/{name}.log`.
    ///
    /// # Errors
    /// Returns an error if the log cannot be opened or the program cannot be started.
    pub fn spawn(name: &str, program: &Path, args: &[&str], dir: &Path) -> io::Result<Self> {
        Self::spawn_with(name, program, args, &[], dir)
    }

    /// As [`Process::spawn`], with additional environment variables.
    ///
    /// # Errors
    /// As [`Process::spawn`].
    pub fn spawn_with(
        name: &str,
        program: &Path,
        args: &[&str],
        variables: &[(&str, &Path)],
        dir: &Path,
    ) -> io::Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(args)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self {
            name: SmolStr::new(name),
            child,
            log,
        })
    }

    /// Process id, unless the exit of the process was observed.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns all output so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Requests termination (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells the process that its settings have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Suspends the process (SIGSTOP), and returns once all its threads have stopped.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let begin = Instant::now();
        while !self.is_stopped() && begin.elapsed() < STOP_LIMIT {
            std::thread::sleep(STOP_POLL);
        }
    }

    /// Whether all threads of the process are stopped. True if it has ended.
    fn is_stopped(&self) -> bool {
        let Some(id) = self.child.id() else {
            return true;
        };
        let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else {
            return true;
        };
        let mut states = threads.flatten().filter_map(|thread| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).ok()?;
            // The state follows the name in parentheses.
            let (_, rest) = stat.rsplit_once(") ")?;
            rest.chars().next()
        });
        states.all(|state| matches!(state, 'T' | 't' | 'Z' | 'X'))
    }

    /// Resumes the process (SIGCONT).
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    /// Returns an error if it still runs after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, StandinError> {
        if let Ok(status) = tokio::time::timeout(limit, self.child.wait()).await {
            return Ok(status?);
        }
        Err(StandinError::Timeout {
            what: smol_str::format_smolstr!("the end of {}", self.name),
            last: self.tail(),
        })
    }

    /// Returns the exit status if the process has exited.
    ///
    /// # Errors
    /// Returns an error if the operating system cannot report the status.
    pub fn status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Returns the last lines of the output.
    #[must_use]
    pub fn tail(&self) -> String {
        const LINES: usize = 20;
        let log = self.log();
        let lines: Vec<_> = log.lines().rev().take(LINES).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    /// Kills the process and waits until it has exited.
    pub async fn close(mut self) {
        self.kill();
        let _ = self.child.wait().await;
    }

    fn signal(&self, signal: Signal) {
        // The id is absent once the exit was observed, so it cannot refer to a process that reuses
        // it.
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}
