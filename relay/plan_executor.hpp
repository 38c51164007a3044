// Executes plans whose records are committed to the journal.
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

  // Sends the client responses, then starts the calls, then sends the final notices to the platform.
  void execute(Plan plan);

 private:
  void start_call(PlannedCall call);
  void drop_completed_messages(PlannedCall& call);
  // Whether the endpoint is listed as active and no operator has suspended it.
  [[nodiscard]] bool may_receive(const EndpointId& endpoint) const;

  const Journal& journal_;
  const EndpointDirectory& directory_;
  DeliveryClient& delivery_;
  Platform& platform_;
  EventQueue& events_;
};

}  // namespace message_relay
