//! What a request is expected to cost.
//!
//! Handles requests that look alike and cost very different amounts of work. See
//! `docs/design/request-cost.md`.

use balsam_types::ModelName;

use crate::demand;
use crate::demand::Work;
use crate::event::Arrival;
use crate::state::Fleet;

/// Returns the model of a request and the time for which the request is expected to occupy a full
/// group; `None` for a plain service.
pub(crate) fn expected_work(fleet: &Fleet, arrival: &Arrival) -> Option<(ModelName, Work)> {
    let (_, engine) = fleet.engine_pool()?;
    let model = engine.model(arrival.model.as_ref()?)?;
    let work = demand::work(engine, model, arrival.prompt_tokens, arrival.answer_tokens);
    Some((model.name.clone(), work))
}
