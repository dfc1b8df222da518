//! The command that evaluates nodes' logs.

mod causes;
mod line;

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use anyhow::{Context, Result};

use crate::arguments::CausesCommand;
use crate::outcome::Report;
use causes::Causes;

/// The name of a file that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// `causes`: counts why requests were not served.
pub fn causes(command: &CausesCommand) -> Result<Report> {
    let mut causes = Causes::default();
    for name in &command.files {
        read(name, &command.request, &mut causes)
            .with_context(|| format!("{name}: can't be read"))?;
    }
    Ok(Report::done(causes.render()))
}

fn read(name: &str, request: &Option<String>, causes: &mut Causes) -> io::Result<()> {
    let input: Box<dyn BufRead> = match name {
        STANDARD_INPUT => Box::new(io::stdin().lock()),
        name => Box::new(BufReader::new(File::open(name)?)),
    };
    let wanted = request.as_ref().map(|id| format!("\"request\":\"{id}"));
    for line in input.lines() {
        let line = line?;
        if wanted.as_ref().is_some_and(|wanted| !line.contains(wanted)) {
            continue;
        }
        if let Some(line) = line::parse(&line) {
            causes.add(line);
        }
    }
    Ok(())
}
