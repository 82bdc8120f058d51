//! Entries of the deployment on VMs, each a process of its own.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use apricothall_clients::http_client::{HttpClient, get};
use apricothall_standin::addresses::Addresses;
use apricothall_standin::process::Process;
use http::StatusCode;

use crate::standin::{BOOT_VARIABLE, READY_PATH, WAIT, boot_file};

/// First port of an entry; each entry has its own IP address.
const BASE_PORT: u16 = 7_100;

/// Time after which a process that was asked to stop is killed, as a platform does.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of a readiness response, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

struct Entry {
    name: String,
    zone: &'static str,
    ip: IpAddr,
    process: Option<Process>,
    frozen: bool,
}

/// The entries of one run.
pub struct Entries {
    all: Vec<Entry>,
    store: SocketAddr,
    /// Line of the settings with its replacement.
    changed: Option<(String, String)>,
    log_dir: PathBuf,
    _addresses: Addresses,
}

impl Entries {
    /// Starts `count` entries in one zone that read the store at `store`.
    pub fn start(count: usize, store: SocketAddr, log_dir: PathBuf) -> Self {
        Self::start_in(&vec!["a"; count], store, log_dir)
    }

    /// Starts an entry in each of `zones` (`a` or `b`, which lie in different regions).
    pub fn start_in(zones: &[&'static str], store: SocketAddr, log_dir: PathBuf) -> Self {
        let mut addresses = Addresses::reserve().expect("addresses");
        std::fs::create_dir_all(&log_dir).expect("log directory");
        let entries = zones.iter().enumerate().map(|(index, zone)| Entry {
            name: format!("entry-{index}"),
            zone,
            ip: addresses.allocate().expect("an address"),
            process: None,
            frozen: false,
        });
        let mut started = Self {
            all: entries.collect(),
            store,
            changed: None,
            log_dir,
            _addresses: addresses,
        };
        for index in 0..zones.len() {
            started.launch(index);
        }
        started
    }

    /// Replaces `line` of the settings of all entries by `by`, and tells the running ones.
    pub fn change_settings(&mut self, line: &str, by: &str) {
        self.changed = Some((line.to_owned(), by.to_owned()));
        for (index, entry) in self.all.iter().enumerate() {
            self.write_settings(index);
            if let Some(process) = &entry.process {
                process.hang_up();
            }
        }
    }

    /// Writes the settings file of an entry and returns its path.
    fn write_settings(&self, index: usize) -> PathBuf {
        let seed = self.all[usize::from(index == 0)].ip;
        let Entry { name, zone, ip, .. } = &self.all[index];
        let mut settings = boot_file(name, zone, *ip, BASE_PORT, seed, self.store);
        if let Some((line, by)) = &self.changed {
            let before = std::mem::take(&mut settings);
            settings = before.replace(&format!("{line}\n"), &format!("{by}\n"));
            assert_ne!(settings, before, "nothing was replaced");
        }
        let file = self.log_dir.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("written");
        file
    }

    fn launch(&mut self, index: usize) {
        let file = self.write_settings(index);
        let entry = &mut self.all[index];
        let program = Path::new(env!("CARGO_BIN_EXE_apricotd"));
        let args = ["entry", "--machine"];
        let variables = [(BOOT_VARIABLE, file.as_path())];
        let process = Process::spawn_with(&entry.name, program, &args, &variables, &self.log_dir);
        entry.process = Some(process.expect("starts"));
        entry.frozen = false;
    }

    /// Addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let at = |e: &Entry| SocketAddr::new(e.ip, BASE_PORT + 1);
        self.all.iter().map(at).collect()
    }

    /// Address at which an entry names entries to callers.
    pub fn directory_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.all[index].ip, BASE_PORT + 4)
    }

    /// Process id of an entry.
    pub fn process_id(&self, index: usize) -> u32 {
        let process = self.all[index].process.as_ref();
        process.and_then(Process::id).expect("a running process")
    }

    /// Largest resident memory of an entry so far, in kB.
    pub fn peak_memory(&self, index: usize) -> u64 {
        let process = self.process_id(index);
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let value = line.and_then(|l| l.trim().strip_suffix(" kB")?.parse().ok());
        value.expect("a size")
    }

    /// IP address of the VM of an entry.
    pub fn ip(&self, index: usize) -> IpAddr {
        self.all[index].ip
    }

    /// Log of an entry and of its predecessors.
    pub fn log(&self, index: usize) -> String {
        let file = format!("{}.log", self.all[index].name);
        std::fs::read_to_string(self.log_dir.join(file)).expect("readable")
    }

    /// Waits until all entries are ready.
    pub async fn wait_ready(&self) {
        for entry in &self.all {
            let ready = SocketAddr::new(entry.ip, BASE_PORT + 2);
            let is_up = async {
                while !is_ready(ready).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            let up = tokio::time::timeout(WAIT, is_up).await;
            up.unwrap_or_else(|_| panic!("{} is not ready in time", entry.name));
        }
    }

    /// Kills an entry for good.
    pub async fn remove(&mut self, index: usize) {
        if let Some(process) = self.all[index].process.take() {
            process.kill();
            process.close().await;
        }
    }

    /// Kills an entry and restarts it.
    pub async fn kill(&mut self, index: usize) -> String {
        if let Some(process) = self.all[index].process.take() {
            process.kill();
            process.close().await;
        }
        self.launch(index);
        format!("entry {index} killed and restarted")
    }

    /// Stops an entry as an operator does, and restarts it.
    pub async fn terminate(&mut self, index: usize) -> String {
        if self.all[index].frozen {
            return format!("entry {index} is frozen");
        }
        if let Some(mut process) = self.all[index].process.take() {
            process.terminate();
            if process.wait(STOP_TIMEOUT).await.is_err() {
                process.close().await;
            }
        }
        self.launch(index);
        format!("entry {index} stopped and restarted")
    }

    /// Stops an entry as an operator does. Returns the time of its end, at most `limit` from now.
    pub fn stop(&mut self, index: usize, limit: Duration) -> impl Future<Output = Instant> + use<> {
        let process = self.all[index].process.take();
        let mut process = process.expect("a running process");
        process.terminate();
        async move {
            let stopped = process.wait(limit).await;
            let end = Instant::now();
            if stopped.is_err() {
                process.close().await;
            }
            end
        }
    }

    /// Suspends the process of an entry.
    pub fn freeze(&mut self, index: usize) -> String {
        let entry = &mut self.all[index];
        if let Some(process) = &entry.process {
            process.freeze();
            entry.frozen = true;
        }
        format!("entry {index} frozen")
    }

    /// Whether the process of an entry is suspended.
    pub fn is_frozen(&self, index: usize) -> bool {
        self.all[index].frozen
    }

    /// Resumes all suspended entries.
    pub fn thaw_all(&mut self) -> String {
        for entry in self.all.iter_mut().filter(|e| e.frozen) {
            if let Some(process) = &entry.process {
                process.thaw();
            }
            entry.frozen = false;
        }
        "entries thawed".into()
    }

    /// Moves the log directory so that it outlives the run, and returns its new path.
    pub fn keep_logs(&mut self) -> PathBuf {
        let kept = self.log_dir.with_extension("failed");
        // An earlier run of the same seed by this process may have left logs.
        let _ = std::fs::remove_dir_all(&kept);
        std::fs::rename(&self.log_dir, &kept).expect("log directory moved");
        kept
    }

    /// Stops all processes and removes their logs, unless these are kept.
    pub async fn close(self) {
        for entry in self.all {
            if let Some(process) = entry.process {
                process.close().await;
            }
        }
        // The directory was moved away if the logs are kept.
        let _ = std::fs::remove_dir_all(&self.log_dir);
    }
}

/// Whether an entry reports that it is ready.
async fn is_ready(at: SocketAddr) -> bool {
    let client = HttpClient::without_pool(None, Duration::from_millis(300));
    let Ok(request) = get(at, READY_PATH) else {
        return false;
    };
    let answer = client
        .call(request, Duration::from_secs(1), MAX_ANSWER_BYTES)
        .await;
    answer.is_ok_and(|a| a.status == StatusCode::OK)
}
