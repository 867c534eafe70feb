//! An entry VM with an embedded platform and fake workers, all within the test process.

use super::random_loopback_ip;
use cranberrytray::{
    client::{CallerClient, OperatorClient},
    config::Settings,
    daemon::run::run,
    fake::{serve, worker::FakeWorker},
    transport::http::HttpRequest,
};
use hyper::Method;
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};
use tokio::{net::TcpListener, sync::oneshot};

/// An entry VM within the test process; it stops when this is dropped.
pub struct EmbeddedVm {
    pub ip: Ipv4Addr,
    pub workers: Vec<Arc<FakeWorker>>,
    _stop: oneshot::Sender<()>,
}

impl EmbeddedVm {
    /// Starts one entry VM with `workers` fake workers of two slots each and waits until it is
    /// ready; `extra_settings` override its settings.
    pub async fn start(workers: usize, extra_settings: Value) -> Self {
        let ip = random_loopback_ip();
        let (mut fakes, mut worker_list) = (Vec::new(), Vec::new());
        for i in 0..workers {
            let listener =
                TcpListener::bind((random_loopback_ip(), 7200)).await.expect("a free address");
            let address = listener.local_addr().expect("an address");
            let fake = Arc::new(FakeWorker::new(2, 1.0));
            tokio::spawn(serve(Arc::clone(&fake), listener));
            fakes.push(fake);
            worker_list.push(json!({ "name": format!("w-{i}"), "address": address, "slots": 2 }));
        }
        let mut settings = json!({
            "vm": "a-1",
            "zone": "a",
            "callers": format!("{ip}:7100"),
            "peers": format!("{ip}:7101"),
            "operators": format!("{ip}:7102"),
            "health": format!("{ip}:7103"),
            "platform": {
                "kind": "embedded",
                "configuration": { "teams": { "drafting": {}, "small": { "starts_per_s": 1.0 } } },
                "workers": worker_list,
            },
        });
        for (key, value) in extra_settings.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let settings = Settings::parse("test", &settings.to_string()).expect("good settings");
        let (stop, stopped) = oneshot::channel();
        tokio::spawn(run(settings, async move {
            let _ = stopped.await;
        }));
        let vm = EmbeddedVm { ip, workers: fakes, _stop: stop };
        super::wait_until(|| async {
            let result = HttpRequest::new(Method::GET, "/ready").send((ip, 7103).into()).await;
            result.is_ok_and(|res| res.status == 200)
        })
        .await;
        vm
    }

    pub fn callers(&self) -> SocketAddr {
        (self.ip, 7100).into()
    }

    pub fn peers(&self) -> SocketAddr {
        (self.ip, 7101).into()
    }

    pub fn caller(&self) -> CallerClient {
        CallerClient::new(vec![self.callers()])
    }

    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new((self.ip, 7102).into())
    }

    /// Returns the number of task starts, summed over all workers.
    pub fn starts(&self) -> u32 {
        self.workers.iter().flat_map(|worker| worker.starts().into_values()).sum()
    }
}
