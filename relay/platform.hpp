// The platform: discovery's list and watch, and the notices that end messages which were not delivered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "endpoint_list.hpp"
#include "journal.hpp"
#include "settings_reader.hpp"

namespace message_relay {

struct PlatformTimeouts {
  std::chrono::microseconds list_response;  // with a call for the list, until its answer begins
  std::chrono::microseconds watch_silence;  // with an answer that has begun
  std::chrono::microseconds
      notice_response;  // with notices that are sent, at first; doubled while none is answered
};

class Platform {
 public:
  using Listed = std::function<void(EndpointList)>;
  using Lost = std::function<void(dispatch::event::ListLossReason)>;
  using Noticed = std::function<void(const std::vector<MessageId>&)>;

  Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
           const configuration::SettingNames& names, const PlatformTimeouts& patience, std::int64_t index,
           Listed listed, Lost lost, Noticed noticed);
  ~Platform();

  void watch();  // changes from now on; `lost` tells its end
  void unwatch();
  void fetch();  // the whole list, once
  // Discovery is found elsewhere from now on: what is under way at the old address ends, and `lost` tells it.
  void relocate(const boost::asio::ip::tcp::endpoint& address);
  // Sent until the platform has it; `noticed` tells when.
  void send_final_notice(MessageId id, const std::string& wire_id, const FinalAnswer& ending);
  std::int64_t list_version() const { return index_; }  // version of the list as it was told last
  bool has_pending_notices() const { return !owed_.empty(); }

 private:
  struct Query;
  struct Post;
  void ask(bool follow);
  void drop(std::shared_ptr<Query>& query);
  void read(const std::shared_ptr<Query>& query);
  bool values(Query& query);
  bool take(const std::string& text, bool follow);
  void end(const std::shared_ptr<Query>& query, const std::string& why,
           dispatch::event::ListLossReason loss = dispatch::event::ListLossReason::failed);
  void guard(const std::shared_ptr<Query>& query);
  void post();
  void told(const std::vector<MessageId>& ids);
  void posted(const std::shared_ptr<Post>& post, const std::string& problem);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  const configuration::SettingNames& names_;
  PlatformTimeouts patience_;
  std::int64_t index_;
  Listed listed_;
  Lost lost_;
  Noticed noticed_;
  std::shared_ptr<Query> watch_, fetch_;
  std::map<MessageId, std::string> owed_;  // notices, as lines
  std::shared_ptr<Post> post_;             // the one under way
  std::shared_ptr<boost::asio::ip::tcp::socket> kept_;
  static constexpr std::size_t kMostLines = 64;  // notices in one request
  std::size_t most_lines_ = kMostLines;
  boost::asio::steady_timer again_;
  bool waiting_ = false;
  bool whole_due_ = false;  // since discovery moved
  std::chrono::milliseconds backoff_;
  std::chrono::microseconds post_time_;
};

}  // namespace message_relay
