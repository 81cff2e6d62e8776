//! Sums over windows of time, and the measures taken from them.

/// Seconds of a run that are not counted while the queues fill.
pub(super) const WARM_UP_SECONDS: usize = 10;

/// Part of its share that an account must get.
const RECOVERED_FRACTION: f64 = 0.95;

/// What one account asked for and got, by the second in which its requests arrived.
#[derive(Debug, Clone)]
pub(super) struct AccountTally {
    /// Tokens a second that are the account's share.
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

    /// Part that was served of what the account asked for within its share; at most one.
    fn served_fraction(&self, from: usize, seconds: usize) -> Option<f64> {
        let window = from..from + seconds;
        let offered: f64 = self.offered[window.clone()].iter().sum();
        let served: f64 = self.served[window].iter().sum();
        let entitled = offered.min(self.share * seconds as f64);
        (entitled > 0.0).then(|| (served / entitled).min(1.0))
    }
}

/// The windows of a run that are counted; the last seconds' requests may still wait.
fn windows(tallies: &[AccountTally], seconds: usize) -> impl Iterator<Item = usize> + use<> {
    let length = tallies.first().map_or(0, |tally| tally.offered.len());
    (WARM_UP_SECONDS..length.saturating_sub(seconds + 4)).step_by(seconds)
}

/// The least part that a well-behaved account got in a window of so many seconds.
pub(super) fn lowest_served_fraction(tallies: &[AccountTally], seconds: usize) -> f64 {
    windows(tallies, seconds)
        .flat_map(|from| {
            let well_behaved = tallies.iter().filter(|tally| tally.stays_within_share);
            well_behaved.filter_map(move |tally| tally.served_fraction(from, seconds))
        })
        .fold(1.0, f64::min)
}

/// The least Jain's index of all accounts' fractions in a window of so many seconds.
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

/// Seconds after an event until all of these accounts get their share in each second again.
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
