//! The project's own programs, started as the platform starts them, and their settings files.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Where a machine is, and what it runs beside.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: IpAddr,
    /// Engine and its service, on machines of the class `side`.
    pub engine: Option<(SocketAddr, &'static str)>,
}

impl Machine {
    /// An address of this machine.
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn front(&self) -> SocketAddr {
        self.at(8005)
    }
}

/// A running program of the project.
pub struct Daemon {
    pub machine: Machine,
    child: Child,
    command: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

impl Daemon {
    /// Starts the program of the machine's class with the command of the deploy file.
    pub fn start(root: &Path, work: &Path, machine: &Machine, settings: &str) -> Self {
        let file = work.join(format!("{}.toml", machine.name));
        fs::write(&file, settings).expect("the temporary folder is writable");
        let command = if machine.engine.is_some() {
            "agent"
        } else {
            "entry"
        };
        let log = work.join(format!("{}.log", machine.name));
        let child = spawn(root, command, &file, &log);
        Self {
            machine: machine.clone(),
            child,
            command,
            settings: file,
            log,
        }
    }

    /// Starts it again, as the platform does with a process that has ended.
    pub fn restart(&mut self, root: &Path) {
        self.child = spawn(root, self.command, &self.settings, &self.log);
    }

    fn signal(&self, signal: i32) {
        send_signal(self.id(), signal);
    }

    pub fn id(&self) -> i32 {
        i32::try_from(self.child.id()).expect("a process id")
    }

    pub fn terminate(&self) {
        self.signal(SIGTERM);
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().expect("a child of this process");
        status.map(|s| s.to_string())
    }

    /// Waits until `GET /api/ready` says 200.
    pub fn wait_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if is_ready(&self.machine) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

/// Whether the entry on `machine` says that it is ready.
pub fn is_ready(machine: &Machine) -> bool {
    let head = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let reply = call(machine.at(8002), head, b"", Duration::from_secs(1), None);
    reply.is_ok_and(|r| r.status == 200)
}

fn send_signal(process: i32, signal: i32) {
    unsafe {
        kill(process, signal);
    }
}

/// Freezes a process.
pub fn freeze(process: i32) {
    send_signal(process, SIGSTOP);
}

/// Wakes a frozen process.
pub fn wake(process: i32) {
    send_signal(process, SIGCONT);
}

fn spawn(root: &Path, command: &str, settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log);
    let output = output.expect("the temporary folder is writable");
    let end_with_parent = || {
        unsafe { prctl(PARENT_DEATH_SIGNAL, SIGKILL) };
        Ok(())
    };
    let mut program = Command::new(root.join("target/release/apricotd"));
    unsafe { program.pre_exec(end_with_parent) };
    program
        .args([command, "--machine"])
        .current_dir(root)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("APRICOTHALL_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("an open file"))
        .stderr(output)
        .spawn()
        .expect("target/release/apricotd is built")
}

/// Settings of `machine`, with the figures of `sites/trocha-ia.toml`.
pub fn settings(machine: &Machine, seeds: &[IpAddr], store: SocketAddr, link_mbps: f64) -> String {
    let seeds: Vec<_> = seeds.iter().map(|ip| format!("\"{ip}:8000\"")).collect();
    let seeds = seeds.join(",");
    let region = machine.zone.trim_end_matches("-a");
    let (class, serves, listen, engine) = match machine.engine {
        Some((at, service)) => {
            let engine = format!("app = \"{at}\"\nservice = \"{service}\"\n");
            ("side", "\"side\"", String::new(), engine)
        }
        None => {
            let listen = format!(
                "front = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\ndirectory = \"{}\"\n",
                machine.front(),
                machine.at(8002),
                machine.at(8000),
                machine.at(8009)
            );
            (
                "front",
                "\"front\",\"control\",\"directory\"",
                listen,
                String::new(),
            )
        }
    };
    let (share, memory, descriptors) = match class {
        "side" => (0.3, 128, 2048),
        _ => (0.25, 260, 4100),
    };
    format!(
        r#"nodeName = "{name}"
role = "{class}-role"
machineClass = "{class}"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [7700,7715]
seeds = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
{engine}
[zones]
lima-a = "lima"
arequipa-a = "arequipa"
cusco-a = "cusco"

[listen]
{listen}
[limits]
cpuShare = {share}
cpuCores = 1
memoryMb = {memory}
maxFds = {descriptors}
linkMbps = {link_mbps:.1}
diskMb = 0

[faultTolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 104
recoveryS = 12
passMs = 120
retryAfterS = 0
version_ms = 8000
version_all_ms = 0
ttl_max_s = 5

[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
        name = machine.name,
        ip = machine.ip,
        zone = machine.zone,
    )
}
