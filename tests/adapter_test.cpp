// The protocol between the simulator and the adapter, on hand-written lines.
#include <gtest/gtest.h>

#include <algorithm>

#include "codec.hpp"
#include "json_fields.hpp"

namespace simulator_adapter {
namespace {

const char* const kSettings =
    R"({"Classes":[{"Name":"note","Points":1.0,"Target":1000000,"Deadline":6000000,"Idempotency":"read_like",)"
    R"("LateWorth":0.0,"Group":"all","Window":5000000,"Stream":false,"New":[1]}],)"
    R"("FamilyInfo":{"Workers":4,"BundleMax":[1],"RoutesApart":[false],"Decay":"line"},)"
    R"("Limits":{"OpenCap":50,"MaxAttempts":3},"Rules":{"DrainGrace":1000000,"AnswerSlack":20000},)"
    R"("HostTypes":["shop"],"FailureDomains":["east"],"Tick":5000,"GroupSize":2})";

std::string new_instance_line(const std::string& instance) {
  return R"({"kind":"NEW_INSTANCE","Who":")" + instance + R"(","RngSeed":18446744073709551615,"Setup":)" +
         kSettings + "}";
}
std::string endpoint_pool_line(int pool_id, const std::string& endpoint) {
  return R"({"kind":"POOL","RosterId":)" + std::to_string(pool_id) + R"(,"Elements":[{"Endpoint":")" +
         endpoint +
         R"(","Az":"east","Kind":"shop","Cell":57,"Health":"healthy","CapacityHint":1,"Since":null}]})";
}
std::string endpoint_list_line(const std::string& instance, int pool_id) {
  return R"({"kind":"SYNC","Who":")" + instance + R"(","How":"C","RosterId":)" + std::to_string(pool_id) +
         R"(,"Stamp":1})";
}
std::string arrival_line(const std::string& instance, int message_id) {
  return R"({"kind":"KNOCK","Who":")" + instance + R"(","Rid":)" + std::to_string(message_id) +
         R"(,"Mutates":false,"SizeHint":null,"Dest":57,"Returned":false,"TierClass":"note","TimeLeft":6000000,)"
         R"("Retry":false,"Account":0,"Extra":{"a":1}})";
}

class CodecTest : public ::testing::Test {
 protected:
  std::string run_round(const std::vector<std::string>& lines) {
    clock += 5000;
    std::string reply;
    EXPECT_FALSE(codec.process_line(R"({"kind":"ROUND","Clock":)" + std::to_string(clock) + "}", reply));
    for (const auto& line : lines) EXPECT_FALSE(codec.process_line(line, reply));
    EXPECT_TRUE(codec.process_line(R"({"kind":"YOUR_TURN"})", reply));
    return reply;
  }
  // Returns the message of the error that a malformed line causes, or an empty text without an error.
  std::string error_for(const std::string& line) {
    std::string reply;
    EXPECT_FALSE(codec.process_line(R"({"kind":"ROUND","Clock":1})", reply));
    try {
      EXPECT_FALSE(codec.process_line(line, reply));
    } catch (const configuration::FieldError& error) {
      return error.what();
    }
    return "";
  }
  Codec codec;
  long clock = 1000;
};

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_F(CodecTest, EmptyRoundIsAnsweredWithOk) { EXPECT_EQ(run_round({}), "{\"kind\":\"OK\"}\n"); }

TEST_F(CodecTest, AcceptedMessageIsSentAndNotSentAgainOnceServed) {
  const auto reply = run_round({new_instance_line("relay-3"), endpoint_pool_line(0, "10.0.0.1:80"),
                                endpoint_list_line("relay-3", 0), arrival_line("relay-3", 9)});
  EXPECT_TRUE(
      contains(reply, R"({"kind":"PLACE","Who":"relay-3","Rid":9,"Endpoint":"10.0.0.1:80","GiveUpAfter":)"));
  EXPECT_TRUE(reply.ends_with("{\"kind\":\"OK\"}\n"));
  const auto settled =
      run_round({R"({"kind":"RETURNED","Who":"relay-3","Rid":9,"SendNo":0,"Endpoint":"10.0.0.1:80",)"
                 R"("Result":10,"DelaySeen":5000,"Closed":true,"RemarkMs":null,"HealthInfo":null})"});
  EXPECT_FALSE(contains(settled, "PLACE"));
}
TEST_F(CodecTest, RetryAfterIsReadInMilliseconds) {
  run_round({new_instance_line("relay-0"), endpoint_pool_line(0, "a:1"), endpoint_list_line("relay-0", 0),
             arrival_line("relay-0", 1)});
  run_round(
      {R"({"kind":"RETURNED","Who":"relay-0","Rid":1,"SendNo":0,"Endpoint":"a:1","Result":30,"RemarkMs":900})"});
  clock += 890'000;
  EXPECT_FALSE(contains(
      run_round({R"({"kind":"REMINDER","Who":"relay-0","Tag":0})", arrival_line("relay-0", 2)}), "PLACE"));
  bool sent = false;
  // The delays that the rejection itself causes apply in addition to the Retry-After.
  for (int i = 0; i < 10 && !sent; i++) {
    clock += 500'000;
    sent = contains(run_round({R"({"kind":"REMINDER","Who":"relay-0","Tag":0})"}), "PLACE");
  }
  EXPECT_TRUE(sent);
}
TEST_F(CodecTest, PoolIdsAreResolvedInEventOrder) {
  const auto reply =
      run_round({new_instance_line("relay-0"), new_instance_line("relay-1"), endpoint_pool_line(0, "a:1"),
                 endpoint_list_line("relay-0", 0), endpoint_pool_line(0, "b:1"),
                 endpoint_list_line("relay-1", 0), arrival_line("relay-0", 1), arrival_line("relay-1", 2)});
  EXPECT_TRUE(contains(reply, R"("Who":"relay-0","Rid":1,"Endpoint":"a:1")"));
  EXPECT_TRUE(contains(reply, R"("Who":"relay-1","Rid":2,"Endpoint":"b:1")"));
}
TEST_F(CodecTest, PowerOffDestroysTheInstance) {
  run_round({new_instance_line("relay-0"), endpoint_pool_line(0, "a:1"), endpoint_list_line("relay-0", 0)});
  EXPECT_EQ(run_round({arrival_line("relay-0", 1), R"({"kind":"POWER_OFF","Who":"relay-0"})"}),
            "{\"kind\":\"OK\"}\n");
  EXPECT_TRUE(contains(error_for(arrival_line("relay-0", 2)), "never started"));
}
TEST_F(CodecTest, InstanceIsReplacedUnderItsNameWithinOneRound) {
  run_round({new_instance_line("relay-0"), endpoint_pool_line(0, "a:1"), endpoint_list_line("relay-0", 0),
             arrival_line("relay-0", 1)});
  const auto reply =
      run_round({R"({"kind":"POWER_OFF","Who":"relay-0"})", new_instance_line("relay-0"),
                 endpoint_pool_line(3, "b:1"), endpoint_list_line("relay-0", 3), arrival_line("relay-0", 2)});
  EXPECT_TRUE(contains(reply, R"("Rid":2,"Endpoint":"b:1")"));
}
TEST_F(CodecTest, InvalidSettingsAreFatal) {
  std::string line = new_instance_line("relay-0");
  line.replace(line.find("\"Workers\":4"), 11, "\"Workers\":0");
  const auto reply = run_round({line});
  EXPECT_TRUE(contains(reply, R"({"kind":"FATAL","Who":"relay-0","Msg":"settings: max_calls_in_flight)"))
      << reply;
}
TEST_F(CodecTest, NullAndAbsentOptionalFieldsAreAccepted) {
  run_round({new_instance_line("relay-0"), endpoint_pool_line(0, "a:1"), endpoint_list_line("relay-0", 0),
             R"({"kind":"KNOCK","Who":"relay-0","Rid":1,"Dest":57,"TierClass":"note","TimeLeft":6000000})",
             R"({"kind":"SYNC","Who":"relay-0","How":"X","RosterId":null,"Stamp":0})"});
  EXPECT_EQ(run_round({}), "{\"kind\":\"OK\"}\n");
}

TEST_F(CodecTest, MalformedLineIsReportedWithItsColumn) {
  run_round({new_instance_line("relay-0")});
  EXPECT_TRUE(contains(error_for("{\"kind\":"), "column"));
}
TEST_F(CodecTest, UnknownLineKindIsNamed) {
  run_round({new_instance_line("relay-0")});
  EXPECT_EQ(error_for(R"({"kind":"GREETING","Who":"relay-0"})"), "GREETING: unknown message kind");
}
TEST_F(CodecTest, MissingFieldIsNamed) {
  run_round({new_instance_line("relay-0")});
  EXPECT_EQ(error_for(R"({"kind":"HANGUP","Who":"relay-0"})"), "HANGUP.Rid: missing");
}
TEST_F(CodecTest, FieldOfWrongTypeIsNamed) {
  run_round({new_instance_line("relay-0")});
  EXPECT_EQ(error_for(R"({"kind":"HANGUP","Who":"relay-0","Rid":"x"})"),
            "HANGUP.Rid: must be a whole number");
}
TEST_F(CodecTest, UnknownPoolIsReported) {
  run_round({new_instance_line("relay-0")});
  EXPECT_EQ(error_for(endpoint_list_line("relay-0", 4)), "SYNC.RosterId: no such POOL was given");
}
TEST_F(CodecTest, UnknownClassIsNamed) {
  run_round({new_instance_line("relay-0")});
  std::string line = arrival_line("relay-0", 1);
  line.replace(line.find("\"note\""), 6, "\"song\"");
  EXPECT_EQ(error_for(line), "KNOCK.TierClass: unknown class 'song'");
}
TEST_F(CodecTest, InstanceThatWasNeverStartedIsNamed) {
  EXPECT_EQ(error_for(arrival_line("relay-7", 1)), "KNOCK.Who: instance 'relay-7' was never started");
}

}  // namespace
}  // namespace simulator_adapter
