//! Callers' HTTP requests to one entry with one control VM and a fake endpoint, in one process.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time,
};
use yuccamux::{
    config_state::{ChangeAction, ConfigChange},
    control_node::{ControlSettings, GroupRule},
    entry_node::EntrySettings,
    job_dispatcher::JobDispatcher,
    job_ledger::{LedgerLimits, OwnerId},
    policy_settings::PolicySettings,
    prelude::*,
    vm_layout::{VmLayout, VmRole, VmSpec},
};
use yuccamux_adapters::{
    bearer_guard::BearerGuard,
    connection_pool::ConnectionPool,
    control_service, entry_control,
    entry_http::{EntryHttp, EntryHttpSettings},
    http_server::{
        self, CloseConnection, HttpAnswer, HttpRequest, INCARNATION_HEADER, ServerLimits,
    },
    job_service::JobService,
    link_key::LinkKeys,
    peer_link::{AddressBook, LinkSockets},
    wall_clock::WallClock,
};

const CONFIG: &str = "[template.t.kinds.k]\nexpected_ms = 5\n[workspace.w]\ntemplate = \"t\"\n";

/// One entry, one control VM and one endpoint.
struct System {
    address: String,
    jobs: Arc<JobService>,
    starts: Arc<Mutex<Vec<String>>>,
    holds: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    pool: ConnectionPool,
    _folder: TempDir,
}

fn vm(role: VmRole, name: &str, address: SocketAddr) -> VmSpec {
    let centre = DataCentre::from("munich");
    VmSpec { role, name: VmName::from(name), centre, address: address.to_string() }
}

fn owner(name: &str, clock: &WallClock) -> OwnerId {
    OwnerId { vm: VmName::from(name), incarnation: clock.started_at().0 }
}

impl System {
    async fn start() -> System {
        let clock = WallClock::new();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let (control_sockets, entry_sockets) =
            (LinkSockets::bind(any).unwrap(), LinkSockets::bind(any).unwrap());
        let layout = VmLayout::new(vec![
            vm(VmRole::Control, "control-1", control_sockets.address().unwrap()),
            vm(VmRole::Entry, "entry-1", entry_sockets.address().unwrap()),
        ]);
        let folder = TempDir::new().unwrap();
        let settings = ControlSettings {
            owner: owner("control-1", &clock),
            layout: layout.clone(),
            group_rule: GroupRule::Static,
            election_ms: 100,
            heartbeat_ms: 30,
            seed: 1,
        };
        let keys = LinkKeys::without_secret();
        let path = folder.path().to_owned();
        let service = control_service::start(
            settings,
            path,
            AddressBook::from_layout(&layout).unwrap(),
            keys.clone(),
            control_sockets,
            clock,
        )
        .unwrap();
        let settings = EntrySettings {
            owner: owner("entry-1", &clock),
            layout,
            limits: LedgerLimits { clock_skew_ms: 50, ..LedgerLimits::default() },
            election_ms: 100,
            heartbeat_ms: 30,
            compact_entries: 64,
            seed: 1,
        };
        let (sender, inputs) = mpsc::unbounded_channel();
        let control = entry_control::start(settings, keys, entry_sockets, clock, sender).unwrap();
        let policy = PolicySettings::default();
        let dispatcher = JobDispatcher::new(VmName::from("entry-1"), policy, 1);
        let jobs = JobService::new(dispatcher, control, clock, owner("entry-1", &clock));
        tokio::spawn(Arc::clone(&jobs).run(inputs));
        let (stop, address) = serve_entry(Arc::clone(&jobs)).await;
        let (starts, holds) = (Arc::default(), Arc::new(AtomicBool::new(false)));
        let endpoint = serve_endpoint(Arc::clone(&starts), Arc::clone(&holds)).await;
        let system = System {
            address,
            jobs,
            starts,
            holds,
            stop,
            pool: ConnectionPool::new(),
            _folder: folder,
        };
        publish(&service).await;
        system.wait_until_ready(&endpoint).await;
        system
    }

    async fn wait_until_ready(&self, endpoint: &str) {
        loop {
            let body = json!({"name": "e", "address": endpoint, "incarnation": 1, "slots": 2});
            self.send(Method::POST, "/v1/endpoints", None, &body.to_string()).await;
            let (status, _) = self.send(Method::GET, "/readyz", None, "").await;
            let (_, answer) = self.send(Method::GET, "/v1/status", None, "").await;
            let has_config = answer["config_version"].as_u64().is_some_and(|it| 0 < it);
            if status == StatusCode::OK && has_config {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> (StatusCode, Value) {
        let headers = key.map(|it| ("idempotency-key", it));
        self.send_with(method, path, headers.as_slice(), body).await
    }

    async fn send_with(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (StatusCode, Value) {
        let mut request = Request::builder().method(method).uri(path).header("host", &self.address);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        let limit = Duration::from_secs(30);
        let answer = self.pool.send(&self.address, request, limit).await.unwrap();
        let value = serde_json::from_slice(answer.body()).unwrap_or_default();
        (answer.status(), value)
    }

    /// Submits a job and returns the status, kind and `ran` of the error.
    async fn error(&self, key: Option<&str>, body: &str) -> (u16, String, String) {
        let (status, answer) = self.send(Method::POST, "/v1/jobs", key, body).await;
        let text = |name: &str| answer["error"][name].as_str().unwrap_or_default().to_owned();
        (status.as_u16(), text("kind"), text("ran"))
    }

    fn n_starts(&self) -> usize {
        self.starts.lock().unwrap().len()
    }
}

async fn publish(service: &control_service::ServiceHandle) {
    let change = ConfigChange {
        change_id: "first".to_owned(),
        base_version: 0,
        action: ChangeAction::Publish(CONFIG.to_owned()),
    };
    while service.change(change.clone()).await.is_err() {
        time::sleep(Duration::from_millis(20)).await;
    }
}

async fn serve_entry(jobs: Arc<JobService>) -> (watch::Sender<bool>, String) {
    let limits = ServerLimits {
        header_timeout: Duration::from_millis(500),
        body_timeout: Duration::from_millis(300),
        max_body_bytes: 100_000,
        shutdown_timeout: Duration::from_secs(30),
        ..ServerLimits::default()
    };
    let http = EntryHttp::new(
        jobs,
        EntryHttpSettings {
            centre: DataCentre::from("munich"),
            limits,
            default_deadline_ms: 10_000,
            max_deadline_ms: 20_000,
            callers: BearerGuard::allow_all(),
            endpoints: BearerGuard::allow_all(),
            operators: BearerGuard::allow_all(),
        },
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (stop, stopped) = watch::channel(false);
    let handle = move |request| http.clone().handle(request);
    tokio::spawn(http_server::serve(listener, limits, stopped, handle));
    (stop, address)
}

/// Starts an endpoint that echoes the input, and delays its responses while `holds` is set.
async fn serve_endpoint(starts: Arc<Mutex<Vec<String>>>, holds: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_stop, stopped) = watch::channel(false);
    let handle = move |request: HttpRequest| {
        let (starts, holds) = (Arc::clone(&starts), Arc::clone(&holds));
        async move { Ok::<_, CloseConnection>(run_task(request, &starts, &holds).await) }
    };
    tokio::spawn(async move {
        let _stop = _stop;
        http_server::serve(listener, ServerLimits::default(), stopped, handle).await;
    });
    address
}

async fn run_task(
    request: HttpRequest,
    starts: &Mutex<Vec<String>>,
    holds: &AtomicBool,
) -> HttpAnswer {
    let path = request.uri().path().to_owned();
    let incarnation = http_server::header_text(request.headers(), INCARNATION_HEADER);
    let is_for_announced = incarnation == Some("1");
    let body = http_server::read_body(request.into_body(), &ServerLimits::default()).await.unwrap();
    // A task that doesn't name the incarnation that was announced is missing in the starts.
    if let Some(task) = path.strip_prefix("/tasks/").filter(|_| is_for_announced) {
        starts.lock().unwrap().push(task.to_owned());
    }
    while holds.load(Ordering::SeqCst) {
        time::sleep(Duration::from_millis(5)).await;
    }
    http_server::json_answer(StatusCode::OK, body)
}

fn job(inputs: &[i64]) -> String {
    let tasks: Vec<Value> = inputs.iter().map(|it| json!({"kind": "k", "input": it})).collect();
    json!({"workspace": "w", "tasks": tasks}).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_get_all_outputs_and_run_once_per_key() {
    let system = System::start().await;
    let (status, answer) = system.send(Method::POST, "/v1/jobs", None, &job(&[3, 1, 2])).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer["state"], "complete");
    assert_eq!(answer["outputs"], json!([3, 1, 2]));
    assert_eq!(system.n_starts(), 3);

    let first = system.send(Method::POST, "/v1/jobs", Some("key-1"), &job(&[7])).await;
    let again = system.send(Method::POST, "/v1/jobs", Some("key-1"), &job(&[7])).await;
    assert_eq!(first, again);
    assert_eq!(system.n_starts(), 4);
    let known = system.send(Method::GET, "/v1/jobs/key-1", None, "").await;
    assert_eq!(first, known);

    let conflict = system.error(Some("key-1"), &job(&[8])).await;
    assert_eq!(conflict, (422, "key_conflict".to_owned(), "not_run".to_owned()));
    let path = "/v1/requests/w/k";
    let one = system.send(Method::POST, path, Some("key-2"), "{\"x\": 1.50}").await;
    assert_eq!(one, (StatusCode::OK, json!({"x": 1.50})));
    assert_eq!(one, system.send(Method::POST, path, Some("key-2"), "{\"x\": 1.50}").await);
    assert_eq!(system.n_starts(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_claim_no_key() {
    let system = System::start().await;
    let refused = |status: u16, kind: &str| (status, kind.to_owned(), "not_run".to_owned());
    let many = job(&vec![0; 301]);
    let long_key = "k".repeat(129);
    let large = "x".repeat(100_001);
    let unknown_kind = job(&[1]).replace("\"k\"", "\"other\"");
    let unknown_workspace = job(&[1]).replace("\"w\"", "\"other\"");
    for (key, body, expected) in [
        (None, "{", refused(400, "invalid_body")),
        (None, "{\"workspace\":\"w\"}", refused(400, "invalid_body")),
        (None, "{\"workspace\":\"w\",\"tasks\":[]}", refused(400, "invalid_body")),
        (None, many.as_str(), refused(400, "too_many_tasks")),
        (None, large.as_str(), refused(413, "body_too_large")),
        (None, unknown_kind.as_str(), refused(404, "unknown_kind")),
        (Some("key-3"), unknown_workspace.as_str(), refused(404, "unknown_workspace")),
        (Some(long_key.as_str()), "{}", refused(400, "invalid_key")),
    ] {
        assert_eq!(system.error(key, body).await, expected, "{}", &body[..body.len().min(60)]);
    }
    let (status, answer) = system.send(Method::GET, "/v1/jobs/key-3", None, "").await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (404, &json!("not_found")));
    let (status, _) = system.send(Method::GET, "/nowhere", None, "").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(system.n_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_or_truncated_bodies_do_not_block_later_requests() {
    let system = System::start().await;
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{\"work";
    let mut slow = TcpStream::connect(&system.address).await.unwrap();
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let n_read = slow.read(&mut answer).await.unwrap();
    assert!(String::from_utf8_lossy(&answer[..n_read]).contains("slow_request"));
    for _ in 0..20 {
        let mut cut = TcpStream::connect(&system.address).await.unwrap();
        cut.write_all(head.as_bytes()).await.unwrap();
        drop(cut);
    }
    let (status, _) = system.send(Method::POST, "/v1/jobs", None, &job(&[1])).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(system.n_starts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_disconnected_caller_completes() {
    let system = System::start().await;
    let body = job(&[5]);
    let mut caller = TcpStream::connect(&system.address).await.unwrap();
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: x\r\nidempotency-key: key-4\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    system.holds.store(true, Ordering::SeqCst);
    caller.write_all(head.as_bytes()).await.unwrap();
    while system.n_starts() == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    let (_, running) = system.send(Method::GET, "/v1/jobs/key-4", None, "").await;
    assert_eq!(running["state"], "running");
    system.holds.store(false, Ordering::SeqCst);
    let (status, answer) = system.send(Method::POST, "/v1/jobs", Some("key-4"), &body).await;
    assert_eq!((status, &answer["outputs"]), (StatusCode::OK, &json!([5])));
    assert_eq!(system.n_starts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn async_job_can_be_cancelled() {
    let system = System::start().await;
    system.holds.store(true, Ordering::SeqCst);
    let headers = [("idempotency-key", "key-5"), ("prefer", "respond-async")];
    let (status, answer) =
        system.send_with(Method::POST, "/v1/jobs", &headers, &job(&[1, 2, 3])).await;
    assert_eq!((status, &answer["state"]), (StatusCode::ACCEPTED, &json!("running")));
    while system.n_starts() < 2 {
        time::sleep(Duration::from_millis(5)).await;
    }
    let (status, answer) = system.send(Method::DELETE, "/v1/jobs/key-5", None, "").await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (409, &json!("cancelled")));
    assert_eq!(answer["error"]["ran"], "may_have_run");
    let again = system.send(Method::POST, "/v1/jobs", Some("key-5"), &job(&[1, 2, 3])).await;
    assert_eq!(again.1["error"]["kind"], "cancelled");
    system.holds.store(false, Ordering::SeqCst);
    assert_eq!(system.n_starts(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_refuses_new_jobs_and_answers_open_ones() {
    let system = Arc::new(System::start().await);
    system.holds.store(true, Ordering::SeqCst);
    let open = {
        let system = Arc::clone(&system);
        tokio::spawn(async move { system.send(Method::POST, "/v1/jobs", None, &job(&[9])).await })
    };
    while system.n_starts() == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
    system.jobs.control().stop();
    while system.jobs.control().check_ready().is_ok() {
        time::sleep(Duration::from_millis(5)).await;
    }
    let refused = system.error(None, &job(&[10])).await;
    assert_eq!(refused, (503, "shutting_down".to_owned(), "not_run".to_owned()));
    system.stop.send_replace(true);
    system.holds.store(false, Ordering::SeqCst);
    let (status, answer) = open.await.unwrap();
    assert_eq!((status, &answer["outputs"]), (StatusCode::OK, &json!([9])));
    while 0 < system.jobs.n_open() {
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(system.n_starts(), 1);
}
