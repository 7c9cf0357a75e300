//! The counters as a page, for whoever asks by HTTP at the listen address.

use crate::kept::desk::Desk;
use actix_http::{HttpService, KeepAlive, Method, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use std::convert::Infallible;
use std::rc::Rc;

/// Serves one connection, which ends with the answer.
pub async fn serve(desk: Rc<Desk>, stream: TcpStream) {
    let limits = desk.limits;
    let answer = move |request: Request| {
        let desk = desk.clone();
        async move {
            desk.counters.one("pages");
            let found = request.method() == Method::GET && request.path() == "/counters";
            let page = if found {
                desk.counters.now("servers_held", desk.supervisor.borrow().servers_held());
                let (known, open) = desk.membership.sources.borrow().held();
                desk.counters.now("servers_known", known);
                desk.counters.now("servers_open", open);
                Response::ok().set_body(desk.counters.page())
            } else {
                Response::not_found().set_body(String::new())
            };
            Ok::<_, Infallible>(page)
        }
    };
    let service = HttpService::build()
        .keep_alive(KeepAlive::Disabled)
        .client_request_timeout(limits.unnamed_guest)
        .client_disconnect_timeout(limits.write)
        .finish(fn_service(answer).into_factory())
        .tcp();
    if let Ok(service) = service.new_service(()).await {
        // A page that could not be served whole concerns only whoever asked.
        let _ = service.call(stream).await;
    }
}
