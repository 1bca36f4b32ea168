#include "sequential.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace petrelrail::fleet {
namespace {

// The mixtures are taken over a geometric grid, because the best parameter depends on the unknown
// effect.
constexpr double kGridRatio = 0.6;
constexpr std::size_t kGridPoints = 10;
// Largest shift of the candidate's share of events above a half. With nearly all events at the
// candidate, a rare difference that the control never shows is detected with the fewest copies.
// This point has weight one half, each further one half of the weight before it.
constexpr double kMaxShift = 0.49;
// Largest rate parameter of the empirical Bernstein process; all are below 1 and have equal
// weights.
constexpr double kMaxRate = 0.9;

// Computes the logarithm of a sum of exponentials without overflow.
class LogSumExp {
 public:
  void add(double log) { logs_[size_++] = log; }
  double value() const {
    const double max_log = *std::max_element(logs_.begin(), logs_.begin() + size_);
    double sum = 0;
    for (std::size_t i = 0; i < size_; ++i) sum += std::exp(logs_[i] - max_log);
    return max_log + std::log(sum);
  }

 private:
  std::array<double, kGridPoints> logs_{};
  std::size_t size_ = 0;
};

// Log e-process of martingale differences of at least -1 with the given sum and sum of squares
// (Fan, Grama, Liu 2015).
double bernstein(double sum, double squares) {
  LogSumExp all;
  double rate = kMaxRate;
  for (std::size_t i = 0; i < kGridPoints; ++i, rate *= kGridRatio)
    all.add(rate * sum - (-std::log1p(-rate) - rate) * squares -
            std::log(static_cast<double>(kGridPoints)));
  return all.value();
}

}  // namespace

double log_evidence_of_worse(const Trial& t) {
  const auto c = static_cast<double>(t.candidate), k = static_cast<double>(t.control);
  LogSumExp all;
  double shift = kMaxShift, weight = 0.5;
  for (std::size_t i = 0; i < kGridPoints; ++i, shift *= kGridRatio) {
    all.add(c * std::log1p(2 * shift) + k * std::log1p(-2 * shift) + std::log(weight));
    if (i + 2 < kGridPoints)
      weight /= 2;  // the last two have equal weights, so that the weights sum to 1
  }
  return all.value();
}

double log_evidence_of_excess_above(const Trial& t, double margin) {
  const auto c = static_cast<double>(t.candidate), k = static_cast<double>(t.control);
  return bernstein(c - k - static_cast<double>(t.copies) * margin / 2, c + k);
}

double log_evidence_of_excess_below(const Trial& t, double margin) {
  const auto c = static_cast<double>(t.candidate), k = static_cast<double>(t.control);
  return bernstein(static_cast<double>(t.copies) * margin / 2 - (c - k), c + k);
}

namespace {

// `sign` 1: evidence of an excess above the margin; -1: below it.
double mixture(const Trial& has, const Trial& lacks, double margin, double sign) {
  const auto has_excess = static_cast<double>(has.candidate) - static_cast<double>(has.control);
  const auto lacks_excess = static_cast<double>(lacks.candidate) -
                            static_cast<double>(lacks.control);
  const auto with = static_cast<double>(has.candidate) + static_cast<double>(has.control);
  const auto without = static_cast<double>(lacks.candidate) + static_cast<double>(lacks.control);
  const double margin_excess = static_cast<double>(has.copies) * margin / 2;
  LogSumExp all;
  all.add(bernstein(sign * (has_excess - margin_excess), with));
  all.add(bernstein(sign * (-lacks_excess - margin_excess), without));
  all.add(
      bernstein(sign * ((has_excess - lacks_excess) / 2 - margin_excess), (with + without) / 4));
  return all.value() - std::log(3.0);
}

}  // namespace

double log_evidence_of_excess_above(const Trial& has, const Trial& lacks, double margin) {
  return mixture(has, lacks, margin, 1);
}
double log_evidence_of_excess_below(const Trial& has, const Trial& lacks, double margin) {
  return mixture(has, lacks, margin, -1);
}

bool is_sufficient(double log_evidence, double error_rate) {
  return log_evidence >= -std::log(error_rate);
}

}  // namespace petrelrail::fleet
