// The scenarios of the lease explorer: bounds under which no violation may be found, and bounds
// with a safeguard disabled under which one must be found.
#include "lease_explorer.hpp"

namespace petrelrail::world {

std::vector<ExplorationScenario> exploration_scenarios(bool full) {
  std::vector<ExplorationScenario> all;
  const auto add = [&](std::string name, bool expects_violation, auto configure) {
    ExplorationBounds b;
    if (full) b.max_states = 4'000'000;
    configure(b);
    all.push_back({std::move(name), b, expects_violation});
  };
  for (const bool behind : {true, false}) {
    const std::string clocks = behind ? ", holder's clock behind" : ", holder's clock ahead";
    add("replies late or lost, a pause, counter data lost" + clocks, false,
        [&](ExplorationBounds& b) {
          b.holder_clock_behind = behind;
          if (!full) b.nodes = 2;
        });
    add("two replies late or lost, counter data lost" + clocks, false, [&](ExplorationBounds& b) {
      b.holder_clock_behind = behind, b.timeouts = 2, b.pauses = 0;
      if (!full) b.nodes = 2;
    });
    add("a pause before an effect, a crash" + clocks, false, [&](ExplorationBounds& b) {
      b.holder_clock_behind = behind, b.effects = true, b.crashes = 1, b.timeouts = 0,
      b.counter_losses = 0;
      if (!full) b.nodes = 2;
    });
    add("a step-down, duplicate announcements, a crash" + clocks, false, [&](ExplorationBounds& b) {
      b.holder_clock_behind = behind, b.crashes = 1, b.step_downs = 1, b.duplicates = 1;
      b.timeouts = 0, b.pauses = 0, b.counter_losses = 0;
      if (!full) b.nodes = 2;
    });
  }
  add("no announcement delivered, replies late or lost, counter data lost", false,
      [&](ExplorationBounds& b) {
        b.first_term_held = false, b.announcements_delivered = false, b.pauses = 0;
        if (!full) b.nodes = 2;
      });
  add("no holder of the first term, counter data lost", false, [&](ExplorationBounds& b) {
    b.first_term_held = false, b.pauses = 0;
    if (!full) b.nodes = 2;
  });
  add("two step-downs, duplicate announcements, a crash, within 0.3 terms", false,
      [&](ExplorationBounds& b) {
        b.crashes = 1, b.step_downs = 2, b.duplicates = 1;
        b.timeouts = 0, b.pauses = 0, b.counter_losses = 0, b.terms = 0.3;
      });
  add("disabled: margin for clock skew", true,
      [](ExplorationBounds& b) { b.disabled_safeguards.no_skew_margin = true, b.nodes = 2; });
  add("disabled: deadline for claims", true, [](ExplorationBounds& b) {
    b.disabled_safeguards.late_claims = true, b.nodes = 2, b.timeouts = 0;
  });
  add("disabled: confirmation of claims", true,
      [](ExplorationBounds& b) { b.disabled_safeguards.no_confirmation = true, b.nodes = 2; });
  add("disabled: time-outs treated as unknown outcome", true, [](ExplorationBounds& b) {
    b.disabled_safeguards.timeout_won = true, b.nodes = 2, b.timeouts = 2, b.counter_losses = 0;
  });
  // Has too many states for a test; a unit test checks the amounts instead.
  if (full)
    add("disabled: amounts with unambiguous sums", true, [](ExplorationBounds& b) {
      b.disabled_safeguards.ambiguous_amounts = true, b.first_term_held = false,
      b.announcements_delivered = false, b.pauses = 0;
    });
  add("disabled: fencing at receivers", true, [](ExplorationBounds& b) {
    b.uses_fencing = false, b.effects = true, b.nodes = 2, b.timeouts = 0, b.counter_losses = 0;
  });
  add("disabled: rejection of transfers to a former process", true, [](ExplorationBounds& b) {
    b.disabled_safeguards.stale_transfers = true, b.step_downs = 2, b.crashes = 1, b.duplicates = 1;
    b.timeouts = 0, b.pauses = 0, b.counter_losses = 0, b.terms = 1;
  });
  return all;
}

}  // namespace petrelrail::world
