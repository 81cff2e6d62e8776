//! `celerycrank key hash`: the hash of an API key, in the form used in the customer list.

use std::io::{self, Read};

use celerycrank_config::KeyHash;
use clap::Subcommand;
use serde_json::json;

use crate::operator::{CommandError, CommandReport};

/// Works with callers' API keys.
#[derive(Debug, clap::Args)]
pub(crate) struct KeyArgs {
    #[command(subcommand)]
    command: KeyCommand,
}

#[derive(Debug, Subcommand)]
enum KeyCommand {
    /// Prints the hash of a key that is read from standard input.
    ///
    /// The key is not an argument, since arguments are visible in process lists and
    /// shell histories. Example: `celerycrank key hash < key.txt`
    Hash,
}

/// Prints the hash of a key.
pub(crate) fn key(args: &KeyArgs) -> Result<CommandReport, CommandError> {
    match args.command {
        KeyCommand::Hash => {
            let mut text = String::new();
            let read = io::stdin().read_to_string(&mut text);
            read.map_err(|e| CommandError::File("the standard input".into(), e))?;
            let hash = KeyHash::of_key(text.trim());
            Ok(CommandReport::done(
                format!("{hash}\n"),
                &json!({ "hash": hash }),
            ))
        }
    }
}
