#ifndef BURDOCKHILL_SRC_GATEWAY_GATEWAY_H_
#define BURDOCKHILL_SRC_GATEWAY_GATEWAY_H_

#include <string>
#include <vector>

#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/object_feed.h"
#include "burdockhill/src/gateway/plain_requests.h"
#include "burdockhill/src/gateway/stream_calls.h"

namespace burdockhill {

// The front of an entry: takes callers' requests, finds their routes and hands
// them to the controller of their kind.
class Gateway : public http::ServerEvents {
 public:
  Gateway(EntryBoard* board, PlainRequests* plain, StreamCalls* streams)
      : m_board(board), m_plain(plain), m_streams(streams) {}

  void OnRequest(http::ExchangeId id, http::Head head,
                 std::string body) override;
  void OnCallerDisconnected(http::ExchangeId id) override;
  void OnOutputDrained(http::ExchangeId id) override;

  // Whether new callers should be sent here.
  bool IsReady() const;
  // No request is on its way.
  bool IsIdle() const { return m_plain->Size() + m_streams->Size() == 0; }

  void Step();

 private:
  // What an upstream accepts from all entries is divided among them.
  void ShareConnections();

  EntryBoard* m_board;
  PlainRequests* m_plain;
  StreamCalls* m_streams;
};

// Puts accepted configurations from the store in force.
class ConfigurationFeed : public FeedEvents {
 public:
  ConfigurationFeed(EntryBoard* board, const ObjectCodec* codec)
      : m_board(board), m_codec(codec) {}
  void OnList(const std::vector<FeedObject>& objects,
              uint64_t revision) override;
  void OnChange(const FeedObject& object) override;
  void OnOutage() override {}

 private:
  EntryBoard* m_board;
  const ObjectCodec* m_codec;
};

// Keeps a directory of upstreams like the registrations in the store.
class UpstreamFeed : public FeedEvents {
 public:
  UpstreamFeed(UpstreamDirectory* directory, const ObjectCodec* codec,
               const Clock* clock, EventLog* log)
      : m_directory(directory), m_codec(codec), m_clock(clock), m_log(log) {}
  void OnList(const std::vector<FeedObject>& objects,
              uint64_t revision) override;
  void OnChange(const FeedObject& object) override;
  void OnOutage() override { m_directory->RecordOutage(m_clock->Now()); }

 private:
  // Nullopt, with a log line, for a registration that names nobody.
  std::optional<RegisteredUpstream> Decode(const FeedObject& object);

  UpstreamDirectory* m_directory;
  const ObjectCodec* m_codec;
  const Clock* m_clock;
  EventLog* m_log;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_GATEWAY_H_
