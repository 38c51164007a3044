// Who owns the state folder, and how a process hands over to the one started next to it.
//
// The owner holds a lock on a file in the folder. A process that finds it taken asks the owner, by a Unix
// socket in the folder, and gets everything as it stands: "hello" (new), the records (old), "ready" (new),
// "yours" (old), "taken" (new). Until it has sent "taken" the new process writes nothing and talks to nobody;
// the owner that does not receive it goes on as if nothing had been, since it consumed nothing meanwhile.
// Either may die at any instant.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "file_descriptor.hpp"
#include "handover_channel.hpp"
#include "handover_state.hpp"

namespace message_relay {

// What a process starts with: the lock of the folder, and the state where it took over from another process.
struct StartupOwnership {
  FileDescriptor lock;
  std::optional<HandoverState> inherited;
};

// Blocks until this process owns the folder: at once where nobody does. Throws std::system_error where the
// lock can't be opened or asked for.
[[nodiscard]] StartupOwnership acquire_ownership(const std::string& folder);

// Hands over through the channel; true once the other process owns all. It blocks the caller's whole loop,
// for 500 ms a read or write at most before the other process can have taken over. `lock` is the descriptor
// of the folder's lock; it and those in `state` stay the caller's.
[[nodiscard]] bool hand_over(HandoverChannel& channel, const HandoverState& state, int lock);

// The owner's side: waits for a process that asks to take over.
class HandoverListener {
 public:
  using RequestHandler = std::function<void(HandoverChannel)>;

  // Where the socket can't be had, a line in the log says so and no process can take over.
  HandoverListener(boost::asio::io_context& io, const std::string& folder, RequestHandler on_request);
  HandoverListener(const HandoverListener&) = delete;
  HandoverListener& operator=(const HandoverListener&) = delete;
  ~HandoverListener();

 private:
  struct PendingRequest;

  [[nodiscard]] boost::system::error_code listen(const std::string& path);
  void accept();
  void accept_later();
  void read_greeting(boost::asio::local::stream_protocol::socket socket);
  void finish(PendingRequest& request);

  boost::asio::io_context& io_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  RequestHandler on_request_;
};

}  // namespace message_relay
