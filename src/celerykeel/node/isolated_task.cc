#include "celerykeel/node/isolated_task.h"

#include <utility>  // for std::move

#include "celerykeel/node/node.h"  // for Node

namespace celerykeel {

void SpawnIsolated(Node& node,
                   std::string_view kind,
                   Task<> task,
                   std::function<void()> clean_up) {
  Spawn(node.io, std::move(task),
        [&node, kind, done = std::move(clean_up)](std::string_view reason) {
          Count(node.metrics.exceptions, "in", kind);
          WriteLog(node.log, LogLevel::kUnusual, "unexpected exception",
                   {{"in", kind}, {"reason", reason}});
          if (done) {
            done();
          }
        });
}

}  // namespace celerykeel
