// Ownership of the state folder, and the handover from the process that owns it to one started next to it.
//
// The owner holds a lock on a file in the folder. A process that finds the file locked connects to the
// owner's Unix socket in the folder and receives the owner's current state. The protocol has five steps: the
// greeting (sent by the new process), the records (owner), "ready" (new process), "yours" (owner) and "taken"
// (new process). Until it has sent "taken", the new process writes nothing and communicates with nobody else.
// An owner that does not receive "taken" keeps serving as if there had been no request, since it has consumed
// no input in the meantime. Either process may die at any step.
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

// The lock of the state folder, and the state of the previous owner if this process took over from one.
struct StartupOwnership {
  FileDescriptor lock;
  std::optional<HandoverState> inherited;
};

// Blocks until this process owns the folder; returns immediately if no other process owns it. Throws
// std::system_error if the lock file can't be opened, if locking it fails, or if no socket can be created.
[[nodiscard]] StartupOwnership acquire_ownership(const std::string& folder);

// Hands over through the channel. Returns true once the other process owns the folder and the state. Blocks
// the caller's event loop: until the other process can have taken over, each read or write takes at most
// 500 ms. `lock` is the descriptor of the folder's lock. The caller keeps ownership of it and of the
// descriptors in `state`.
[[nodiscard]] bool hand_over(HandoverChannel& channel, const HandoverState& state, int lock);

// Accepts requests of other processes to take over from this one.
class HandoverListener {
 public:
  using RequestHandler = std::function<void(HandoverChannel)>;

  // If the socket can't be opened, that is logged and no process can take over.
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
  void invoke_handler(PendingRequest& request);

  boost::asio::io_context& io_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  RequestHandler on_request_;
};

}  // namespace message_relay
