//! The project's own programs, started as the platform starts them, each on a loopback address of
//! its own.

use std::fs;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Port of the metrics, as stated in the deploy file.
const METRICS_PORT: u16 = 9_464;

/// First of the ports of a machine.
const PORT: u16 = 7_700;

/// Longest wait for a machine to be ready.
const START_TIME: Duration = Duration::from_secs(15);

/// What a machine runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// `apricotd entry --machine`.
    Front,
    /// `apricotd agent --machine`.
    Side,
}

/// A machine with its process.
pub struct Machine {
    /// Name in the settings.
    pub name: String,
    role: Role,
    boot: PathBuf,
    child: Option<Child>,
}

/// All machines of a case. Their processes end with it.
pub struct Machines {
    /// The machines, in the order in which they were added.
    pub all: Vec<Machine>,
    net: u8,
    folder: PathBuf,
    store: SocketAddr,
}

impl Machines {
    /// A deployment without machines, whose store is at `store`.
    pub fn new(store: SocketAddr) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{process}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let first = (process % 200) as u8 + 20;
        let is_free = |net: &u8| {
            let ip = Ipv4Addr::new(127, 93, *net, 1);
            TcpListener::bind((ip, METRICS_PORT)).is_ok() && TcpListener::bind((ip, PORT)).is_ok()
        };
        let net = (first..250).chain(20..first).find(is_free);
        Self {
            all: Vec::new(),
            net: net.expect("free addresses"),
            folder,
            store,
        }
    }

    /// Address of machine `number`, which need not exist yet.
    pub fn ip(&self, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 93, self.net, number as u8 + 1))
    }

    /// Adds a machine and starts its process. `engine` is the address and the service of the engine
    /// on a side machine.
    pub fn add(&mut self, role: Role, engine: Option<(SocketAddr, &str)>) {
        let number = self.all.len();
        let ip = self.ip(number);
        let (class, listen) = match role {
            Role::Front => ("front", listen(ip)),
            Role::Side => ("side", String::new()),
        };
        let name = format!("{class}-a-{number}");
        let app = engine.map_or(String::new(), |(address, service)| {
            format!("app = \"{address}\"\nservice = \"{service}\"\n")
        });
        let seed = SocketAddr::new(self.ip(0), PORT + 3);
        let store = self.store;
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\nip = \"{ip}\"\n\
             zone = \"za\"\nregion = \"ra\"\ninternalPorts = [{PORT},{}]\nseeds = [\"{seed}\"]\n\
             bootstrap = true\nheartbeatMs = 1200\n{app}[zones]\nza = \"ra\"\n[listen]\n{listen}\
             [limits]\nmemoryMb = 260\nlinkMbps = 1000.0\n[platform]\naddress = \"{store}\"\n\
             form = \"read\"\nreadsPerS = 2000\nhistoryS = 20\n[bounds]\ndrainMs = 2000\ngraceS = 8\n\
             lossSlackMs = 200\nconfigApplyMs = 2000\nstrictRevoke = true\nrevokeMs = 5000\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 104\nrecoveryS = 12\n\
             version_ms = 8000\nttl_max_s = 5\n",
            PORT + 2
        );
        let boot = self.folder.join(format!("{name}.toml"));
        fs::write(&boot, text).expect("settings written");
        self.all.push(Machine {
            name,
            role,
            boot,
            child: None,
        });
        self.start(number);
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, number: usize) {
        let machine = &mut self.all[number];
        let role = match machine.role {
            Role::Front => "entry",
            Role::Side => "agent",
        };
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/apricotd")
            .args([role, "--machine"])
            .env("APRICOTHALL_BOOT", &machine.boot)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        machine.child = Some(child.expect("apricotd starts"));
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.all[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Address for clients of a front machine.
    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.ip(number), PORT + 4)
    }

    /// Waits until a front machine says that it is ready. Returns whether it did.
    pub fn wait_ready(&self, number: usize) -> bool {
        let at = SocketAddr::new(self.ip(number), PORT + 3);
        let end = Instant::now() + START_TIME;
        while Instant::now() < end {
            if is_ready(at) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Lines of a machine's log that contain one of `marks`.
    pub fn log_lines(&self, number: usize, marks: &[&str]) -> Vec<String> {
        let log = self.folder.join(format!("{}.log", self.all[number].name));
        let text = fs::read_to_string(log).unwrap_or_default();
        let lines = text.lines().filter(|l| marks.iter().any(|m| l.contains(m)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        for number in 0..self.all.len() {
            self.kill(number);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn listen(ip: IpAddr) -> String {
    format!(
        "front = \"{ip}:{}\"\nready = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\ndirectory = \"{ip}:{}\"\n",
        PORT + 4,
        PORT + 3,
        PORT + 5,
        PORT + 6
    )
}

fn is_ready(at: SocketAddr) -> bool {
    let asked = Connection::open(at, Duration::from_millis(500)).and_then(|mut connection| {
        let request = format!("GET /api/ready HTTP/1.1\r\nHost: {at}\r\n\r\n");
        connection.write(request.as_bytes())?;
        connection.read()
    });
    matches!(asked, Ok(Some(answer)) if answer.status() == 200)
}
