// Carries out plans whose records stand in the journal.
#pragma once

#include <vector>

#include "delivery_client.hpp"
#include "endpoint_directory.hpp"
#include "event_queue.hpp"
#include "journal.hpp"
#include "plan.hpp"
#include "platform.hpp"

namespace message_relay {

class PlanExecutor {
 public:
  PlanExecutor(const Journal& journal, const EndpointDirectory& directory, DeliveryClient& delivery,
               Platform& platform, EventQueue& events);

  // Answers clients, then begins calls, then hands final notices to the platform.
  void carry_out(Plan plan);

 private:
  void begin_call(PlannedCall call);
  void drop_withdrawn_messages(PlannedCall& call);
  [[nodiscard]] bool may_receive(const EndpointId& endpoint) const;

  const Journal& journal_;
  const EndpointDirectory& directory_;
  DeliveryClient& delivery_;
  Platform& platform_;
  EventQueue& events_;
};

}  // namespace message_relay
