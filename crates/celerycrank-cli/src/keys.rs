//! The `keys` command.

use std::{error::Error, fs, io::Write, os::unix::fs::OpenOptionsExt, path::Path, path::PathBuf};

use celerycrank_link::DeploymentAuthority;

/// Only the owner may read a private key.
const KEY_FILE_MODE: u32 = 0o600;

/// Makes `authority.pem`, and `NAME.pem` with `NAME.key` for each process.
///
/// The authority's own private key is not kept: to add processes later, make a new set.
#[derive(Debug, clap::Args)]
pub(crate) struct KeysArgs {
    /// Directory for the files; made if it is not there.
    #[arg(long)]
    out: PathBuf,
    /// Name of a process; may be given several times.
    #[arg(long = "name", default_values_t = [String::from("entry"), String::from("agent")])]
    names: Vec<String>,
}

/// Makes the keys of a trial deployment.
pub(crate) fn make_keys(args: &KeysArgs) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(&args.out)?;
    let authority = DeploymentAuthority::generate()?;
    fs::write(args.out.join("authority.pem"), authority.certificate())?;
    for name in &args.names {
        let keys = authority.issue(name)?;
        fs::write(args.out.join(format!("{name}.pem")), keys.certificate)?;
        write_private(&args.out.join(format!("{name}.key")), &keys.key)?;
    }
    Ok(())
}

fn write_private(path: &Path, text: &str) -> Result<(), Box<dyn Error>> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create(true).truncate(true);
    let mut file = options.mode(KEY_FILE_MODE).open(path)?;
    file.write_all(text.as_bytes())?;
    Ok(())
}
