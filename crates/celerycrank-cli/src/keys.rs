//! The `keys` command.

use std::{error::Error, fs, io::Write, os::unix::fs::OpenOptionsExt, path::Path, path::PathBuf};

use celerycrank_link::DeploymentAuthority;

/// Private keys are accessible to their owner only.
const KEY_FILE_MODE: u32 = 0o600;

/// Generates `authority.pem`, and `NAME.pem` and `NAME.key` for each process.
///
/// The private key of the authority is not stored: to add processes later, generate a new set.
#[derive(Debug, clap::Args)]
pub(crate) struct KeysArgs {
    /// Output directory; created if it does not exist.
    #[arg(long)]
    out: PathBuf,
    /// Name of a process; may be repeated.
    #[arg(long = "name", default_values_t = [String::from("entry"), String::from("agent")])]
    names: Vec<String>,
}

/// Generates the keys of a trial deployment.
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
