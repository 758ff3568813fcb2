//! The system's own programs as separate processes on loopback addresses, and the operator.

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

pub const FRONT_PORT: u16 = 28_161;
pub const READY_PORT: u16 = 28_167;
pub const CONTROL_PORT: u16 = 28_166;
pub const LINK_PORTS: (u16, u16) = (27_720, 27_735);
pub const HOST: &str = "shop.example";

/// Bounds and limits as the small site files have them.
const BOUNDS: &str = r#"{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"recovery_s":12,"max_hold_ms":1000,"stop_ms":50,"gang_wait_ms":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remote_factor":3,"checkpoint_s":2,"restore_ms":100,"notice_ms":4500,"move_s":1.5,"upkeep_s":2,"fencing_required":false,"lease_ms":3000,"thaw_slack_ms":300,"pace_ms":100,"harm_ms":4000,"resend_ms":1300}"#;

/// A process of the system and its machine.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    pub is_control: bool,
    pub memory_mb: u64,
    pub child: Option<Child>,
    pub n_starts: u32,
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, which this test has started.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        }
    }

    /// Whether the process has ended; its status is collected.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|it| !matches!(it.try_wait(), Ok(None)))
    }

    /// Resident memory of the process in MB, as the platform sees it.
    pub fn resident_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes / 1024)
    }
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub folder: PathBuf,
    pub subnet: (u8, u8),
    record: Record,
}

impl Cluster {
    /// Starts a control VM in each zone and so many entries in each zone.
    pub fn start(zones: &[&str], n_entries: usize, record: &Record) -> Cluster {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let subnet = free_subnet();
        let mut nodes = Vec::new();
        for (idx, zone) in zones.iter().enumerate() {
            let mut add = |name: String, host: u8, is_control: bool| {
                let ip = IpAddr::from([127, subnet.0, subnet.1, host]);
                let memory_mb = if is_control { 256 } else { 260 };
                let zone = (*zone).to_owned();
                nodes.push(Node {
                    name,
                    zone,
                    ip,
                    is_control,
                    memory_mb,
                    child: None,
                    n_starts: 0,
                });
            };
            add(format!("core-{zone}-1"), 10 + idx as u8, true);
            for entry in 0..n_entries {
                add(format!("edge-{zone}-{}", entry + 1), 30 + (idx * 8 + entry) as u8, false);
            }
        }
        let mut cluster = Cluster { nodes, folder, subnet, record: record.clone() };
        for idx in 0..cluster.nodes.len() {
            cluster.start_node(idx);
        }
        cluster
    }

    /// An address for a stand-in.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::from([127, self.subnet.0, self.subnet.1, host]), port)
    }

    pub fn entries(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|it| !self.nodes[*it].is_control).collect()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.nodes.iter().filter(|it| it.is_control).map(Node::control).collect()
    }

    /// Writes the settings file of a process as the platform does, and starts it.
    pub fn start_node(&mut self, idx: usize) {
        let seeds: Vec<String> = self.controls().iter().map(|it| format!("\"{it}\"")).collect();
        let folder = self.folder.clone();
        let node = &mut self.nodes[idx];
        let is_first = node.n_starts == 0;
        let (role, class) = if node.is_control { ("control", "core") } else { ("entry", "edge") };
        let listen = if node.is_control {
            format!("{{\"control\":\"{}\"}}", node.control())
        } else {
            format!("{{\"front\":\"{}\",\"ready\":\"{}\"}}", node.front(), node.ready())
        };
        let data = folder.join(format!("{}-data", node.name));
        let data_dir = if node.is_control {
            fs::create_dir_all(&data).expect("a data folder");
            format!("\"{}\"", data.display())
        } else {
            "null".to_owned()
        };
        let (cpu_share, max_fds) = if node.is_control { (0.5, 4096) } else { (0.25, 4100) };
        let settings = format!(
            "{{\"node\":\"{}\",\"role\":\"{role}\",\"class\":\"{class}\",\"serves\":[\"{class}\"],\
             \"ip\":\"{}\",\"zone\":\"{}\",\"region\":\"r\",\"listen\":{listen},\
             \"internal_ports\":[{},{}],\"seeds\":[{}],\"bootstrap\":{is_first},\
             \"fault_counted\":{},\"limits\":{{\"cpu_share\":{cpu_share},\"cores\":1,\
             \"memory_mb\":{},\"max_fds\":{max_fds},\"link_mbps\":1000.0,\"disk_mb\":128}},\
             \"data_dir\":{data_dir},\"discovery\":\"registry\",\"entry\":\"vip\",\
             \"heartbeat_ms\":1500,\"fault_tolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\
             \"bounds\":{BOUNDS},\"config_mode\":\"highest\",\"orders\":\"call\"}}",
            node.name,
            node.ip,
            node.zone,
            LINK_PORTS.0,
            LINK_PORTS.1,
            seeds.join(","),
            node.is_control,
            node.memory_mb,
        );
        let path = folder.join(format!("{}.json", node.name));
        fs::write(&path, settings).expect("a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", node.name)))
            .expect("a log file");
        let program = if node.is_control {
            "target/release/yuccamux-platform-control"
        } else {
            "target/release/yuccamux-platform-entry"
        };
        let child = Command::new(program)
            .env("YUCCAMUX_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            println!("{program} cannot be started");
            self.stop();
            std::process::exit(2);
        };
        node.child = Some(child);
        node.n_starts += 1;
    }

    /// Sends a configuration until it is acknowledged.
    pub fn put_config(&self, config: &str) {
        let until = Instant::now() + Duration::from_secs(25);
        while Instant::now() < until {
            for control in self.controls() {
                let limit = Duration::from_secs(2);
                if let Ok((200, _)) =
                    http::call(control, "PUT", "/yuccamux/config", &[], config, limit)
                {
                    self.record.line("the configuration is acknowledged");
                    return;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.give_up("no control VM acknowledges the configuration");
    }

    /// Waits until every entry answers its readiness check with 200.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(25);
        loop {
            let n_ready =
                self.entries().iter().filter(|it| is_ready(self.nodes[**it].ready())).count();
            if n_ready == self.entries().len() {
                self.record.line("every entry is ready");
                return;
            }
            if until < Instant::now() {
                self.give_up("some entry does not become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Ends the test without a result.
    pub fn give_up(&self, why: &str) -> ! {
        self.record.line(&format!("the case could not run: {why}"));
        for node in &self.nodes {
            node.signal("KILL");
        }
        std::process::exit(2);
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Whether an entry answers a readiness check with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let limit = Duration::from_millis(900);
    matches!(http::call(address, "GET", "/yuccamux/ready", &[], "", limit), Ok((200, _)))
}

/// A pair of middle bytes of loopback addresses at which the fixed ports are free.
fn free_subnet() -> (u8, u8) {
    let pid = std::process::id();
    for step in 0..200 {
        let number = pid.wrapping_add(step * 7919);
        let subnet = (20 + (number % 200) as u8, 1 + (number / 200 % 250) as u8);
        let ip = IpAddr::from([127, subnet.0, subnet.1, 10]);
        let ports = [CONTROL_PORT, LINK_PORTS.0, 9_464];
        if ports.iter().all(|it| TcpListener::bind(SocketAddr::new(ip, *it)).is_ok()) {
            return subnet;
        }
    }
    println!("no free loopback addresses");
    std::process::exit(2);
}
