//! Changes of the configuration by simulated operators.

use super::{engine::Simulation, event::Event};
use crate::{
    coordination::{
        config_update::{ConfigUpdate, Proposal, UpdateOutcome, UpdateStep, WriteResult},
        configuration::{ChangeRecord, ConfigRow},
    },
    state::id::ConfigVersion,
};
use rand::Rng;

impl Simulation {
    /// Writes a new version of the configuration through an entry VM, as an operator does, and
    /// returns the outcome, or `None` if the entry VM is down. `operation` identifies the change,
    /// which is based on the version `base`. An unsettled attempt is repeated up to `retries` times
    /// with the same operation. Platform calls take no virtual time.
    pub fn propose_config(
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
            outcome = self.run_config_update(proposal.clone());
            if !matches!(outcome, UpdateOutcome::Unsettled) {
                break;
            }
        }
        if let UpdateOutcome::Accepted { row, .. } | UpdateOutcome::Conflict(row) = &outcome {
            self.deliver_config(vm, row.clone());
            for peer in 0..self.vms.len() {
                if !self.is_partitioned(vm, peer) {
                    let delay = self.one_way_delay(vm, peer);
                    self.schedule(delay, Event::ConfigPush { vm: peer, row: row.clone() });
                }
            }
        }
        Some(outcome)
    }

    /// Runs the steps of one attempt until its outcome is known.
    fn run_config_update(&mut self, proposal: Proposal) -> UpdateOutcome {
        let (mut update, mut step) = ConfigUpdate::new(proposal);
        loop {
            step = match step {
                UpdateStep::Done(outcome) => return outcome,
                UpdateStep::Read => update.on_read(self.read_config_row()),
                UpdateStep::Write(row) => update.on_write(self.write_config_row(row)),
            };
        }
    }

    /// Writes a row if its version follows the latest one in the platform's table.
    fn write_config_row(&mut self, row: ConfigRow) -> WriteResult {
        if self.platform.down {
            return WriteResult::Lost;
        }
        if self.latest_config_version().0 + 1 != row.version.0 {
            return WriteResult::Mismatch;
        }
        self.config_rows.push(row);
        match self.rng.random_bool(self.platform.write_reply_loss) {
            true => WriteResult::Lost,
            false => WriteResult::Written,
        }
    }
}
