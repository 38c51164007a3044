// HTTP client of the discovery service: queries the list of endpoints and watches its changes.
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

struct DiscoveryTimeouts {
  std::chrono::microseconds list_response;  // from the start of a request until its response begins
  std::chrono::microseconds watch_silence;  // between any two pieces of a response that has begun
};

// At most one watch and one query are open at a time, each on a connection of its own. A response carries one
// endpoint list after the other, in JSON.
class DiscoveryClient {
 public:
  using ListHandler = std::function<void(EndpointList)>;
  using LossHandler = std::function<void(dispatch::event::SubscriptionLossReason)>;

  // `names` must outlive the client. `list_version` is that of the list known so far; the first watch queries
  // the changes since then. `on_list` gets each list; `on_loss` is called when a watch or a query ends
  // without having been cancelled.
  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                  const configuration::SettingNames& names, const DiscoveryTimeouts& timeouts,
                  std::int64_t list_version, ListHandler on_list, LossHandler on_loss);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Begins a watch of changes, in place of the present one.
  void watch();
  // Cancels the watch, if one is open.
  void unwatch();
  // Queries the complete list; does nothing while a query is open.
  void fetch();
  // Uses the service at another address from now on. Cancels what is open and reports it as
  // SubscriptionLossReason::relocated.
  void relocate(const boost::asio::ip::tcp::endpoint& address);
  // Version of the list that was received last; 0 after a move.
  std::int64_t list_version() const { return list_version_; }

 private:
  enum class QueryKind { poll, watch };
  struct Query;

  void start(QueryKind kind);
  void send_request(const std::shared_ptr<Query>& query);
  void read_response(const std::shared_ptr<Query>& query);
  void process_data(const std::shared_ptr<Query>& query);
  bool process_lists(Query& query);
  bool process_list(const std::string& text, QueryKind kind);
  void restart_timeout(const std::shared_ptr<Query>& query);
  void complete_poll(const std::shared_ptr<Query>& query);
  void fail(const std::shared_ptr<Query>& query, const std::string& cause,
            dispatch::event::SubscriptionLossReason reason = dispatch::event::SubscriptionLossReason::failed);
  static void cancel(std::shared_ptr<Query>& query);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  const configuration::SettingNames& names_;
  DiscoveryTimeouts timeouts_;
  std::int64_t list_version_;
  ListHandler on_list_;
  LossHandler on_loss_;
  std::shared_ptr<Query> watch_;
  std::shared_ptr<Query> poll_;
  bool needs_snapshot_ = false;  // discovery has moved, and no complete list has come since
};

}  // namespace message_relay
