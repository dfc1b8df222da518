//! A simulated platform and an echo back end, inside the benchmark's process.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};

use anyhow::Result;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// The service that is called.
pub const SERVICE: &str = "echo";
/// A loopback address whose port the system chooses.
pub const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

const TABLE: &str = "lifthollow-table,1
service,side,weight,max_in_flight,max_queue,max_connections,class,repeatable,deadline_ms
echo,old,100,200,200,200,normal,yes,5000
echo,new,0,200,200,200,normal,yes,5000
";

/// The platform's service and the back end that the nodes use.
pub struct Surroundings {
    pub platform: SocketAddr,
    pub backend: SocketAddr,
    machines: Arc<Mutex<String>>,
}

impl Surroundings {
    pub async fn start() -> Result<Self> {
        let machines = Arc::new(Mutex::new("address,service,side,zone,state\n".to_owned()));
        let listed = machines.clone();
        let platform = serve(move |request| {
            let text = match request.uri().path() {
                "/table" => TABLE.to_owned(),
                _ => listed.lock().expect("no holder of the lock panics").clone(),
            };
            async move { Ok(Bytes::from(text)) }
        });
        let backend = serve(|request| async move {
            let body = request.into_body().collect().await?;
            Ok(body.to_bytes())
        });
        Ok(Surroundings {
            platform: platform.await?,
            backend: backend.await?,
            machines,
        })
    }

    /// Adds the node with the local back end to the platform's list of machines.
    pub fn list(&self, node: &str) {
        let line = format!("{node},{SERVICE},old,1,live\n");
        self.machines
            .lock()
            .expect("no holder of the lock panics")
            .push_str(&line);
    }
}

async fn serve<H, F>(handler: H) -> Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Bytes, hyper::Error>> + Send + 'static,
{
    let listener = TcpListener::bind(LOOPBACK).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let _ = socket.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move {
                    let bytes = answer.await.unwrap_or_default();
                    Ok::<_, Infallible>(Response::new(Full::new(bytes)))
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service);
            tokio::spawn(connection);
        }
    });
    Ok(address)
}
