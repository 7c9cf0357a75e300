//! HTTP served on a loopback address, with connections that a handler can break off.

use actix_http::body::BoxBody;
use actix_http::{HttpService, Payload, Request, Response};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// A listening socket whose address is known before anything is served.
pub struct Listener {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Listener {
    /// Port 0 takes any free one.
    pub async fn open(address: &str) -> std::io::Result<Listener> {
        let listener = TcpListener::bind(address).await?;
        Ok(Listener { address: listener.local_addr()?, listener })
    }

    /// Serves for ever. A handler gets its connection's breaker: once told, the connection is gone.
    pub async fn serve<F, R>(self, handle: F)
    where
        F: Fn(Request, Payload, Rc<Notify>) -> R + Clone + 'static,
        R: Future<Output = Response<BoxBody>> + 'static,
    {
        while let Ok((stream, _)) = self.listener.accept().await {
            actix_rt::spawn(connection(stream, handle.clone()));
        }
    }
}

async fn connection<F, R>(stream: TcpStream, handle: F)
where
    F: Fn(Request, Payload, Rc<Notify>) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let breaker = Rc::new(Notify::new());
    let broken = breaker.clone();
    let answer = move |mut request: Request| {
        let payload = request.take_payload();
        let answer = handle(request, payload, breaker.clone());
        async move { Ok::<_, Infallible>(answer.await) }
    };
    let service = HttpService::build().finish(fn_service(answer).into_factory()).tcp();
    if let Ok(service) = service.new_service(()).await {
        tokio::select! {
            _ = service.call(stream) => {}
            () = broken.notified() => {}
        }
    }
}
