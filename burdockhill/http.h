#ifndef BURDOCKHILL_HTTP_H_
#define BURDOCKHILL_HTTP_H_

// Module http: strict parsing and formatting of HTTP/1.1 messages, splitting of
// event streams, a server for callers and a connection pool for upstreams. They
// do their I/O through the interface Sockets of module transport. HttpServer
// and HttpClient offer them over TCP to the product's own interfaces.

#include "burdockhill/src/http/connection_pool.h"     // IWYU pragma: export
#include "burdockhill/src/http/held_end.h"            // IWYU pragma: export
#include "burdockhill/src/http/http_client.h"         // IWYU pragma: export
#include "burdockhill/src/http/http_server.h"         // IWYU pragma: export
#include "burdockhill/src/http/message.h"             // IWYU pragma: export
#include "burdockhill/src/http/message_reader.h"      // IWYU pragma: export
#include "burdockhill/src/http/message_syntax.h"      // IWYU pragma: export
#include "burdockhill/src/http/response_observer.h"   // IWYU pragma: export
#include "burdockhill/src/http/server.h"              // IWYU pragma: export
#include "burdockhill/src/http/sse_event_splitter.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_HTTP_H_
