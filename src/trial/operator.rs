//! Operators' changes of the configuration in a world.

use super::{event::Ev, world::World};
use crate::{
    coordination::{
        config_update::{ConfigUpdate, Proposal, UpdateOutcome, UpdateStep, WriteResult},
        configuration::{ChangeRecord, ConfigRow},
    },
    state::id::ConfigVersion,
};
use rand::Rng;

impl World {
    /// An operator changes the configuration through an entry VM; the platform answers at once,
    /// or loses the answer. `retries` more tries follow an unsettled one, with the same id.
    pub fn accept(
        &mut self,
        vm: usize,
        base: ConfigVersion,
        operation: u64,
        retries: u32,
    ) -> Option<UpdateOutcome> {
        let core = self.core(vm)?;
        let proposal = Proposal {
            base,
            configuration: core.config().document.configuration.clone(),
            change: ChangeRecord {
                version: ConfigVersion::default(),
                operation: format!("{operation:x}"),
                operator: format!("operator-{operation:x}"),
                note: String::new(),
            },
        };
        let mut outcome = UpdateOutcome::Unsettled;
        for _ in 0..=retries {
            outcome = self.settle(proposal.clone());
            if !matches!(outcome, UpdateOutcome::Unsettled) {
                break;
            }
        }
        if let UpdateOutcome::Accepted { row, .. } | UpdateOutcome::Conflict(row) = &outcome {
            self.offer(vm, row.clone());
            for peer in 0..self.vms.len() {
                if !self.is_cut(vm, peer) {
                    let way = self.way(vm, peer);
                    self.at(way, Ev::Push { vm: peer, row: row.clone() });
                }
            }
        }
        Some(outcome)
    }

    fn settle(&mut self, proposal: Proposal) -> UpdateOutcome {
        let (mut accept, mut step) = ConfigUpdate::new(proposal);
        loop {
            step = match step {
                UpdateStep::Done(outcome) => return outcome,
                UpdateStep::Read => accept.on_read(self.read_row()),
                UpdateStep::Write(row) => accept.on_write(self.write_row(row)),
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
