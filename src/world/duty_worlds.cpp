// The bounded worlds that the explorer goes through, with the code as it is and with parts of it
// left out.
#include "duty_explorer.hpp"

namespace petrelrail::world {

std::vector<DutyWorld> duty_worlds(bool full) {
  std::vector<DutyWorld> all;
  const auto world = [&](std::string name, bool breaks, auto set) {
    DutyBounds b;
    if (full) b.states = 4'000'000;
    set(b);
    all.push_back({std::move(name), b, breaks});
  };
  for (const bool behind : {true, false}) {
    const std::string clocks = behind ? ", holder's clock behind" : ", holder's clock ahead";
    world("answers late or lost, a pause, the counter emptied" + clocks, false, [&](DutyBounds& b) {
      b.behind = behind;
      if (!full) b.nodes = 2;
    });
    world("two answers late or lost, the counter emptied" + clocks, false, [&](DutyBounds& b) {
      b.behind = behind, b.timeouts = 2, b.pauses = 0;
      if (!full) b.nodes = 2;
    });
    world("a pause before an effect, a crash" + clocks, false, [&](DutyBounds& b) {
      b.behind = behind, b.effects = true, b.crashes = 1, b.timeouts = 0, b.empties = 0;
      if (!full) b.nodes = 2;
    });
    world("one that leaves, words twice, a crash" + clocks, false, [&](DutyBounds& b) {
      b.behind = behind, b.crashes = 1, b.resigns = 1, b.repeats = 1;
      b.timeouts = 0, b.pauses = 0, b.empties = 0;
      if (!full) b.nodes = 2;
    });
  }
  world("no word comes, answers late or lost, the counter emptied", false, [&](DutyBounds& b) {
    b.held = false, b.words = false, b.pauses = 0;
    if (!full) b.nodes = 2;
  });
  world("nobody holds the first term, the counter emptied", false, [&](DutyBounds& b) {
    b.held = false, b.pauses = 0;
    if (!full) b.nodes = 2;
  });
  world("two that leave, words twice, a crash, at one instant", false, [&](DutyBounds& b) {
    b.crashes = 1, b.resigns = 2, b.repeats = 1;
    b.timeouts = 0, b.pauses = 0, b.empties = 0, b.terms = 0.3;
  });
  world("broken: no margin", true,
        [](DutyBounds& b) { b.broken.no_skew_margin = true, b.nodes = 2; });
  world("broken: claims count after the close", true,
        [](DutyBounds& b) { b.broken.late_claims = true, b.nodes = 2, b.timeouts = 0; });
  world("broken: no confirmation", true,
        [](DutyBounds& b) { b.broken.no_confirmation = true, b.nodes = 2; });
  world("broken: a time-out is taken as won", true, [](DutyBounds& b) {
    b.broken.timeout_won = true, b.nodes = 2, b.timeouts = 2, b.empties = 0;
  });
  // Too many states for a test, which looks at the amounts instead.
  if (full)
    world("broken: amounts of which sums are another's", true, [](DutyBounds& b) {
      b.broken.ambiguous_amounts = true, b.held = false, b.words = false, b.pauses = 0;
    });
  world("broken: no fence at receivers", true, [](DutyBounds& b) {
    b.fenced = false, b.effects = true, b.nodes = 2, b.timeouts = 0, b.empties = 0;
  });
  world("broken: gifts taken by a later process", true, [](DutyBounds& b) {
    b.broken.stale_transfers = true, b.resigns = 2, b.crashes = 1, b.repeats = 1;
    b.timeouts = 0, b.pauses = 0, b.empties = 0, b.terms = 1;
  });
  return all;
}

}  // namespace petrelrail::world
