//! The project's own programs as processes, each with an IP of its own on loopback.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

pub const CONTROL_PORT: u16 = 8_166;
pub const FRONT_PORT: u16 = 8_161;
pub const READY_PORT: u16 = 8_167;
/// First of the ports of the links between processes.
const LINK_PORT: u16 = 7_720;
pub const GRACE_S: u64 = 6;

pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    pub is_control: bool,
    pub zone: usize,
    pub link_port: u16,
    pub folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), port)
    }
}

pub struct Cluster {
    root: PathBuf,
    pub processes: Vec<Process>,
    /// `fault_tolerance.machines`.
    n_tolerated: AtomicUsize,
    /// The second and third byte of all addresses.
    pub network: (u8, u8),
}

pub fn zone_name(zone: usize) -> String {
    ["bayern-muc", "bayern-nue", "bayern-aug"][zone % 3].to_owned()
}

impl Cluster {
    /// Lays out control machines, then entries, over three zones. With `own_ports` each has
    /// another link port, so that a proxy at the sender's port knows both ends of a link.
    pub fn new(folder: &Path, n_controls: usize, n_entries: usize, own_ports: bool) -> Cluster {
        let root = std::env::current_dir().expect("a working folder");
        let pid = std::process::id();
        // A network whose addresses nobody uses now.
        let network = (0..200u32)
            .map(|it| (100 + ((pid + it) % 100) as u8, (1 + (pid / 100 + it) % 250) as u8))
            .find(|(a, b)| {
                let ip = Ipv4Addr::new(127, *a, *b, 1);
                TcpListener::bind((ip, CONTROL_PORT)).is_ok()
                    && TcpListener::bind((ip, LINK_PORT)).is_ok()
            })
            .expect("a free loopback network");
        let mut processes = Vec::new();
        for idx in 0..n_controls + n_entries {
            let is_control = idx < n_controls;
            let number = if is_control { idx } else { idx - n_controls };
            let name = format!("{}-{number}", if is_control { "core" } else { "edge" });
            let folder = folder.join(&name);
            fs::create_dir_all(&folder).expect("a folder of a process");
            processes.push(Process {
                name,
                ip: Ipv4Addr::new(127, network.0, network.1, idx as u8 + 1),
                is_control,
                zone: number % 3,
                link_port: LINK_PORT + if own_ports { idx as u16 } else { 0 },
                folder,
                child: Mutex::new(None),
            });
        }
        Cluster { root, processes, n_tolerated: AtomicUsize::new(1), network }
    }

    /// Sets how many machines with a disk may be lost at once.
    pub fn tolerate(&self, n_machines: usize) {
        self.n_tolerated.store(n_machines, Ordering::Relaxed);
    }

    pub fn controls(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|it| it.is_control)
    }

    pub fn entries(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|it| !it.is_control)
    }

    /// Address of a stand-in for a runner.
    pub fn runner_address(&self, idx: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network.0, self.network.1, 100 + idx as u8);
        SocketAddr::new(ip.into(), 8_080)
    }

    pub fn write_settings(&self, idx: usize, bootstrap: bool, seeds: &[usize]) {
        let it = &self.processes[idx];
        let quoted = |port: u16| format!("\"{}\"", it.at(port));
        let (class, serves, listen, data) = if it.is_control {
            let data = it.folder.join("data");
            fs::create_dir_all(&data).expect("a data folder");
            let listen = format!("{{\"control\":{}}}", quoted(CONTROL_PORT));
            ("core", "control", listen, format!("\"{}\"", data.display()))
        } else {
            let listen =
                format!("{{\"front\":{},\"ready\":{}}}", quoted(FRONT_PORT), quoted(READY_PORT));
            ("edge", "edge", listen, "null".to_owned())
        };
        let seeds: Vec<String> = seeds
            .iter()
            .map(|it| format!("\"{}\"", self.processes[*it].at(CONTROL_PORT)))
            .collect();
        let text = format!(
            r#"{{"node":"{name}","role":"{serves}","class":"{class}","serves":["{serves}"],
"ip":"{ip}","zone":"{zone}","region":"bayern",
"zones":{{"bayern-muc":"bayern","bayern-nue":"bayern","bayern-aug":"bayern"}},
"listen":{listen},"internal_ports":[{port},{last_port}],"seeds":[{seeds}],
"bootstrap":{bootstrap},"fault_counted":{is_control},
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":128}},
"data_dir":{data},"discovery":"registry","entry":"vip","heartbeat_ms":1500,
"contracts":["base","drain","config","cost","recover","sched","advice","upkeep","sharing"],
"fault_tolerance":{{"machines":{n_tolerated},"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":{GRACE_S},"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"recovery_s":12,"max_hold_ms":1000,"stop_ms":50,"gang_wait_ms":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remote_factor":3,"checkpoint_s":2,"restore_ms":100,"notice_ms":4500,"move_s":1.5,"upkeep_s":2,"fencing_required":false,"lease_ms":3000,"thaw_slack_ms":300,"pace_ms":100,"harm_ms":4000,"resend_ms":1300}},
"config_mode":"highest","orders":"call","advice":null,
"cloud":{{"address":"127.0.0.1:9","rate_per_s":60.0,"duties":[],"duty_per_s":60.0}}}}"#,
            name = it.name,
            ip = it.ip,
            zone = zone_name(it.zone),
            port = it.link_port,
            last_port = it.link_port + 15,
            seeds = seeds.join(","),
            is_control = it.is_control,
            n_tolerated = self.n_tolerated.load(Ordering::Relaxed),
        );
        fs::write(it.folder.join("settings.json"), text).expect("settings");
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, idx: usize, bootstrap: bool, seeds: &[usize]) -> std::io::Result<()> {
        self.write_settings(idx, bootstrap, seeds);
        let it = &self.processes[idx];
        let role = if it.is_control { "control" } else { "entry" };
        let log = File::options().create(true).append(true).open(it.folder.join("log"))?;
        let child =
            Command::new(self.root.join(format!("target/release/yuccamux-platform-{role}")))
                .env("YUCCAMUX_BOOT", it.folder.join("settings.json"))
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
        *it.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn pid(&self, idx: usize) -> Option<u32> {
        self.processes[idx].child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends signals, named as `kill` names them, one right after the other.
    pub fn signal(&self, idx: usize, signals: &[&str]) {
        let Some(pid) = self.pid(idx) else { return };
        let text: Vec<String> = signals.iter().map(|it| format!("kill -{it} {pid}")).collect();
        let _ = Command::new("sh").args(["-c", &text.join("; ")]).status();
    }

    pub fn kill(&self, idx: usize) {
        if let Some(mut child) = self.processes[idx].child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process that was started has ended.
    pub fn has_ended(&self, idx: usize) -> bool {
        let mut child = self.processes[idx].child.lock().unwrap();
        let ended = child.as_mut().is_none_or(|it| it.try_wait().is_ok_and(|it| it.is_some()));
        if ended {
            *child = None;
        }
        ended
    }

    pub fn empty_disk(&self, idx: usize) {
        let _ = fs::remove_dir_all(self.processes[idx].folder.join("data"));
    }

    pub fn kill_all(&self) {
        for idx in 0..self.processes.len() {
            self.kill(idx);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill_all();
    }
}
