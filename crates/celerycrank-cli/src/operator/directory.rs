//! The directory with both lists, which operators keep under version control.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use celerycrank_config::{
    CustomerList, ListErrors, ListTexts, PlanList, PlatformSettings, ValidationError, check_lists,
    check_platform, format_json,
};
use celerycrank_types::Revision;
use serde::{Deserialize, Serialize};

use crate::operator::CommandError;

const CUSTOMERS_FILE: &str = "customers.json";
const PLANS_FILE: &str = "plans.json";
const PLATFORM_FILE: &str = "platform.json";
const REVISION_FILE: &str = "revision.json";

/// Location of the lists.
#[derive(Debug, Clone, clap::Args)]
pub(crate) struct DirectoryArgs {
    /// Directory with customers.json, plans.json, platform.json and revision.json.
    #[arg(long, default_value = ".")]
    dir: PathBuf,
}

/// The files of both lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ListFiles {
    pub(crate) customers: PathBuf,
    pub(crate) plans: PathBuf,
}

/// The customer list and the plan list.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct ListPair {
    pub(crate) customers: CustomerList,
    pub(crate) plans: PlanList,
}

/// The revision on which the lists in the directory are based.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RevisionFile {
    revision: Revision,
}

impl DirectoryArgs {
    pub(crate) const fn at(dir: PathBuf) -> Self {
        Self { dir }
    }

    pub(crate) fn path(&self) -> &Path {
        &self.dir
    }

    /// Returns the files of both lists; those of the working directory without a directory.
    pub(crate) fn list_files(&self) -> ListFiles {
        let path = |file| match self.dir.to_str() {
            Some(".") => PathBuf::from(file),
            _ => self.dir.join(file),
        };
        ListFiles {
            customers: path(CUSTOMERS_FILE),
            plans: path(PLANS_FILE),
        }
    }

    /// Reads and checks both lists.
    pub(crate) fn read_lists(&self) -> Result<Result<ListPair, ListErrors>, CommandError> {
        let customers = read(&self.dir.join(CUSTOMERS_FILE))?;
        let plans = read(&self.dir.join(PLANS_FILE))?;
        let texts = ListTexts {
            customers: &customers,
            plans: &plans,
        };
        Ok(check_lists(texts).map(|(customers, plans)| ListPair { customers, plans }))
    }

    /// Reads both lists and fails if they have errors.
    pub(crate) fn read_valid_lists(&self) -> Result<ListPair, CommandError> {
        let error =
            |errors: ListErrors| CommandError::Invalid(self.dir.clone(), errors.to_string().into());
        self.read_lists()?.map_err(error)
    }

    /// Reads the addresses of the platform's services.
    pub(crate) fn read_platform(&self) -> Result<PlatformSettings, CommandError> {
        let path = self.dir.join(PLATFORM_FILE);
        let text = read(&path)?;
        check_platform(&text).map_err(|errors| {
            let lines = errors.iter().map(ValidationError::to_string);
            CommandError::Invalid(path, lines.collect::<Vec<_>>().join("\n").into())
        })
    }

    /// Reads the revision on which the lists are based; zero if none was exported or applied yet.
    pub(crate) fn read_revision(&self) -> Result<Revision, CommandError> {
        let path = self.dir.join(REVISION_FILE);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Revision(0)),
            Err(e) => return Err(CommandError::File(path, e)),
        };
        match serde_json::from_str::<RevisionFile>(&text) {
            Ok(file) => Ok(file.revision),
            Err(e) => Err(CommandError::Invalid(path, e.to_string().into())),
        }
    }

    /// Stores the revision to which the lists in the directory correspond.
    pub(crate) fn write_revision(&self, revision: Revision) -> Result<(), CommandError> {
        let file = RevisionFile { revision };
        write(&self.dir.join(REVISION_FILE), &format_json(&file))
    }

    /// Writes both lists and the revision at which they were read from the service.
    pub(crate) fn write_lists(
        &self,
        lists: &ListPair,
        revision: Revision,
    ) -> Result<(), CommandError> {
        let create = fs::create_dir_all(&self.dir);
        create.map_err(|e| CommandError::File(self.dir.clone(), e))?;
        write(
            &self.dir.join(CUSTOMERS_FILE),
            &format_json(&lists.customers),
        )?;
        write(&self.dir.join(PLANS_FILE), &format_json(&lists.plans))?;
        self.write_revision(revision)
    }

    /// Whether the directory already holds lists that an export would replace.
    pub(crate) fn has_lists(&self) -> bool {
        self.dir.join(CUSTOMERS_FILE).exists() || self.dir.join(PLANS_FILE).exists()
    }
}

pub(crate) fn read(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|e| CommandError::File(path.to_owned(), e))
}

fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    fs::write(path, text).map_err(|e| CommandError::File(path.to_owned(), e))
}
