// Table-driven tests of client requests: which are valid, which are invalid and which have ambiguous framing.
#include "request_parser.hpp"

#include <gtest/gtest.h>

#include <boost/beast/http/parser.hpp>

#include "http_framing.hpp"

namespace message_relay {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kRejected = 400;
constexpr unsigned kAmbiguousFraming = 499;  // stands for a rejection by has_unambiguous_framing()

class RequestParserTest : public ::testing::Test {
 protected:
  RequestParserTest() {
    settings.classes.resize(1);
    settings.classes[0].deadline = 6'000'000;
    names.classes = {{"load-status", 0}};
    names.tenants = {{"acme", 0}};
  }
  // Returns the status of the response to the request: kRejected also where Beast rejects it.
  unsigned status_of(const std::string& head,
                     const std::string& request_line = "POST /load-status HTTP/1.1") {
    http::request_parser<http::string_body> parser;
    boost::system::error_code error;
    parser.eager(true);
    const std::string text = request_line + "\r\n" + head + "\r\nabc";
    parser.put(boost::asio::buffer(text), error);
    if (!parser.is_header_done() || (error && error != http::error::need_more)) return kRejected;
    if (!has_unambiguous_framing(parser.get(), parser.get().version())) return kAmbiguousFraming;
    parsed = parse_request(parser.get(), settings, names);
    return parsed.rejection_status > 0 ? parsed.rejection_status : 202;
  }
  dispatch::Settings settings;
  configuration::SettingNames names;
  ParsedRequest parsed;
};

const std::string kId = "X-Request-Id: 9b1f\r\n";
const std::string kTenant = "X-Tenant: acme\r\n";
const std::string kDeadline = "X-Deadline: 480m\r\n";
const std::string kDestination = "X-Consignee: dest=7\r\n";
const std::string kContentLength = "Content-Length: 3\r\n";

TEST_F(RequestParserTest, AValidRequestIsParsed) {
  ASSERT_EQ(status_of(kId + kTenant + kDeadline + kDestination + kContentLength + "X-Retry: 1\r\n"), 202U);
  EXPECT_EQ(parsed.message.id, "9b1f");
  EXPECT_EQ(parsed.message.destination, 7);
  EXPECT_EQ(parsed.message.body, "abc");
  EXPECT_TRUE(parsed.message.resubmitted);
}

TEST_F(RequestParserTest, InvalidRequestsAreRejected) {
  const std::string rest = kTenant + kDestination + kContentLength;
  const auto with_deadline = [&](const std::string& value) {
    return rest + kId + "X-Deadline: " + value + "\r\n";
  };
  const auto with_destination = [](const std::string& value) {
    return kId + kDeadline + kTenant + kContentLength + "X-Consignee: " + value + "\r\n";
  };
  EXPECT_EQ(status_of(rest + kDeadline), 400U) << "no id";
  EXPECT_EQ(status_of(rest + kDeadline + "X-Request-Id: \xff\xfe\r\n"), 400U)
      << "an id that is not valid UTF-8 and cannot be written as JSON";
  EXPECT_EQ(status_of(rest + kDeadline + "X-Request-Id: a b\r\n"), 400U);
  EXPECT_EQ(status_of(rest + kDeadline + "X-Request-Id: " + std::string(300, 'a') + "\r\n"), 400U);
  EXPECT_EQ(status_of(rest + kDeadline + kId + "X-Request-Id: other\r\n"), 400U);
  for (const std::string value : {"inf", "nan", "-1m", "m", "480", "480s", "1e9m", "12001m", "0x10m", "infm",
                                  "nanu", " m", "480m480m", ""})
    EXPECT_EQ(status_of(with_deadline(value)), 400U) << value;
  EXPECT_EQ(status_of(rest + kId), 400U) << "no deadline";
  EXPECT_EQ(status_of(with_deadline("250000u")), 202U);
  for (const std::string value : {"dest=", "dest=x", "dest=7x", "dest=99999999999999999999", "7", ""})
    EXPECT_EQ(status_of(with_destination(value)), 400U) << value;
  EXPECT_EQ(status_of(kId + kDeadline + kDestination + kContentLength + "X-Tenant: stranger\r\n"), 400U);
  EXPECT_EQ(status_of(kId + kDeadline + rest + "X-Class: other\r\n"), 400U);
  EXPECT_EQ(status_of(kId + kDeadline + rest, "POST /other HTTP/1.1"), 404U);
  EXPECT_EQ(status_of(kId + kDeadline + rest, "GET /load-status HTTP/1.1"), 405U);
}

// Guards against request smuggling: a second request hidden in the body of the first.
TEST_F(RequestParserTest, AmbiguousFramingIsDetected) {
  const std::string rest = kId + kTenant + kDeadline + kDestination;
  const auto is_ambiguous = [&](const std::string& head) {
    const unsigned status = status_of(rest + head);
    return status == kRejected || status == kAmbiguousFraming;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  EXPECT_TRUE(is_ambiguous(kContentLength + chunked));
  EXPECT_TRUE(is_ambiguous(chunked + kContentLength));
  EXPECT_TRUE(is_ambiguous(kContentLength + kContentLength));
  EXPECT_TRUE(is_ambiguous(kContentLength + "Content-Length: 4\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length: 3, 3\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length: -3\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length: 99999999999999999999999\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length: 3x\r\n"));
  EXPECT_TRUE(is_ambiguous("Content-Length : 3\r\n"));
  EXPECT_TRUE(is_ambiguous("Transfer-Encoding: gzip\r\n"));
  EXPECT_TRUE(is_ambiguous("Transfer-Encoding: gzip, chunked\r\n"));
  EXPECT_TRUE(is_ambiguous("Transfer-Encoding: chunked, identity\r\n"));
  EXPECT_TRUE(is_ambiguous("Transfer-Encoding: xchunked\r\n"));
  EXPECT_TRUE(is_ambiguous(chunked + chunked));
  EXPECT_FALSE(is_ambiguous(chunked));
  EXPECT_FALSE(is_ambiguous(kContentLength));
}

}  // namespace
}  // namespace message_relay
