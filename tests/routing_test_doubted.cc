// Module routing: registrations whose process may have ended unnoticed.

#include <CppUTest/TestHarness.h>

#include <string>

#include "burdockhill/routing.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

RegisteredUpstream Registration(uint64_t revision) {
  RegisteredUpstream upstream;
  upstream.name = UpstreamName("u");
  upstream.service = ServiceName("s");
  upstream.address = "10.0.0.1:80";
  upstream.version = SoftwareVersion("v1");
  upstream.revision = revision;
  return upstream;
}

}  // namespace

TEST_GROUP(DoubtedRegistrations) {
  void setup() override { m_directory.ApplyUpdate(Registration(1)); }
  std::string Version() const {
    return m_directory.Find(UpstreamName("u"))->version.Value();
  }

  UpstreamDirectory m_directory;
  UpstreamName m_name{"u"};
};

TEST(DoubtedRegistrations, TheVersionIsUnknownUntilItIsConfirmed) {
  const uint64_t before = m_directory.Version();
  m_directory.Doubt(m_name);
  m_directory.Doubt(m_name);
  CHECK(m_directory.Version() > before);
  STRCMP_EQUAL("", Version().c_str());
  CHECK_FALSE(FitsVersion(*m_directory.Find(m_name), SoftwareVersion("v1")));
  CHECK(FitsVersion(*m_directory.Find(m_name), std::nullopt));
  const uint64_t doubted = m_directory.Version();
  m_directory.Confirm(m_name);
  CHECK(m_directory.Version() > doubted);
  STRCMP_EQUAL("v1", Version().c_str());
  m_directory.Confirm(m_name);
  STRCMP_EQUAL("v1", Version().c_str());
}

TEST(DoubtedRegistrations, ARegistrationThatIsReadAgainIsCertain) {
  for (const uint64_t revision : {1, 2}) {
    m_directory.Doubt(m_name);
    RegisteredUpstream upstream = Registration(revision);
    upstream.version = SoftwareVersion("v" + std::to_string(revision));
    m_directory.ApplyUpdate(upstream);
    STRCMP_EQUAL(upstream.version.Value().c_str(), Version().c_str());
    m_directory.Confirm(m_name);
    STRCMP_EQUAL(upstream.version.Value().c_str(), Version().c_str());
  }
}

TEST(DoubtedRegistrations, AnOlderRevisionConfirmsNothing) {
  m_directory.ApplyUpdate(Registration(3));
  m_directory.Doubt(m_name);
  m_directory.ApplyUpdate(Registration(2));
  STRCMP_EQUAL("", Version().c_str());
}

TEST(DoubtedRegistrations, OneThatEndedIsNotConfirmed) {
  m_directory.Doubt(m_name);
  m_directory.ApplyRemoval(m_name, 2, TimePoint());
  m_directory.Confirm(m_name);
  m_directory.Doubt(m_name);
  POINTERS_EQUAL(nullptr, m_directory.Find(m_name));
  m_directory.ApplyUpdate(Registration(3));
  STRCMP_EQUAL("v1", Version().c_str());
}
