//! The HTTP client for relay and discovery: few kept connections, no delay, no time-out of its own, since
//! every call has one and the stream of news has none.

use crate::life::limits::Limits;
use actix_rt::net::TcpStream;
use actix_service::ServiceExt;
use actix_tls::connect::{Connection, Connector as Dial, Resolver};
use awc::http::Uri;
use awc::{Client, Connector};
use std::time::Duration;

/// Kept connections are let go of before the other side closes them.
pub fn client(limits: &Limits) -> Client {
    let dial = Dial::new(Resolver::default()).service().map(|connection: Connection<Uri, TcpStream>| {
        // Without it the call still arrives, only later.
        let _ = connection.io_ref().set_nodelay(true);
        connection
    });
    let connector = Connector::new().connector(dial).timeout(limits.connect).conn_keep_alive(limits.idle);
    let connector = connector.disconnect_timeout(Duration::ZERO);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}
