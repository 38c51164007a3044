// HTTP client of the discovery service. It fetches the list of endpoints and watches it for changes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dispatch/dispatcher.hpp"
#include "endpoint_list.hpp"
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
  using ListHandler = std::function<void(EndpointList)>;
  using LossHandler = std::function<void(dispatch::event::SubscriptionLossReason)>;

  // `names` must outlive the client. `list_version` is the version of the last known list; the first watch
  // requests the changes since that version. `on_list` receives each list. `on_loss` is called when a watch
  // or a fetch fails or ends early without having been cancelled, and when relocate() cancels them.
  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                  const configuration::SettingNames& names, const DiscoveryTimeouts& timeouts,
                  std::int64_t list_version, ListHandler on_list, LossHandler on_loss);
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
  bool process_lists(Request& request);
  bool process_list(const std::string& text, RequestKind kind);
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
  ListHandler on_list_;
  LossHandler on_loss_;
  std::shared_ptr<Request> watch_;
  std::shared_ptr<Request> fetch_;
  bool needs_snapshot_ = false;  // whether no complete list has arrived since the service was relocated
};

}  // namespace message_relay
