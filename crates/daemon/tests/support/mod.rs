//! Test support: a simulated platform, back ends and callers for real nodes, all in
//! one process.

#![allow(
    dead_code,
    reason = "each test program uses only a part of this module"
)]

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use argh::FromArgs;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lifthollow_coordination::PolicyKind;
use lifthollow_ctl::arguments::Arguments;
use lifthollow_daemon::daemon::Daemon;
use lifthollow_daemon::settings::{Backend, Settings};
use lifthollow_state::{NodeId, ServiceName, Side, Zone};
use lifthollow_transport::http::AnyBody;
use slog::{Discard, Logger, o};
use tokio::net::{TcpListener, TcpStream};

pub const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
pub const TABLE_HEADER: &str =
    "service,side,weight,max_in_flight,max_queue,max_connections,class,repeatable,deadline_ms";
const MACHINES_HEADER: &str = "address,service,side,zone,state";
const POLL: Duration = Duration::from_millis(5);

/// Polls until `condition` holds. The only timeout is that of the test runner.
pub async fn eventually(condition: impl AsyncFn() -> bool) {
    while !condition().await {
        tokio::time::sleep(POLL).await;
    }
}

/// A simulated platform's service, with the table and the machines it answers.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    pub table: Arc<Mutex<String>>,
    pub machines: Arc<Mutex<Vec<String>>>,
}

impl Platform {
    pub async fn start(table: String) -> Platform {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let platform = Platform {
            address: listener.local_addr().unwrap(),
            table: Arc::new(Mutex::new(table)),
            machines: Arc::default(),
        };
        let served = platform.clone();
        serve(listener, move |request| {
            let text = match request.uri().path() {
                "/table" => served.table.lock().unwrap().clone(),
                _ => served.machines_text(),
            };
            Box::pin(async move { Response::new(full(text)) })
        });
        platform
    }

    pub fn list(&self, node: NodeId, service: &str, side: Side) {
        let line = format!("{node},{service},{side},1,live");
        self.machines.lock().unwrap().push(line);
    }

    fn machines_text(&self) -> String {
        let lines = self.machines.lock().unwrap().join("\n");
        format!("{MACHINES_HEADER}\n{lines}\n")
    }
}

/// The text of a table of one service, with the same row for both sides.
pub fn table(number: u64, row: &str) -> String {
    let service = row.split(',').next().unwrap();
    let rest = &row[service.len()..];
    format!("lifthollow-table,{number}\n{TABLE_HEADER}\n{service},old{rest}\n{service},new{rest}\n")
}

pub fn full(bytes: impl Into<Bytes>) -> AnyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Serves HTTP on a listener until the test ends.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> BoxFuture<'static, Response<AnyBody>> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service);
            tokio::spawn(connection);
        }
    });
}

/// A back end that answers with `handler`.
pub async fn backend<H>(handler: H) -> SocketAddr
where
    H: Fn(Request<Incoming>) -> BoxFuture<'static, Response<AnyBody>> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    serve(listener, handler);
    address
}

pub fn settings(platform: &Platform, backends: &[(&str, SocketAddr)]) -> Settings {
    Settings {
        node: LOOPBACK,
        callers: LOOPBACK.into(),
        operators: LOOPBACK.into(),
        side: Side::Old,
        zone: Zone(1),
        backends: backends
            .iter()
            .map(|(service, address)| Backend {
                service: ServiceName::new(service),
                address: *address,
            })
            .collect(),
        platform_table: Some(platform.address),
        platform_machines: Some(platform.address),
        seed_nodes: Vec::new(),
        policy: PolicyKind::Lifthollow,
        log_level: slog::Level::Info,
        random_seed: Some(1),
        call_threads: 2,
        max_header_bytes: 16 * 1024,
        buffered_body_bytes: 64 * 1024,
        stop_timeout: Duration::from_secs(600),
        claim_roster: None,
        claim_bootstrap: false,
    }
}

/// Starts a node, which runs on its own threads and logs nothing.
pub fn start(settings: Settings) -> Daemon {
    start_logging(settings, Logger::root(Discard, o!()))
}

pub fn start_logging(settings: Settings, log: Logger) -> Daemon {
    tokio::task::block_in_place(|| Daemon::start(settings, log).unwrap())
}

pub async fn stop(daemon: Daemon) -> bool {
    tokio::task::spawn_blocking(|| daemon.stop()).await.unwrap()
}

/// An entry node, which callers use, and a server node with the local back end of
/// one service. Both know each other.
pub struct Pair {
    pub platform: Platform,
    pub entry: Daemon,
    pub server: Daemon,
}

impl Pair {
    pub async fn start(service: &str, row: &str, backend: SocketAddr) -> Pair {
        let platform = Platform::start(table(1, &format!("{service},{row}"))).await;
        let server = start(settings(&platform, &[(service, backend)]));
        platform.list(server.addresses().node, service, Side::Old);
        let entry = start(settings(&platform, &[]));
        let pair = Pair {
            platform,
            entry,
            server,
        };
        pair.wait_for_table(1).await;
        pair
    }

    /// Waits until both nodes have the table with this number and know a server.
    pub async fn wait_for_table(&self, number: u64) {
        for daemon in [&self.entry, &self.server] {
            eventually(async || {
                let status = status(daemon).await;
                let known = status["members_known"].as_u64() > Some(0);
                status["table_number"].as_u64() == Some(number) && known
            })
            .await;
        }
    }

    pub fn callers(&self) -> SocketAddr {
        self.entry.addresses().callers
    }

    pub async fn stop(self) {
        stop(self.entry).await;
        stop(self.server).await;
    }
}

pub async fn status(daemon: &Daemon) -> serde_json::Value {
    operators(daemon, "/status").await
}

pub async fn operators(daemon: &Daemon, path: &str) -> serde_json::Value {
    let request = get(path);
    let answer = call(daemon.addresses().operators, request).await;
    serde_json::from_str(&answer.text).unwrap()
}

/// Runs a command of `lifthollowctl` on a node and returns its output.
pub async fn ctl(command: &str, daemon: &Daemon, options: &[&str]) -> String {
    let address = daemon.addresses().operators.to_string();
    let words: Vec<&str> = [&[command, &address], options].concat();
    let arguments = Arguments::from_args(&["lifthollowctl"], &words).expect("a valid command");
    let run = move || lifthollow_ctl::run(&arguments.command);
    let report = tokio::task::spawn_blocking(run).await.unwrap();
    report.unwrap_or_else(|error| panic!("{error:#}")).text
}

pub fn get(path: &str) -> Request<AnyBody> {
    let request = Request::get(path).header("host", "test");
    request.body(full("")).unwrap()
}

/// A request for `service`, to be sent to a node's port for callers.
pub fn to_service(service: &str, method: &str, body: AnyBody) -> Request<AnyBody> {
    Request::builder()
        .method(method)
        .uri("/path?query=1")
        .header("host", "test")
        .header("lifthollow-service", service)
        .body(body)
        .unwrap()
}

pub async fn connect(address: SocketAddr) -> SendRequest<AnyBody> {
    let socket = TcpStream::connect(address).await.unwrap();
    socket.set_nodelay(true).unwrap();
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .unwrap();
    tokio::spawn(connection);
    sender
}

#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub outcome: String,
    pub reason: String,
    pub text: String,
}

/// Makes one call on a new connection and reads the whole answer.
pub async fn call(address: SocketAddr, request: Request<AnyBody>) -> Answer {
    let mut sender = connect(address).await;
    let response = sender.send_request(request).await.unwrap();
    read(response).await
}

pub async fn read(response: Response<Incoming>) -> Answer {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.map_or(String::new(), |value| value.to_str().unwrap().to_owned())
    };
    let (outcome, reason) = (header("lifthollow-outcome"), header("lifthollow-reason"));
    let status = response.status();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    Answer {
        status,
        outcome,
        reason,
        text: String::from_utf8(bytes.to_vec()).unwrap(),
    }
}
