//! Runs the platform's stand-ins, two engines and a plain service on fixed ports, and writes
//! settings and resources, so that the two programs can be tried by hand.

use std::{
    error::Error,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use clap::{Arg, Command, value_parser};
use model::{Host, Resource, credential, host, resource::Backing};
use serde::Serialize;
use settings::Operator;
use standin::{
    engine::{self, Shape},
    fixture,
    hosts::{self, Hosts},
    log::{self, Log},
    service,
};

const OPERATOR_KEY: &str = "operator-key";
const HOSTS: [&str; 4] = ["entry-1", "drawing-1", "drawing-2", "status-1"];

/// Ports from the first one on.
#[derive(Clone, Copy)]
struct Ports {
    first: u16,
}

/// A target and where its processes listen.
struct Place {
    name: &'static str,
    pool: &'static str,
    backing: Backing,
    /// Offset of its first port.
    port: u16,
}

const PLACES: [Place; 3] = [
    Place { name: "drawing-1", pool: "drawings", backing: Backing::Model, port: 10 },
    Place { name: "drawing-2", pool: "drawings", backing: Backing::Model, port: 20 },
    Place { name: "status-1", pool: "status", backing: Backing::Service, port: 30 },
];

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let dir: &PathBuf = matches.get_one("dir").expect("clap requires it");
    let first = *matches.get_one("port").expect("it has a default");
    let ports = Ports { first };
    let log = log::bind(ports.at(0)).await?;
    let hosts = hosts::bind(ports.at(1)).await?;
    hosts.set(HOSTS.map(live).to_vec());
    let fast = engine::bind(ports.at(10), step(2)).await?;
    let slow = engine::bind(ports.at(20), step(8)).await?;
    let status = service::bind(ports.at(30), Duration::from_millis(1)).await?;
    write_all(dir, ports, &log, &hosts)?;
    explain(dir, ports);
    tokio::signal::ctrl_c().await?;
    let runs = [fast.runs().len(), slow.runs().len(), status.runs().len()];
    println!("\nRequests that ran at drawing-1, drawing-2 and status-1: {runs:?}");
    Ok(())
}

fn command() -> Command {
    Command::new("playground")
        .about("Run the stand-ins and write settings to try wagtailhill by hand")
        .arg(
            Arg::new("dir")
                .help("Folder to write settings and resources to")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("port")
                .long("port")
                .help("First of the 50 ports to use")
                .default_value("7200")
                .value_parser(value_parser!(u16)),
        )
}

impl Ports {
    fn at(self, offset: u16) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.first + offset).into()
    }
}

fn step(millis: u64) -> Shape {
    Shape { step: Duration::from_millis(millis), ..Shape::default() }
}

fn live(name: &str) -> Host {
    Host { name: name.to_owned(), zone: "a".to_owned(), state: host::State::Live }
}

fn write_all(dir: &Path, ports: Ports, log: &Log, hosts: &Hosts) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(dir)?;
    let mut entry = fixture::entry("entry-1", log, hosts);
    entry.listen.callers = ports.at(2);
    entry.listen.operators = ports.at(3);
    entry.timing = Default::default();
    let key_hash = credential::hash(OPERATOR_KEY);
    entry.operators = vec![Operator { name: "operator".to_owned(), key_hash }];
    write(dir, "entry.json", &entry)?;
    for place in &PLACES {
        let mut agent = fixture::agent(place.name, ports.at(place.port), place.backing, log, hosts);
        agent.listen.control = ports.at(place.port + 1);
        agent.listen.traffic = ports.at(place.port + 2);
        agent.listen.operators = ports.at(place.port + 3);
        write(dir, &format!("{}.json", place.name), &agent)?;
    }
    write(dir, "resources.json", &resources(ports))
}

fn resources(ports: Ports) -> Vec<Resource> {
    let mut resources = vec![
        fixture::tier("crew", 0, Duration::from_secs(10)),
        fixture::tier("bulk", 1, Duration::from_secs(30)),
        fixture::account("viewer", &["crew", "bulk"]),
        fixture::model_pool("drawings", &["drawing-7b"]),
        fixture::service_pool("status"),
    ];
    let target = |place: &Place| {
        let (control, traffic) = (ports.at(place.port + 1), ports.at(place.port + 2));
        fixture::target(place.name, place.pool, control, traffic)
    };
    resources.extend(PLACES.iter().map(target));
    resources
}

fn write(dir: &Path, name: &str, content: &impl Serialize) -> Result<(), Box<dyn Error>> {
    Ok(fs::write(dir.join(name), serde_json::to_string_pretty(content)?)?)
}

fn explain(dir: &Path, ports: Ports) {
    let dir = dir.display();
    let (callers, operators) = (ports.at(2), ports.at(3));
    println!("The stand-ins run; Ctrl-C ends them. In other terminals:\n");
    for place in &PLACES {
        println!("  wagtailhill-agent {dir}/{}.json", place.name);
    }
    println!("  wagtailhill serve {dir}/entry.json\n");
    println!("  export WAGTAILHILL_SERVER=http://{operators} WAGTAILHILL_KEY={OPERATOR_KEY}");
    println!("  wagtailhill apply -f {dir}/resources.json --wait in_force");
    println!("  wagtailhill status\n");
    println!("  curl -N http://{callers}/v1/completions -H 'authorization: Bearer viewer-key' \\");
    println!(
        "    -d '{{\"model\": \"drawing-7b\", \"prompt\": \"revision 12\", \"stream\": true}}'"
    );
}
