// Who owns the folder that lasts, and how a process hands over to the one started next to it.
//
// The owner holds a lock on a file in the folder. A process that finds it taken asks the owner, by a Unix
// socket in the folder, and gets everything as it stands: "hello" (new), the parts (old), "ready" (new),
// "yours" (old), "taken" (new). Until it has said "taken" the new process writes nothing and talks to nobody;
// the owner that does not hear it goes on as if nothing had been, since it consumed nothing meanwhile. Either
// may die at any instant.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "delivery_client.hpp"
#include "endpoint_list.hpp"
#include "file_descriptor.hpp"
#include "ingress_server.hpp"

namespace message_relay {

// Frames over a Unix socket, blocking; a descriptor may go along with each.
class HandoverChannel {
 public:
  explicit HandoverChannel(FileDescriptor socket) : socket_(std::move(socket)) {}
  void set_timeout(std::chrono::milliseconds each);  // for each read and write; 0: none
  bool send(const std::string& payload, int fd = -1);
  bool receive(std::string& payload, FileDescriptor& fd);
  bool receive_word(const std::string& word);

 private:
  bool read(char* bytes, std::size_t size, FileDescriptor* fd);
  FileDescriptor socket_;
};

// What passes from one process to the next, besides the journal in the folder.
struct HandoverState {
  EndpointList endpoint_list;  // with its version
  bool list_received = false, paused = false;
  MessageId next_number = 1;  // calls out may still carry an earlier one, though its message is over
  std::string learned_state;  // by the module
  std::vector<std::string> ever_listed;
  std::vector<std::int64_t> destinations;
  std::vector<std::pair<Time, std::string>> completed_ids;  // ids of messages that are over
  std::vector<IdleClient> clients;  // those are descriptors of the process that holds the estate
  std::vector<InFlightCall> calls;
  int listener = -1;
};

// What a process starts with: the lock of the folder, and an estate where it took over from another process.
struct StartupOwnership {
  FileDescriptor lock;
  std::optional<HandoverState> inherited;
};

// Blocks until this process owns the folder: at once where nobody does. Throws std::system_error.
StartupOwnership acquire_ownership(const std::string& folder);

// Hands over through the channel; true once the other process owns all. What is held up for it is the
// caller's whole loop, for kMostHeldUp at most before the other process can have taken over.
bool hand_over(HandoverChannel& channel, const HandoverState& estate, int lock);

// The owner's side: waits for a process that asks.
class HandoverListener {
 public:
  using Asked = std::function<void(HandoverChannel)>;
  HandoverListener(boost::asio::io_context& io, const std::string& folder, Asked asked);
  ~HandoverListener();

 private:
  struct Asking;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  Asked asked_;
};

}  // namespace message_relay
