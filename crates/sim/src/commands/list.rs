//! `list`: which meshes, scenarios and policies there are.

use anyhow::Result;
use argh::FromArgs;
use lifthollow_coordination::PolicyKind;

use crate::mesh::Mesh;
use crate::scenario::builtin_names;

/// Print the meshes, scenarios and policies.
///
/// Scenarios combine: `a+b` is both at once, `a*2` is the same twice in a row.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListCommand {}

/// Prints one line for each, the group first.
pub fn execute(_command: &ListCommand) -> Result<()> {
    for name in Mesh::NAMES {
        println!("mesh {name}");
    }
    for name in builtin_names() {
        println!("scenario {name}");
    }
    for policy in PolicyKind::ALL {
        println!("policy {policy}");
    }
    Ok(())
}
