//! What operations staff ask of a dispatcher, and what it tells them: calls at the door, the drain, the
//! figures. No I/O, no clock: times come in, as the time since one fixed moment.

pub mod call;
pub mod drain;
pub mod figures;

pub use call::Call;
pub use drain::{Drain, Kept, Newcomers, Orders};
pub use figures::{Disposition, Figures, Running};
