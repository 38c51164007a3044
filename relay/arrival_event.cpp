#include "arrival_event.hpp"

#include "delivery_request.hpp"

namespace message_relay {

dispatch::event::Arrival to_arrival(MessageId id, const Message& message,
                                    const configuration::SettingNames& names) {
  dispatch::event::Arrival arrival;
  arrival.id = id;
  arrival.destination = message.destination;
  arrival.message_class = names.classes.at(message.message_class);
  arrival.tenant = configuration::index_of(names.tenants, message.tenant);
  arrival.time_to_deadline = message.deadline - journal_now();
  arrival.resubmitted = message.resubmitted;
  arrival.order_key = message.order_key;
  arrival.batch_bytes = static_cast<std::int64_t>(
      batch_entry_bytes(message.id.size(), message.idempotency_key.size(), message.body.size()));
  return arrival;
}

}  // namespace message_relay
