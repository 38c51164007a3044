// A relay around a real dispatcher, with a journal that outlives it.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "fleet.hpp"
#include "simulation/endpoint_directory.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// A relay runs its dispatcher at most once in this time.
constexpr Time kMinRoundInterval = 5'000;
// A connection that is not there after this time has failed.
constexpr Time kConnectTimeout = 1'000'000;

// The values are positions in dispatch::Settings::classes.
enum class MessageClass { idempotent, non_idempotent };

struct JournaledAttempt {
  Time sent_at = 0;
  std::optional<dispatch::Outcome> outcome;  // nothing: in flight, or never seen
};

// A message that a relay has taken on, as its journal has it.
struct JournaledMessage {
  DestinationIndex destination = 0;
  MessageClass message_class = MessageClass::idempotent;
  Time arrived_at = 0;
  Time deadline = 0;
  std::vector<JournaledAttempt> attempts;
  int first_attempt_zone = 0;
  // For the statistics.
  bool is_counted = false;
  bool is_unaffected = true;  // by outages of its destination
};

// Messages that have not ended, by their number.
using Journal = std::map<dispatch::MessageId, JournaledMessage>;

// The settings of the dispatcher in one of the relays.
[[nodiscard]] dispatch::Settings dispatcher_settings(const FleetSettings& settings, RelayIndex relay);

// Invariant: while the relay is down, it has no dispatcher, no events in its inbox and no round scheduled.
// Its journal stays. Each time it is killed its incarnation grows, so that what was scheduled for an earlier
// one can be told apart.
class SimulatedRelay {
 public:
  explicit SimulatedRelay(int zone) : zone_(zone) {}

  void start(std::unique_ptr<dispatch::Dispatcher> dispatcher);
  void kill();
  [[nodiscard]] bool is_up() const { return dispatcher_ != nullptr; }
  [[nodiscard]] bool is_running(int incarnation) const { return is_up() && incarnation == incarnation_; }
  [[nodiscard]] int incarnation() const { return incarnation_; }
  [[nodiscard]] int zone() const { return zone_; }

  // Keeps the event for the next round; while the relay is down it is lost. Returns the time of a round that
  // must now be scheduled, if the event needs one of its own.
  [[nodiscard]] std::optional<Time> enqueue(Time now, dispatch::Event event);
  // Hands the inbox to the dispatcher.
  [[nodiscard]] std::vector<dispatch::Action> run_round(Time now);

  [[nodiscard]] Journal& journal() { return journal_; }
  // What a relay that has started tells its dispatcher of the messages in the journal.
  [[nodiscard]] std::vector<dispatch::event::MessageRecovered> recovered_messages(Time now) const;

 private:
  int zone_;
  int incarnation_ = 0;
  std::unique_ptr<dispatch::Dispatcher> dispatcher_;
  std::vector<dispatch::Event> inbox_;
  bool is_round_scheduled_ = false;
  Time last_round_at_ = 0;
  Journal journal_;
};

}  // namespace scale_tool::simulation
