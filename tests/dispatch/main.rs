//! The dispatcher of a zone, without network and in virtual time.

mod load;
mod ownership;
mod runs;
mod simulation;
