//! The project's own programs as separate processes, started with the commands of the deploy
//! file, each with a loopback address of its own.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::CaseRecord};

const CONTROL_PORT: u16 = 8_166;
const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const FIRST_LINK_PORT: u16 = 7_720;
const LAST_LINK_PORT: u16 = 7_735;
/// What the host of all routes is called.
pub const HOST: &str = "nony24.example";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
}

/// A machine of the system with its process.
pub struct Machine {
    pub name: String,
    pub role: Role,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// Whether it is one of the operator's list: not before it is added, nor after it is gone.
    pub is_member: bool,
    folder: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), CONTROL_PORT)
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), FRONT_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), READY_PORT)
    }
}

/// A small deployment: three `core` machines, one in each zone, and `edge` machines.
pub struct Cluster {
    pub machines: Vec<Machine>,
    pub network: u8,
    root: PathBuf,
    record: CaseRecord,
}

impl Cluster {
    /// Lays out three control machines and entries in the given zones.
    pub fn new(root: &Path, folder: &Path, record: &CaseRecord, entries: &[&str]) -> Cluster {
        let is_free = |network: &u8| {
            TcpListener::bind((Ipv4Addr::new(127, *network, 0, 1), FIRST_LINK_PORT)).is_ok()
        };
        let first = 20 + (std::process::id() % 200) as u8;
        let network = (first..=250).chain(20..first).find(is_free).expect("a network is free");
        let mut machines = Vec::new();
        let controls = ["bayern-muc", "bayern-nue", "bayern-aug"];
        let places = controls.iter().map(|it| (Role::Control, *it));
        for (idx, (role, zone)) in
            places.chain(entries.iter().map(|it| (Role::Entry, *it))).enumerate()
        {
            let kind = if role == Role::Control { "core" } else { "edge" };
            let name = format!("{kind}-{zone}-{}", idx + 1);
            let folder = folder.join(&name);
            fs::create_dir_all(&folder).unwrap();
            let ip = Ipv4Addr::new(127, network, 0, idx as u8 + 1);
            machines.push(Machine {
                name,
                role,
                zone: zone.to_owned(),
                ip,
                is_member: true,
                folder,
                child: None,
            });
        }
        record.line(&format!("loopback network 127.{network}.0.0"));
        Cluster { machines, network, root: root.to_owned(), record: record.clone() }
    }

    pub fn with_role(&self, role: Role) -> Vec<usize> {
        let is_meant = |it: &usize| self.machines[*it].is_member && self.machines[*it].role == role;
        (0..self.machines.len()).filter(is_meant).collect()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.with_role(Role::Control).into_iter().map(|it| self.machines[it].control()).collect()
    }

    /// Starts a machine's process; `bootstrap` as the platform says it.
    pub fn start(&mut self, idx: usize, bootstrap: bool) {
        let settings = self.settings(idx, bootstrap);
        let root = self.root.clone();
        let machine = &mut self.machines[idx];
        let path = machine.folder.join("node.json");
        fs::write(&path, settings).unwrap();
        let program = match machine.role {
            Role::Control => "target/release/yuccamux-platform-control",
            Role::Entry => "target/release/yuccamux-platform-entry",
        };
        let log =
            fs::File::options().create(true).append(true).open(machine.folder.join("log")).unwrap();
        let mut command = Command::new(root.join(program));
        command.current_dir(&root).env_clear().env("YUCCAMUX_BOOT", path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("{program}: {error}; build the system first");
                std::process::exit(2)
            });
        machine.child = Some(child);
        self.record
            .line(&format!("{} starts at {}, bootstrap {bootstrap}", machine.name, machine.ip));
    }

    fn settings(&self, idx: usize, bootstrap: bool) -> String {
        let machine = &self.machines[idx];
        let ip = machine.ip;
        let (class, listen, disk_mb, data_dir) = match machine.role {
            Role::Control => {
                let data_dir = machine.folder.join("data");
                fs::create_dir_all(&data_dir).unwrap();
                let listen = format!("{{\"control\":\"{ip}:{CONTROL_PORT}\"}}");
                ("core", listen, 128, format!("{:?}", data_dir.to_str().unwrap()))
            }
            Role::Entry => {
                let listen =
                    format!("{{\"front\":\"{ip}:{FRONT_PORT}\",\"ready\":\"{ip}:{READY_PORT}\"}}");
                ("edge", listen, 0, "null".to_owned())
            }
        };
        let serves = if machine.role == Role::Control { "control" } else { "edge" };
        let seeds: Vec<String> = self.controls().iter().map(|it| format!("\"{it}\"")).collect();
        format!(
            r#"{{"node":"{}","role":"{serves}","class":"{class}","serves":["{serves}"],"ip":"{ip}",
"zone":"{}","region":"bayern",
"zones":{{"bayern-muc":"bayern","bayern-nue":"bayern","bayern-aug":"bayern"}},
"listen":{listen},"internal_ports":[{FIRST_LINK_PORT},{LAST_LINK_PORT}],"seeds":[{}],
"bootstrap":{bootstrap},"fault_counted":{},
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":{disk_mb}}},
"data_dir":{data_dir},"discovery":"registry","entry":"vip","heartbeat_ms":1500,
"contracts":["base","drain","config","cost","recover","sched","advice","upkeep","sharing"],
"fault_tolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,
"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,
"max_stretch_ms":5000,"recovery_s":12,"max_hold_ms":1000,"stop_ms":50,"gang_wait_ms":3000,
"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remote_factor":3,
"checkpoint_s":2,"restore_ms":100,"notice_ms":4500,"move_s":1.5,"upkeep_s":2,
"fencing_required":false,"lease_ms":3000,"thaw_slack_ms":300,"pace_ms":100,"harm_ms":4000,
"resend_ms":1300}},"config_mode":"highest","orders":"call"}}"#,
            machine.name,
            machine.zone,
            seeds.join(","),
            machine.role == Role::Control
        )
    }

    /// Starts all machines, the whole system for the first time.
    pub fn start_all(&mut self) {
        for idx in 0..self.machines.len() {
            self.start(idx, true);
        }
    }

    /// Lays out a further control machine, with an empty disk, and starts it.
    pub fn add_control(&mut self, zone: &str) -> usize {
        let idx = self.machines.len();
        let name = format!("core-{zone}-{}", idx + 1);
        let folder = self.machines[0].folder.with_file_name(&name);
        fs::create_dir_all(&folder).unwrap();
        let ip = Ipv4Addr::new(127, self.network, 0, idx as u8 + 1);
        let (role, zone) = (Role::Control, zone.to_owned());
        // Its settings name the machines that serve control so far.
        let machine = Machine { name, role, zone, ip, is_member: false, folder, child: None };
        self.machines.push(machine);
        self.start(idx, false);
        self.machines[idx].is_member = true;
        idx
    }

    /// Ends a machine for good, with its disk.
    pub fn remove(&mut self, idx: usize) {
        self.kill(idx);
        self.wipe(idx);
        self.machines[idx].is_member = false;
        self.record.line(&format!("{} is gone for good", self.machines[idx].name));
    }

    pub fn kill(&mut self, idx: usize) {
        let machine = &mut self.machines[idx];
        if let Some(mut child) = machine.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} is killed", machine.name));
        }
    }

    /// Empties the disk of a machine whose process is down.
    pub fn wipe(&mut self, idx: usize) {
        let machine = &self.machines[idx];
        let _ = fs::remove_dir_all(machine.folder.join("data"));
        self.record.line(&format!("{} loses its disk", machine.name));
    }

    /// Sends a signal, by its name, to a process that this case started.
    pub fn signal(&self, idx: usize, name: &str) {
        let machine = &self.machines[idx];
        if let Some(child) = &machine.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-s", name, &pid]).status();
            self.record.line(&format!("{} gets SIG{name}", machine.name));
        }
    }

    /// Sends a configuration as an operator does, until it is acknowledged or `limit` is over.
    pub fn configure(&self, body: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let controls = self.controls();
        let mut idx = 0;
        while Instant::now() < end {
            let control = controls[idx % controls.len()];
            let host = control.to_string();
            let second = Duration::from_secs(2);
            let answer = http::call(control, "PUT", "/yuccamux/config", &host, "", body, second);
            let status = answer.map(|(status, _)| status);
            if idx < 12 || status == Some(200) || idx % 8 == 0 {
                self.record.line(&format!("operator: PUT config at {control}: {status:?}"));
            }
            if status == Some(200) {
                return true;
            }
            idx += 1;
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until the entries report themselves ready.
    pub fn wait_ready(&self, entries: &[usize], limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let is_ready = |idx: &usize| {
            let address = self.machines[*idx].ready();
            let host = address.to_string();
            let second = Duration::from_secs(1);
            http::call(address, "GET", "/yuccamux/ready", &host, "", "", second)
                .is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < end {
            if entries.iter().all(is_ready) {
                self.record.line("the entries are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for idx in 0..self.machines.len() {
            self.kill(idx);
        }
    }
}

/// A configuration with one queue, `/jobs/`, of service `huvo11a`.
pub fn config(version: u64, timeout_ms: u64, is_guarded: bool) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-3hwrr6x","host":"{HOST}","path_prefix":"/jobs/","type":"unsafe","timeout_ms":{timeout_ms},"target_latency_ms":60,"priority":0,"service":"huvo11a","max_attempts":2,"stretch":1.6}}],"services":[{{"name":"huvo11a","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_check":{is_guarded},"spare":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}
