//! Tokens of each account per second, and the fairness measures computed from them.

/// Seconds at the start of a run that are not measured, while the queues fill.
pub(super) const WARM_UP_SECONDS: usize = 10;

/// Served fraction at which an account counts as recovered.
const RECOVERED_FRACTION: f64 = 0.95;

/// Offered and served tokens of one account, by the second in which the requests arrived.
#[derive(Debug, Clone)]
pub(super) struct AccountTally {
    /// Share of the account, in tokens per second.
    pub(super) share: f64,
    pub(super) stays_within_share: bool,
    pub(super) offered: Vec<f64>,
    pub(super) served: Vec<f64>,
}

impl AccountTally {
    pub(super) fn new(share: f64, stays_within_share: bool, seconds: usize) -> Self {
        Self {
            share,
            stays_within_share,
            offered: vec![0.0; seconds],
            served: vec![0.0; seconds],
        }
    }

    /// Returns the served fraction of the tokens that the account was entitled to, which are the
    /// offered tokens up to its share; at most one, and `None` if it was entitled to no tokens.
    fn served_fraction(&self, from: usize, seconds: usize) -> Option<f64> {
        let window = from..from + seconds;
        let offered: f64 = self.offered[window.clone()].iter().sum();
        let served: f64 = self.served[window].iter().sum();
        let entitled = offered.min(self.share * seconds as f64);
        (entitled > 0.0).then(|| (served / entitled).min(1.0))
    }
}

/// Returns the starts of the measured windows of a run.
///
/// The last seconds are left out, since their requests may still be waiting.
fn windows(tallies: &[AccountTally], seconds: usize) -> impl Iterator<Item = usize> + use<> {
    let length = tallies.first().map_or(0, |tally| tally.offered.len());
    (WARM_UP_SECONDS..length.saturating_sub(seconds + 4)).step_by(seconds)
}

/// Returns the lowest served fraction of an account that stays within its share, over all
/// windows of the given length in seconds.
pub(super) fn lowest_served_fraction(tallies: &[AccountTally], seconds: usize) -> f64 {
    windows(tallies, seconds)
        .flat_map(|from| {
            let well_behaved = tallies.iter().filter(|tally| tally.stays_within_share);
            well_behaved.filter_map(move |tally| tally.served_fraction(from, seconds))
        })
        .fold(1.0, f64::min)
}

/// Returns the lowest Jain's fairness index of the served fractions of all accounts, over all
/// windows of the given length in seconds.
pub(super) fn lowest_jain_index(tallies: &[AccountTally], seconds: usize) -> f64 {
    windows(tallies, seconds)
        .map(|from| {
            let fractions = tallies
                .iter()
                .filter_map(|tally| tally.served_fraction(from, seconds));
            jain_index(&fractions.collect::<Vec<_>>())
        })
        .fold(1.0, f64::min)
}

/// Returns the number of seconds from an event to the first second in which all given accounts
/// are served their share again.
pub(super) fn recovery(tallies: &[AccountTally], accounts: &[usize], event: usize) -> usize {
    let is_recovered = |second: usize| {
        let served = |account: &usize| tallies[*account].served_fraction(second, 1).unwrap_or(1.0);
        accounts
            .iter()
            .all(|account| served(account) >= RECOVERED_FRACTION)
    };
    let end = tallies.first().map_or(0, |tally| tally.offered.len());
    (event..end)
        .take_while(|second| !is_recovered(*second))
        .count()
}

fn jain_index(fractions: &[f64]) -> f64 {
    let sum: f64 = fractions.iter().sum();
    let squares: f64 = fractions.iter().map(|fraction| fraction * fraction).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (fractions.len() as f64 * squares)
}
