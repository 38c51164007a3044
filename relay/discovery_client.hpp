// HTTP client of the discovery service. It fetches the list of endpoints and watches it for changes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dispatch/dispatcher.hpp"
#include "endpoint_list.hpp"
#include "memory_account.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// Timeouts of the requests to discovery.
struct DiscoveryTimeouts {
  std::chrono::microseconds list_response;  // from the start of a request until its response begins
  std::chrono::microseconds watch_silence;  // between two pieces of data of a response that has started
};

// At most one watch and one fetch are open at a time, each on a connection of its own. The body of a response
// is a sequence of endpoint lists in JSON: one or more for a fetch, without end for a watch.
class DiscoveryClient {
 public:
  // Why a list could not be used.
  enum class ListError { malformed, no_memory };
  // Returns false if there is not enough memory for the endpoints of the list. It is not used then.
  using ListHandler = std::function<bool(EndpointList)>;
  using LossHandler = std::function<void(dispatch::event::SubscriptionLossReason)>;

  // `names` and `memory` must outlive the client. `list_version` is the version of the last known list; the
  // first watch requests the changes since that version. `on_list` receives each list. `on_loss` is called
  // when a watch or a fetch fails or ends early without having been cancelled, and when relocate() cancels
  // them.
  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                  const configuration::SettingNames& names, const DiscoveryTimeouts& timeouts,
                  std::int64_t list_version, MemoryAccount& memory, ListHandler on_list, LossHandler on_loss);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Starts a watch for changes. A watch that is already open is cancelled.
  void watch();
  // Cancels the watch, if one is open.
  void cancel_watch();
  // Fetches the complete list. Does nothing while a fetch is open.
  void fetch();
  // Changes the address of the service. Cancels the open watch and fetch, and reports the loss once, as
  // SubscriptionLossReason::relocated, even if none was open. Does nothing if the address is the present one.
  void relocate(const boost::asio::ip::tcp::endpoint& address);
  // Returns the version of the list that was received last, or 0 after relocate() until another list is
  // received.
  std::int64_t list_version() const { return list_version_; }

 private:
  enum class RequestKind { fetch, watch };
  struct Request;

  void start(RequestKind kind);
  void send_request(const std::shared_ptr<Request>& request);
  void read_response(const std::shared_ptr<Request>& request);
  void process_data(const std::shared_ptr<Request>& request);
  std::optional<ListError> process_lists(Request& request);
  std::optional<ListError> process_list(std::string text, RequestKind kind);
  // Passes the list to the handler. Returns false if there is not enough memory for it.
  [[nodiscard]] bool deliver(EndpointList list, RequestKind kind);
  void restart_timeout(const std::shared_ptr<Request>& request);
  void complete_fetch(const std::shared_ptr<Request>& request);
  void fail(const std::shared_ptr<Request>& request, const std::string& cause,
            dispatch::event::SubscriptionLossReason reason = dispatch::event::SubscriptionLossReason::failed);
  static void cancel(std::shared_ptr<Request>& request);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  const configuration::SettingNames& names_;
  DiscoveryTimeouts timeouts_;
  std::int64_t list_version_;
  MemoryAccount& memory_;
  ListHandler on_list_;
  LossHandler on_loss_;
  std::shared_ptr<Request> watch_;
  std::shared_ptr<Request> fetch_;
  bool needs_snapshot_ = false;  // whether no complete list has arrived since the service was relocated
};

}  // namespace message_relay
