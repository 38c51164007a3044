// The text format of the learned state, which a relay hands over to its next process.
//
// The text consists of a header line and one line per subject. Each line has the name of the line, for some
// lines the name of the subject, and the fields as decimal numbers that read back to the same double, all
// separated by single spaces. The fields of a line are stored in the order in which visit_learned_fields() of
// their owner visits them.
#pragma once

#include <cstddef>
#include <string>
#include <type_traits>
#include <vector>

namespace dispatch {

// The header and the names of the lines are part of the stored format and must not change, even where the
// code uses other terms: earlier builds wrote them, and a relay that is upgraded reads the state of its
// predecessor.
inline const std::string kLearnedStateHeader = "learnt-2";
inline const std::string kRelayLine = "relay";              // state that belongs to no single endpoint
inline const std::string kLowRateLine = "thin";             // LowRatePacer
inline const std::string kDestinationLine = "destination";  // backoff and rate limiter of a destination
inline const std::string kEndpointLine = "endpoint";        // state of an endpoint
// SlowStartPacer of a destination and of an independent endpoint. Earlier builds skip these lines.
inline const std::string kDestinationSlowStartLine = "destination_slow_start";
inline const std::string kEndpointSlowStartLine = "endpoint_slow_start";

/// Calls `visit` with each field in turn.
template <class Visitor, class... Fields>
void visit_fields(Visitor&& visit, Fields&... fields) {
  (visit(fields), ...);
}

/// Builds the text of a learned state line by line.
class LearnedStateWriter {
 public:
  LearnedStateWriter() : text_(kLearnedStateHeader + '\n') {}

  /// Adds a line with all fields of `owner`. `name` is one of the names of lines above.
  template <class Owner>
  void add_line(const std::string& name, Owner& owner) {
    text_ += name;
    add_fields(owner);
  }
  /// Adds a line with a subject, which must not contain spaces.
  template <class Owner>
  void add_line(const std::string& name, const std::string& subject, Owner& owner) {
    text_ += name;
    text_ += ' ';
    text_ += subject;
    add_fields(owner);
  }
  const std::string& text() const { return text_; }

 private:
  template <class Owner>
  void add_fields(Owner& owner) {
    owner.visit_learned_fields([this](auto field) { add_field(static_cast<double>(field)); });
    text_ += '\n';
  }
  void add_field(double value);

  std::string text_;
};

/// One parsed line.
struct LearnedStateLine {
  std::string name;
  std::string subject;  ///< empty for lines without a subject
  std::vector<double> fields;
};

/// Returns the lines of a text, without the lines that cannot be parsed. Returns no lines if the header is
/// not that of this format.
std::vector<LearnedStateLine> parse_learned_state(const std::string& text);

/// Sets all fields of `owner`, or none of them if the line has a different number of fields.
template <class Owner>
void restore_fields(const LearnedStateLine& line, Owner& owner) {
  std::size_t count = 0;
  owner.visit_learned_fields([&count](const auto&) { count++; });
  if (count != line.fields.size()) return;
  auto next = line.fields.begin();
  owner.visit_learned_fields(
      [&next](auto& field) { field = static_cast<std::remove_reference_t<decltype(field)>>(*next++); });
}

}  // namespace dispatch
