//! Operators' changes of the configuration in a world.

use super::{engine::Simulation, event::Event};
use crate::{
    coordination::{
        accept::{Accept, Outcome, Proposal, Step, WriteResult},
        configuration::{Change, ConfigRow},
    },
    state::id::ConfigVersion,
};
use rand::Rng;

impl Simulation {
    /// An operator changes the configuration through an entry VM; the platform answers at once,
    /// or loses the answer. `retries` more tries follow an unsettled one, with the same id.
    pub fn accept(
        &mut self,
        vm: usize,
        base: ConfigVersion,
        operation: u64,
        retries: u32,
    ) -> Option<Outcome> {
        let core = self.core(vm)?;
        let proposal = Proposal {
            base,
            configuration: core.config().document.configuration.clone(),
            change: Change {
                version: ConfigVersion::default(),
                operation: format!("{operation:x}"),
                operator: format!("operator-{operation:x}"),
                note: String::new(),
            },
        };
        let mut outcome = Outcome::Unsettled;
        for _ in 0..=retries {
            outcome = self.settle(proposal.clone());
            if !matches!(outcome, Outcome::Unsettled) {
                break;
            }
        }
        if let Outcome::Accepted { row, .. } | Outcome::Conflict(row) = &outcome {
            self.offer(vm, row.clone());
            for peer in 0..self.vms.len() {
                if !self.is_cut(vm, peer) {
                    let way = self.way(vm, peer);
                    self.at(way, Event::Push { vm: peer, row: row.clone() });
                }
            }
        }
        Some(outcome)
    }

    fn settle(&mut self, proposal: Proposal) -> Outcome {
        let (mut accept, mut step) = Accept::new(proposal);
        loop {
            step = match step {
                Step::Done(outcome) => return outcome,
                Step::Read => accept.on_read(self.read_row()),
                Step::Write(row) => accept.on_write(self.write_row(row)),
            };
        }
    }

    fn write_row(&mut self, row: ConfigRow) -> WriteResult {
        if self.platform.down {
            return WriteResult::Lost;
        }
        if self.latest_version().0 + 1 != row.version.0 {
            return WriteResult::Mismatch;
        }
        self.rows.push(row);
        match self.rng.random_bool(self.platform.lose) {
            true => WriteResult::Lost,
            false => WriteResult::Written,
        }
    }
}
