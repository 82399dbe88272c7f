//! Compares the policies and prints a table; writes JSON lines and a plot where it is told to.

use std::{error::Error, fs, path::PathBuf, process::ExitCode, thread, time::Instant};

use bench::{aim, plan, plot, report, workload};
use clap::{Arg, ArgMatches, Command, value_parser};

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let path = |name: &'static str| Arg::new(name).value_parser(value_parser!(PathBuf));
    let threads = Arg::new("threads").long("threads").value_parser(value_parser!(usize));
    let extent = Arg::new("extent").long("extent").value_parser(["short", "aims", "full"]);
    Command::new("bench")
        .about("Measures the scheduler's policy in virtual time against plain policies")
        .arg(path("workload").num_args(1..).help("Workload files [default: both users']"))
        .arg(path("json").long("json").help("Write one JSON object a row to this file"))
        .arg(path("svg").long("svg").help("Write the plot to this file"))
        .arg(threads.default_value("4").help("Runs at once"))
        .arg(extent.default_value("full").help("How much to run"))
}

fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let begun = Instant::now();
    let paths: Vec<PathBuf> = match matches.get_many::<PathBuf>("workload") {
        Some(paths) => paths.cloned().collect(),
        None => workload::shipped(),
    };
    let workloads: Result<Vec<_>, _> = paths.iter().map(|path| workload::load(path)).collect();
    let workloads = workloads?;
    let available = thread::available_parallelism().map_or(1, usize::from);
    let threads = matches.get_one("threads").copied().unwrap_or(1).min(available);
    let extent = match matches.get_one::<String>("extent").map(String::as_str) {
        Some("short") => plan::short(threads),
        Some("aims") => plan::aims(threads),
        _ => plan::full(threads),
    };
    let rows = plan::run(&workloads, &extent);
    print!("{}{}", report::table(&workloads, &rows), aim::table(&workloads, &rows));
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        fs::write(path, report::json_lines(&workloads, &rows))?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        fs::write(path, plot::svg(&workloads, &rows)?)?;
    }
    eprint!("{}", report::reducer_times(&rows));
    eprintln!("wall time {:.0} s", begun.elapsed().as_secs_f64());
    Ok(())
}
