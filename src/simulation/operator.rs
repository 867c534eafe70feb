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
    pub fn propose_config(
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
            outcome = self.run_config_update(proposal.clone());
            if !matches!(outcome, Outcome::Unsettled) {
                break;
            }
        }
        if let Outcome::Accepted { row, .. } | Outcome::Conflict(row) = &outcome {
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

    fn run_config_update(&mut self, proposal: Proposal) -> Outcome {
        let (mut update, mut step) = Accept::new(proposal);
        loop {
            step = match step {
                Step::Done(outcome) => return outcome,
                Step::Read => update.on_read(self.read_config_row()),
                Step::Write(row) => update.on_write(self.write_config_row(row)),
            };
        }
    }

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
