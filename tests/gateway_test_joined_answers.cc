// Module gateway: bytes of upstreams that belong to no request, and precede the
// answer to one.

#include "tests/gateway_test_versions_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

// A refusal that was sent for an earlier request. It may end anywhere.
const std::string kRefusals[] = {
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    "Retry-After: 1\r\nContent-Length: 14\r\n\r\na server sheds",
    "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: earlier\r\n"
    "X-Not-Executed: 1\r\nContent-Length: 14\r\n\r\na server sheds",
    "HTTP/1.1 421 Misdirected Request\r\nServer: s\r\n"
    "X-Not-Executed: 1\r\nX-Instance-Id: i\r\n\r\n"};

class JoinedAnswersFixture : public VersionsFixture {
 public:
  // For each part of the refusals: the upstream sends it, and then the answer
  // to the request, which it has run. The request must neither run again nor be
  // answered as one that has not run.
  void CheckAllParts(const std::string& path, const std::string& answer) {
    for (const std::string& refusal : kRefusals) {
      for (size_t length = 1; length <= refusal.size(); ++length) {
        // So that the budget allows retries.
        for (const char* service : {"plain", "llm"}) {
          for (int i = 0; i < 20; ++i) {
            m_board.retry_budget.CountRequest(ServiceName(service),
                                              m_clock.Now());
          }
        }
        const SocketId caller = Post(path);
        const SocketId call = AwaitCall();
        CHECK(call.IsValid());
        m_sockets.Inject(call, refusal.substr(0, length) + answer);
        if (m_sockets.GetConnection(call).open) m_sockets.Fail(call);
        AdvanceTime(milliseconds(60));
        if (AwaitCall().IsValid()) {
          FAIL(("ran twice after " + refusal.substr(0, length)).c_str());
        }
        const std::string response = m_sockets.DrainOutput(caller);
        for (const char* promise :
             {"HTTP/1.1 503", "HTTP/1.1 429", "HTTP/1.1 421", "HTTP/1.1 408"}) {
          if (response.starts_with(promise)) {
            FAIL(("promised after " + refusal.substr(0, length)).c_str());
          }
        }
        m_sockets.Fail(caller);
        for (const SocketId id : m_sockets.AllOutgoing()) m_sockets.Fail(id);
        AdvanceTime(std::chrono::seconds(3));  // Past ejections of upstreams.
        m_peer_link.sent.clear();
      }
    }
  }
};

}  // namespace

TEST_GROUP_BASE(JoinedAnswers, JoinedAnswersFixture){};

// Guards against review/6: a cut refusal and the head of the sound answer after
// it are read as one refusal, and the request runs a second time.
TEST(JoinedAnswers, ACallThatMayNotBeRepeatedRunsOnce) {
  CheckAllParts("/once/x", HttpResponse(200,
                                        "X-Request-Id: r1\r\n"
                                        "X-Response-Seal: seal\r\n",
                                        "done"));
}

TEST(JoinedAnswers, AStreamThatMayNotBeRepeatedRunsOnce) {
  CheckAllParts("/stream/x", std::string(kEventHead) + kFourthEvent);
  CheckAllParts("/feed/x", std::string(kEventHead) + kFourthEvent);
}
