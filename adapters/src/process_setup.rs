//! Start-up shared by the programs: checks settings and binds sockets.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::{Context, bail, ensure};
use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{Signal, SignalKind, signal},
};
use yuccamux::{
    prelude::VmName,
    vm_layout::{VmLayout, VmRole, VmSpec},
};

use crate::{
    bearer_guard::BearerGuard, connection_guard::GuardSettings, link_key::LinkKeys,
    peer_link::LinkSockets,
};

/// Connections of a listener that wait to be accepted at most.
pub const ACCEPT_BACKLOG: usize = 128;

/// Reads `--vms` and checks that it names this VM with its role.
///
/// # Errors
///
/// When the list holds a malformed item or a duplicate name, or this VM is missing or has
/// another role.
pub fn read_layout(vms: &str, own: &VmName, role: VmRole) -> anyhow::Result<VmLayout> {
    let mut specs: Vec<VmSpec> = Vec::new();
    for text in vms.split(',').map(str::trim).filter(|it| !it.is_empty()) {
        let spec: VmSpec = text.parse().map_err(|error| anyhow::anyhow!("--vms: {error}"))?;
        if specs.iter().any(|it| it.name == spec.name) {
            bail!("--vms: VM {} is listed twice", spec.name);
        }
        specs.push(spec);
    }
    let layout = VmLayout::new(specs);
    let known = layout.vms().iter().map(|it| it.name.as_str()).collect::<Vec<_>>().join(", ");
    let Some(spec) = layout.vm(own) else {
        bail!("--name: VM {own} is not in --vms, which names {known}");
    };
    ensure!(spec.role == role, "--name: VM {own} has another role in --vms");
    Ok(layout)
}

/// Reads the bearer tokens for `flag`; without a file, all requests are accepted.
///
/// # Errors
///
/// When the file cannot be read or holds no token.
pub fn read_guard(flag: &str, path: Option<&PathBuf>) -> anyhow::Result<BearerGuard> {
    match path {
        Some(path) => BearerGuard::read(path).with_context(|| flag.to_owned()),
        None => Ok(BearerGuard::allow_all()),
    }
}

/// Reads the keys of the links between processes; without a file, links have no secret.
///
/// # Errors
///
/// When the file cannot be read or does not hold one or two keys.
pub fn read_link_keys(path: Option<&PathBuf>) -> anyhow::Result<LinkKeys> {
    match path {
        Some(path) => LinkKeys::read(path).context("--link-keys"),
        None => Ok(LinkKeys::without_secret()),
    }
}

/// Refuses an address other than loopback when a means of authentication is missing.
///
/// # Errors
///
/// When `address` is not loopback and `missing_guard` names the flag that is missing.
pub fn check_exposure(address: SocketAddr, missing_guard: Option<&str>) -> anyhow::Result<()> {
    let Some(guard) = missing_guard else { return Ok(()) };
    ensure!(
        address.ip().is_loopback(),
        "{address} is not loopback: give {guard}, or bind to 127.0.0.1"
    );
    Ok(())
}

/// Refuses a link address other than loopback without link keys.
///
/// # Errors
///
/// When this VM's address is not loopback and its links have no secret.
pub fn check_link_exposure(layout: &VmLayout, own: &VmName, keys: &LinkKeys) -> anyhow::Result<()> {
    let Some(spec) = layout.vm(own) else { return Ok(()) };
    check_exposure(spec.address.parse()?, (!keys.is_secret()).then_some("--link-keys"))
}

/// Binds a VM's address for links to other VMs.
///
/// # Errors
///
/// When the layout does not name the VM, or its address cannot be bound.
pub fn bind_links(layout: &VmLayout, own: &VmName) -> anyhow::Result<LinkSockets> {
    let spec = layout.vm(own).context("--vms does not name this VM")?;
    LinkSockets::bind(spec.address.parse()?)
}

/// Binds the HTTP address. The receive buffers of its connections are set here, as the system
/// otherwise enlarges them while a client sends.
///
/// # Errors
///
/// When the address cannot be bound, as when it is in use.
pub fn bind_http(address: SocketAddr, settings: &GuardSettings) -> anyhow::Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(settings.receive_buffer_bytes() as u32)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG as u32)
    };
    listen().with_context(|| format!("--listen: could not listen on {address}; is it in use?"))
}

/// Most descriptors that the system lets this process open, where the system tells.
pub fn descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|it| it.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Listeners for SIGTERM and SIGINT. A signal that arrives between two waits is kept, as the
/// listeners stay registered.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Registers the listeners. From here on neither signal ends the process by itself.
    ///
    /// # Errors
    ///
    /// When signal handlers cannot be installed.
    pub fn register() -> anyhow::Result<StopSignals> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(StopSignals { terminate, interrupt })
    }

    /// Waits for one of the signals. A wait that is dropped takes none.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
