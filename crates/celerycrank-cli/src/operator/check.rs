//! `celerycrank check`: reports errors, warnings and differences of lists, settings and
//! configuration records before they are sent.

use std::{
    fmt::Write,
    fs,
    path::{Path, PathBuf},
};

use celerycrank_config::{
    CheckedDocument, ConfigurationRecord, Difference, Finding, ListDocuments, ListErrors,
    ListTexts, Severity, Tendency, ValidationError, check_agent, check_entry, check_lists,
    compare_lists, error_finding,
};
use celerycrank_platform::check_record;
use serde::Serialize;
use serde_json::json;

use crate::operator::{
    CommandError, CommandReport, ReportFormat,
    directory::{DirectoryArgs, ListFiles, ListPair, read},
    report::ExitStatus,
    service::PlatformHandle,
};

const EXAMPLES: &str = "\
Examples:
  celerycrank check                         both lists in this directory
  celerycrank check --dir auction-house     both lists in another directory
  celerycrank check --entry-settings e.json --agent-settings a.json
  celerycrank check --strict --in-force .   the same with what becomes stricter for whom
  celerycrank check --against old.json customers.json plans.json
  celerycrank check --platform --against in-force.json next.json

The command changes nothing and needs no API key. docs/operators/check.md lists
the codes of all findings.

Exit codes with a FILE, --against, --in-force, --json or --strict:
  0  no errors; with --strict no warnings either
  1  findings with which the processes would not accept the configuration
  2  the command could not run

Exit codes otherwise:
  0  no errors
  2  the command line is invalid
  3  a file has errors
  8  a file cannot be read";

/// Reports errors, warnings and differences of lists, settings files and configuration records.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct CheckArgs {
    #[command(flatten)]
    directory: DirectoryArgs,
    /// Settings file of an entry; may be repeated.
    #[arg(long)]
    entry_settings: Vec<PathBuf>,
    /// Settings file of an agent; may be repeated.
    #[arg(long)]
    agent_settings: Vec<PathBuf>,
    /// The files are configuration records of the platform's store.
    #[arg(long, requires = "files", conflicts_with = "in_force")]
    platform: bool,
    #[command(flatten)]
    comparison: ComparisonArgs,
    /// Prints one JSON value, as with --format json.
    #[arg(long)]
    json: bool,
    /// Warnings count as errors.
    #[arg(long)]
    strict: bool,
    /// A directory with both lists, the customer list and the plan list, or records with --platform.
    files: Vec<PathBuf>,
}

/// The version in force with which the files are compared.
#[derive(Debug, clap::Args)]
struct ComparisonArgs {
    /// Shows the differences from this version: a record, the output of `show --format json`, or a
    /// directory with both lists.
    #[arg(long, value_name = "FILE", conflicts_with = "in_force")]
    against: Option<PathBuf>,
    /// Shows the differences from the lists in force, which are read with platform.json.
    #[arg(long)]
    in_force: bool,
}

impl CheckArgs {
    /// Returns the format of the report.
    pub(crate) const fn format(&self, format: ReportFormat) -> ReportFormat {
        if self.json {
            ReportFormat::Json
        } else {
            format
        }
    }

    /// Whether the report has the form for scripts, with exit codes of its own.
    ///
    /// Without one of these arguments, reports and exit codes are those of earlier versions.
    const fn is_for_scripts(&self) -> bool {
        let is_compared = self.comparison.against.is_some() || self.comparison.in_force;
        !self.files.is_empty() || is_compared || self.json || self.strict
    }
}

/// The findings about files that are checked together.
#[derive(Debug, Serialize)]
struct CheckedFiles {
    /// Names of the files.
    files: String,
    findings: Vec<Finding>,
    differences: Vec<Difference>,
    /// What the files hold; `None` if they have errors.
    contents: Option<String>,
}

/// Checks the files.
pub(crate) async fn check(args: &CheckArgs) -> Result<CommandReport, CommandError> {
    if !args.is_for_scripts() {
        return check_directory(args);
    }
    let mut report = match collect(args).await {
        Ok(checked) => report_findings(&checked, args.strict),
        Err(error) => error.into_report(),
    };
    if !matches!(report.exit, ExitStatus::Done | ExitStatus::Found) {
        report.exit = ExitStatus::CannotRun;
    }
    Ok(report)
}

async fn collect(args: &CheckArgs) -> Result<Vec<CheckedFiles>, CommandError> {
    let mut checked = Vec::new();
    if args.platform {
        for path in &args.files {
            checked.push(check_platform_record(
                path,
                args.comparison.against.as_deref(),
            )?);
        }
    } else {
        checked.push(check_list_files(args).await?);
    }
    for path in &args.entry_settings {
        let errors = check_entry(&read(path)?).err().unwrap_or_default();
        checked.push(check_settings(path, &errors)?);
    }
    for path in &args.agent_settings {
        let errors = check_agent(&read(path)?).err().unwrap_or_default();
        checked.push(check_settings(path, &errors)?);
    }
    Ok(checked)
}

fn check_platform_record(
    path: &Path,
    against: Option<&Path>,
) -> Result<CheckedFiles, CommandError> {
    let read = |path: &Path| fs::read(path).map_err(|e| CommandError::File(path.to_owned(), e));
    let value = read(path)?;
    let in_force = against.map(read).transpose()?;
    let name = path.display().to_string();
    let checked = check_record(&name, &value, in_force.as_deref());
    let checked = checked.map_err(|error| {
        let path = against.unwrap_or(path).to_owned();
        CommandError::Invalid(path, error.to_string().into())
    })?;
    let contents = checked.counts.map(|(routes, services, accounts)| {
        format!("{routes} routes, {services} services, {accounts} accounts")
    });
    Ok(CheckedFiles {
        files: name,
        findings: checked.findings,
        differences: checked.differences,
        contents,
    })
}

async fn check_list_files(args: &CheckArgs) -> Result<CheckedFiles, CommandError> {
    let (directory, files) = match args.files.as_slice() {
        [] => (args.directory.clone(), args.directory.list_files()),
        [path] if path.is_dir() => {
            let directory = DirectoryArgs::at(path.clone());
            let files = directory.list_files();
            (directory, files)
        }
        [customers, plans] => {
            let files = ListFiles {
                customers: customers.clone(),
                plans: plans.clone(),
            };
            (args.directory.clone(), files)
        }
        _ => return Err(CommandError::ListFiles),
    };
    let lists = read_lists(&files)?;
    let mut checked = CheckedFiles {
        files: format!("{}, {}", files.customers.display(), files.plans.display()),
        findings: lists.findings,
        differences: Vec::new(),
        contents: None,
    };
    let in_force = read_in_force(args, &directory).await?;
    if let Ok(lists) = &lists.lists {
        let accounts = lists.customers.accounts.len();
        let plans = lists.plans.plans.len();
        checked.contents = Some(format!("{accounts} accounts, {plans} plans"));
        if let Some(old) = in_force {
            let old = (&old.customers, &old.plans);
            checked.differences = compare_lists(old, (&lists.customers, &lists.plans));
        }
    }
    Ok(checked)
}

/// Reads the lists in force from the file or the service that the arguments name.
async fn read_in_force(
    args: &CheckArgs,
    directory: &DirectoryArgs,
) -> Result<Option<ListPair>, CommandError> {
    if args.comparison.in_force {
        let platform = PlatformHandle::new(&directory.read_platform()?);
        let stored = platform.read_configuration().await?;
        let lists = stored.map(|stored| {
            let ConfigurationRecord {
                customers, plans, ..
            } = stored.value;
            ListPair { customers, plans }
        });
        return Ok(Some(lists.unwrap_or_default()));
    }
    match &args.comparison.against {
        None => Ok(None),
        Some(path) if path.is_dir() => DirectoryArgs::at(path.clone()).read_valid_lists().map(Some),
        Some(path) => match serde_json::from_str::<ListPair>(&read(path)?) {
            Ok(lists) => Ok(Some(lists)),
            // The message of the error may quote an API key.
            Err(e) => Err(CommandError::Invalid(
                path.clone(),
                format!(
                    "it cannot be read as both lists at line {} column {}",
                    e.line(),
                    e.column()
                )
                .into(),
            )),
        },
    }
}

/// Both lists, if they are valid, and the findings about them.
struct ReadLists {
    lists: Result<ListPair, ListErrors>,
    findings: Vec<Finding>,
}

fn read_lists(files: &ListFiles) -> Result<ReadLists, CommandError> {
    let (customers, plans) = (read(&files.customers)?, read(&files.plans)?);
    let texts = ListTexts {
        customers: &customers,
        plans: &plans,
    };
    let names = [&files.customers, &files.plans].map(|path| path.display().to_string());
    let documents = ListDocuments {
        customers: CheckedDocument::new(&names[0], &customers),
        plans: CheckedDocument::new(&names[1], &plans),
    };
    let lists = check_lists(texts).map(|(customers, plans)| ListPair { customers, plans });
    let findings = match &lists {
        Ok(lists) => documents.warnings(&lists.customers, &lists.plans),
        Err(errors) => documents.error_findings(errors),
    };
    Ok(ReadLists { lists, findings })
}

fn check_settings(path: &Path, errors: &[ValidationError]) -> Result<CheckedFiles, CommandError> {
    let text = read(path)?;
    let name = path.display().to_string();
    let document = CheckedDocument::new(&name, &text);
    let findings = errors.iter().map(|error| error_finding(&document, error));
    let findings = findings.collect::<Vec<_>>();
    let contents = findings.is_empty().then(|| "settings".to_owned());
    Ok(CheckedFiles {
        files: name,
        findings,
        differences: Vec::new(),
        contents,
    })
}

fn report_findings(checked: &[CheckedFiles], strict: bool) -> CommandReport {
    let mut text = String::new();
    for files in checked {
        for finding in &files.findings {
            append_line(&mut text, finding);
        }
        for difference in &files.differences {
            append_line(&mut text, difference);
        }
        append_line(&mut text, &summarize(files));
    }
    let count = |severity| {
        let findings = checked.iter().flat_map(|files| &files.findings);
        findings.filter(|it| it.severity == severity).count()
    };
    let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
    let exit = if errors > 0 || (strict && warnings > 0) {
        ExitStatus::Found
    } else {
        ExitStatus::Done
    };
    let json = json!({ "errors": errors, "warnings": warnings, "checked": checked });
    CommandReport::new(exit, text, &json)
}

/// Returns a line with the number of findings and differences of files that are checked together.
fn summarize(files: &CheckedFiles) -> String {
    let findings = |severity| {
        let findings = files.findings.iter();
        findings.filter(|it| it.severity == severity).count()
    };
    let mut text = format!(
        "{}: {}, {}",
        files.files,
        quantity(findings(Severity::Error), "error"),
        quantity(findings(Severity::Warning), "warning"),
    );
    if !files.differences.is_empty() {
        let count = |tendency| {
            let differences = files.differences.iter();
            differences.filter(|it| it.tendency == tendency).count()
        };
        write!(
            text,
            ", {} ({} stricter, {} laxer)",
            quantity(files.differences.len(), "difference"),
            count(Tendency::Stricter),
            count(Tendency::Laxer),
        )
        .expect("writing to a string cannot fail");
    }
    if let Some(contents) = &files.contents {
        write!(text, "; {contents}").expect("writing to a string cannot fail");
    }
    text
}

fn quantity(count: usize, noun: &str) -> String {
    match count {
        0 => format!("no {noun}s"),
        1 => format!("1 {noun}"),
        _ => format!("{count} {noun}s"),
    }
}

/// Checks the lists of the directory and settings files; reports them as earlier versions do.
fn check_directory(args: &CheckArgs) -> Result<CommandReport, CommandError> {
    let mut text = String::new();
    let ReadLists { lists, findings } = read_lists(&args.directory.list_files())?;
    let list_errors = lists.as_ref().err().cloned().unwrap_or_default();
    text.push_str(&list_errors.to_string());
    let mut settings = Vec::new();
    for path in &args.entry_settings {
        let errors = check_entry(&read(path)?).err().unwrap_or_default();
        settings.push((path, errors));
    }
    for path in &args.agent_settings {
        let errors = check_agent(&read(path)?).err().unwrap_or_default();
        settings.push((path, errors));
    }
    for (path, errors) in &settings {
        append_errors(&mut text, path, errors);
    }
    let count = list_errors.len()
        + settings
            .iter()
            .map(|(_, errors)| errors.len())
            .sum::<usize>();
    let exit = if count == 0 {
        ExitStatus::Done
    } else {
        ExitStatus::Invalid
    };
    match &lists {
        _ if count > 0 => append_summary(&mut text, count),
        Ok(lists) => {
            let accounts = lists.customers.accounts.len();
            let plans = lists.plans.plans.len();
            text = format!("no errors: {accounts} accounts, {plans} plans\n");
        }
        Err(_) => {}
    }
    if lists.is_ok() {
        for warning in &findings {
            append_line(&mut text, warning);
        }
    }
    let settings = settings
        .iter()
        .map(|(path, errors)| json!({ "file": path, "faults": errors }))
        .collect::<Vec<_>>();
    let json = json!({
        "faults": count, "lists": list_errors, "settings": settings, "findings": findings,
    });
    Ok(CommandReport::new(exit, text, &json))
}

fn append_errors(text: &mut String, path: &Path, errors: &[ValidationError]) {
    for error in errors {
        writeln!(text, "{}: {error}", path.display()).expect("writing to a string cannot fail");
    }
}

fn append_summary(text: &mut String, count: usize) {
    let noun = if count == 1 { "error" } else { "errors" };
    writeln!(text, "{count} {noun}").expect("writing to a string cannot fail");
}

fn append_line(text: &mut String, line: &impl std::fmt::Display) {
    writeln!(text, "{line}").expect("writing to a string cannot fail");
}
