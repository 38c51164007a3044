// The learned state as text, for a relay's next incarnation.
//
// The text is a header line, then one line a subject: the line's name, for some lines the subject's, and the
// fields as decimal numbers that read back to the same double, separated by single spaces. The order of the
// fields in a line is that in which their owner visits them (visit_learned_fields).
#pragma once

#include <cstddef>
#include <string>
#include <type_traits>
#include <vector>

namespace dispatch {

// Earlier builds wrote these words, and a relay that is upgraded reads what its predecessor wrote: they are a
// stored format and stay as they are, whatever the code calls the same things.
inline const std::string kLearnedStateHeader = "learnt-2";
inline const std::string kRelayLine = "relay";              // what was learned of no endpoint in particular
inline const std::string kLowRateLine = "thin";             // the pace of all low-rate destinations
inline const std::string kDestinationLine = "destination";  // a destination's rate limit
inline const std::string kEndpointLine = "endpoint";        // an endpoint

/// Calls `visit` with one field after the other.
template <class Visitor, class... Fields>
void visit_fields(Visitor&& visit, Fields&... fields) {
  (visit(fields), ...);
}

/// Builds the text line by line.
class LearnedStateWriter {
 public:
  LearnedStateWriter() : text_(kLearnedStateHeader + '\n') {}

  /// Adds a line with all fields of `owner`; `name` is one of the names above.
  template <class Owner>
  void add_line(const std::string& name, Owner& owner) {
    text_ += name;
    add_fields(owner);
  }
  /// The same for a line that names its subject.
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

/// One line as it was read.
struct LearnedStateLine {
  std::string name;
  std::string subject;  // empty for lines without one
  std::vector<double> fields;
};

/// The lines of a text; none where its header is another. Lines that can't be read are left out.
std::vector<LearnedStateLine> parse_learned_state(const std::string& text);

/// Sets all fields of `owner`, or none where the line has more or fewer.
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
