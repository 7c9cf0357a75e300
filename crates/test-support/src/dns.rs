//! A name server over UDP and TCP on one loopback address: names with records, and a script of what goes
//! wrong. It answers what is asked of the names it holds and nothing else.

use hickory_proto::op::{Message, MessageType, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;

/// What goes wrong with one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// No answer at all.
    Drop,
    /// It comes that much later.
    Delay(Duration),
    /// Truncated over UDP; whole over TCP.
    Truncate,
    WrongId,
    WrongQuestion,
    /// Records of another owner.
    WrongOwner,
    /// Bytes that are no message.
    Garbage,
    /// Larger than any datagram that was asked for.
    Oversize,
    /// From another port.
    FromElsewhere,
    /// A referral, as one that does not recurse gives.
    Lame,
    Code(ResponseCode),
    /// Over TCP: half the message, then nothing; or then a close.
    Stall,
    Half,
    /// Over TCP: closed at once.
    Refuse,
}

/// One record's data, as [`NameServer::set`] takes it.
#[derive(Clone, Debug, PartialEq)]
pub enum Data {
    Srv { priority: u16, weight: u16, port: u16, target: String },
    Address(IpAddr),
    Alias(String),
}

/// Lifetime in seconds and data, by name and kind.
type Zone = BTreeMap<(Name, RecordType), (u32, Vec<Data>)>;

#[derive(Default)]
pub struct NameServer {
    records: RefCell<Zone>,
    /// For the next answers, one each; an answer of TCP takes its own.
    pub troubles: RefCell<VecDeque<Trouble>>,
    pub tcp_troubles: RefCell<VecDeque<Trouble>>,
    /// For every answer.
    pub always: Cell<Option<Trouble>>,
    /// Addresses of SRV targets go along.
    pub along: Cell<bool>,
    /// Answers for its zone itself.
    pub authoritative: Cell<bool>,
    /// Queries taken over UDP and over TCP.
    pub asked: Cell<(u64, u64)>,
}

fn name(text: &str) -> Name {
    let mut name = Name::from_ascii(text).expect("a domain name");
    name.set_fqdn(true);
    name
}

impl NameServer {
    /// All records of a name and kind, with their lifetime in seconds; none: there is the name alone.
    pub fn set(&self, of: &str, kind: &str, lifetime: u32, data: Vec<Data>) {
        let kind = kind.parse().expect("a record type");
        self.records.borrow_mut().insert((name(of), kind), (lifetime, data));
    }

    /// A service of servers at one priority, with an address each: `(target, port, address)`.
    pub fn serve_list(&self, service: &str, lifetime: u32, servers: &[(&str, u16, &str)]) {
        let srv = |(target, port, _): &(&str, u16, &str)| Data::Srv {
            priority: 10,
            weight: 1,
            port: *port,
            target: (*target).to_owned(),
        };
        self.set(service, "SRV", lifetime, servers.iter().map(srv).collect());
        for (target, _, address) in servers {
            let address = address.parse().expect("an address");
            self.set(
                target,
                if matches!(address, IpAddr::V4(_)) { "A" } else { "AAAA" },
                lifetime,
                vec![Data::Address(address)],
            );
        }
    }

    /// A name that is not there any more.
    pub fn unset(&self, of: &str) {
        let of = name(of);
        self.records.borrow_mut().retain(|(held, _), _| *held != of);
    }

    /// Listens on one port over UDP and TCP; port 0 takes any that is free for both.
    ///
    /// # Errors
    /// If the address cannot be listened at.
    pub async fn listen(self: &Rc<Self>, at: &str) -> std::io::Result<SocketAddr> {
        let (listener, socket) = loop {
            let listener = TcpListener::bind(at).await?;
            match UdpSocket::bind(listener.local_addr()?).await {
                Ok(socket) => break (listener, socket),
                // Another program's datagrams come to the port that was drawn: draw again.
                Err(_) if at.ends_with(":0") => {}
                Err(e) => return Err(e),
            }
        };
        let address = listener.local_addr()?;
        actix_rt::spawn(self.clone().datagrams(Rc::new(socket)));
        actix_rt::spawn(self.clone().streams(listener));
        Ok(address)
    }

    async fn datagrams(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut bytes = [0; 4096];
        while let Ok((length, from)) = socket.recv_from(&mut bytes).await {
            let (udp, tcp) = self.asked.get();
            self.asked.set((udp + 1, tcp));
            let trouble = self.troubles.borrow_mut().pop_front().or(self.always.get());
            let Some((answer, most)) = self.answer(&bytes[..length], trouble) else { continue };
            let (socket, server) = (socket.clone(), self.clone());
            actix_rt::spawn(async move { server.send(&socket, from, answer, most, trouble).await });
        }
    }

    async fn send(
        &self, socket: &UdpSocket, to: SocketAddr, mut answer: Message, most: usize, trouble: Option<Trouble>,
    ) {
        let mut bytes = answer.to_vec().unwrap_or_default();
        let over = bytes.len() > most && trouble != Some(Trouble::Oversize);
        if over || trouble == Some(Trouble::Truncate) {
            answer.metadata.truncation = true;
            (answer.answers, answer.additionals) = (answer.answers.drain(..).take(2).collect(), Vec::new());
            bytes = answer.to_vec().unwrap_or_default();
        }
        match trouble {
            Some(Trouble::Drop) => return,
            Some(Trouble::Delay(by)) => sleep(by).await,
            Some(Trouble::Garbage) => bytes = vec![0xff; 40],
            Some(Trouble::Oversize) => bytes.resize(1500, 0),
            Some(Trouble::FromElsewhere) => {
                let other = UdpSocket::bind("127.0.0.1:0").await;
                if let Ok(other) = other {
                    // Loopback takes it; whether it counts is the other side's matter.
                    let _ = other.send_to(&bytes, to).await;
                }
                return;
            }
            _ => {}
        }
        let _ = socket.send_to(&bytes, to).await;
    }

    async fn streams(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            actix_rt::spawn(async move {
                // A connection that breaks concerns only whoever asked.
                let _ = server.stream(stream).await;
            });
        }
    }

    async fn stream(&self, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let length = stream.read_u16().await?;
            let mut query = vec![0; length.into()];
            stream.read_exact(&mut query).await?;
            let (udp, tcp) = self.asked.get();
            self.asked.set((udp, tcp + 1));
            let trouble = self.tcp_troubles.borrow_mut().pop_front();
            let Some((answer, _)) = self.answer(&query, trouble) else { return Ok(()) };
            let bytes = answer.to_vec().unwrap_or_default();
            let framed = [&(bytes.len() as u16).to_be_bytes()[..], &bytes].concat();
            match trouble {
                Some(Trouble::Refuse | Trouble::Drop) => return Ok(()),
                Some(Trouble::Stall) => {
                    stream.write_all(&framed[..framed.len() / 2]).await?;
                    sleep(Duration::from_secs(600)).await;
                }
                Some(Trouble::Half) => {
                    stream.write_all(&framed[..framed.len() / 2]).await?;
                    return Ok(());
                }
                Some(Trouble::Delay(by)) => sleep(by).await,
                _ => {}
            }
            stream.write_all(&framed).await?;
        }
    }

    /// The answer to a query, and how large it may be over UDP.
    fn answer(&self, query: &[u8], trouble: Option<Trouble>) -> Option<(Message, usize)> {
        let query = Message::from_vec(query).ok()?;
        let asked = query.queries.first()?.clone();
        let most = query.edns.as_ref().map_or(512, |edns| usize::from(edns.max_payload()));
        let meta = &query.metadata;
        let mut answer = Message::new(meta.id, MessageType::Response, meta.op_code);
        answer.metadata.recursion_desired = meta.recursion_desired;
        answer.metadata.authoritative = self.authoritative.get();
        answer.add_query(asked.clone());
        self.fill(&mut answer, &asked);
        match trouble {
            Some(Trouble::WrongId) => answer.metadata.id = meta.id.wrapping_add(1),
            Some(Trouble::WrongQuestion) => {
                answer.queries = vec![Query::query(name("elsewhere.example.net"), asked.query_type)];
            }
            Some(Trouble::WrongOwner) => {
                answer.answers.iter_mut().for_each(|r| r.name = name("_store._tcp.example.net"));
            }
            Some(Trouble::Lame) => {
                (answer.answers, answer.additionals) = (Vec::new(), Vec::new());
                let ns = hickory_proto::rr::rdata::NS(name("ns.example.net"));
                answer.add_authority(Record::from_rdata(asked.name.base_name(), 60, RData::NS(ns)));
            }
            Some(Trouble::Code(code)) => {
                (answer.answers, answer.additionals) = (Vec::new(), Vec::new());
                answer.metadata.response_code = code;
            }
            _ => {}
        }
        Some((answer, most))
    }

    fn fill(&self, answer: &mut Message, asked: &Query) {
        let records = self.records.borrow();
        let of = |owner: &Name, kind| records.get(&(owner.clone(), kind));
        let mut owner = asked.name.clone();
        while let Some((ttl, data)) = of(&owner, RecordType::CNAME)
            && answer.answers.len() < 20
        {
            data.iter().for_each(|d| _ = answer.add_answer(record(&owner, *ttl, d)));
            let Some(Data::Alias(to)) = data.first() else { break };
            owner = name(to);
        }
        let found = of(&owner, asked.query_type);
        if let Some((ttl, data)) = found {
            data.iter().for_each(|d| _ = answer.add_answer(record(&owner, *ttl, d)));
        }
        if self.along.get() {
            let targets = found.iter().flat_map(|(_, data)| data);
            for target in targets
                .filter_map(|d| if let Data::Srv { target, .. } = d { Some(name(target)) } else { None })
            {
                for (ttl, data) in
                    [RecordType::A, RecordType::AAAA].into_iter().filter_map(|kind| of(&target, kind))
                {
                    data.iter().for_each(|d| _ = answer.add_additional(record(&target, *ttl, d)));
                }
            }
        }
        if found.is_none_or(|(_, data)| data.is_empty()) {
            if !records.keys().any(|(held, _)| *held == owner) {
                answer.metadata.response_code = ResponseCode::NXDomain;
            }
            let soa = SOA::new(name("ns.example.org"), name("host.example.org"), 1, 60, 60, 600, 2);
            answer.add_authority(Record::from_rdata(name("example.org"), 60, RData::SOA(soa)));
        }
    }
}

fn record(owner: &Name, ttl: u32, data: &Data) -> Record {
    let data = match data {
        Data::Srv { priority, weight, port, target } => {
            RData::SRV(SRV::new(*priority, *weight, *port, name(target)))
        }
        Data::Address(IpAddr::V4(at)) => RData::A(A(*at)),
        Data::Address(IpAddr::V6(at)) => RData::AAAA(AAAA(*at)),
        Data::Alias(to) => RData::CNAME(CNAME(name(to))),
    };
    Record::from_rdata(owner.clone(), ttl, data)
}
