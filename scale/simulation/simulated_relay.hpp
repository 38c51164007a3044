// Models a relay: runs a real dispatcher and keeps a journal that survives when the relay is killed.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "fleet.hpp"
#include "simulation/endpoint_directory.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// The shortest time between two rounds of a relay's dispatcher, in microseconds.
constexpr Time kMinRoundInterval = 5'000;

// The values are indices in dispatch::Settings::classes.
enum class MessageClass { idempotent, non_idempotent };

// An attempt to deliver a message, as recorded in the relay's journal.
struct JournaledAttempt {
  Time sent_at = 0;
  // Nothing while the attempt is in flight, or if the relay was killed before it observed the outcome.
  std::optional<dispatch::Outcome> outcome;
};

// A message that a relay has accepted, as recorded in its journal.
struct JournaledMessage {
  DestinationIndex destination = 0;
  MessageClass message_class = MessageClass::idempotent;
  Time arrived_at = 0;
  Time deadline = 0;
  std::vector<JournaledAttempt> attempts;
  int first_attempt_zone = 0;
  // Used only by the statistics.
  bool is_counted = false;    // arrived and due within the measured time
  bool is_unaffected = true;  // by outages and slow start of its destination
};

// The messages that have not ended, by identifier.
using Journal = std::map<dispatch::MessageId, JournaledMessage>;

// Returns the settings of the dispatcher in one relay.
[[nodiscard]] dispatch::Settings dispatcher_settings(const FleetSettings& settings, RelayIndex relay);

// Collects events in an inbox and passes them to the dispatcher in rounds.
// Invariant: while the relay is down, it has no dispatcher, no events in its inbox and no round scheduled,
// but keeps its journal. The incarnation increases each time the relay is killed, so that events that were
// scheduled for an earlier incarnation can be recognized.
class SimulatedRelay {
 public:
  explicit SimulatedRelay(int zone) : zone_(zone) {}

  void start(std::unique_ptr<dispatch::Dispatcher> dispatcher);
  void kill();
  [[nodiscard]] bool is_up() const { return dispatcher_ != nullptr; }
  // Returns whether the relay is up and has not been killed since the given incarnation.
  [[nodiscard]] bool is_running(int incarnation) const { return is_up() && incarnation == incarnation_; }
  [[nodiscard]] int incarnation() const { return incarnation_; }
  [[nodiscard]] int zone() const { return zone_; }

  // Keeps the event for the next round, or drops it if the relay is down. Returns the time for which the
  // caller must schedule a round, or nothing if a round is already scheduled or the relay is down.
  [[nodiscard]] std::optional<Time> enqueue(Time now, dispatch::Event event);
  // Passes all events in the inbox to the dispatcher and returns the dispatcher's actions.
  [[nodiscard]] std::vector<dispatch::Action> run_round(Time now);

  [[nodiscard]] Journal& journal() { return journal_; }
  [[nodiscard]] const dispatch::DestinationLimits& limited_destinations() const {
    return limited_destinations_;
  }
  // Returns the events by which a restarted relay passes the messages in its journal to its new dispatcher.
  [[nodiscard]] std::vector<dispatch::event::MessageRecovered> recovered_messages(Time now) const;

 private:
  int zone_;
  int incarnation_ = 0;
  std::unique_ptr<dispatch::Dispatcher> dispatcher_;
  std::vector<dispatch::Event> inbox_;
  bool is_round_scheduled_ = false;
  Time last_round_at_ = 0;
  Journal journal_;
  dispatch::DestinationLimits limited_destinations_;  // when the relay was last killed; journaled, too
};

}  // namespace scale_tool::simulation
