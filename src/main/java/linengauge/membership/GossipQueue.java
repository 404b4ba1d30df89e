package linengauge.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What is to be sent on, one piece a member, each so many times; the least told goes first (SWIM,
 * 4.1). Bounded by the number of members; emptied by telling, and by later news of the same member.
 */
final class GossipQueue {
  private static final class QueuedUpdate {
    private final MemberUpdate update;
    private int timesSent;

    private QueuedUpdate(MemberUpdate update) {
      this.update = update;
    }
  }

  private final Map<Integer, QueuedUpdate> queued = new TreeMap<>();

  void add(MemberUpdate update) {
    queued.put(update.member().number(), new QueuedUpdate(update));
  }

  int size() {
    return queued.size();
  }

  /** What fits into so many bytes, each counted as told; those told so often leave. */
  List<MemberUpdate> take(int maxBytes, int maxTransmissions) {
    List<QueuedUpdate> all = new ArrayList<>(queued.values());
    all.sort(Comparator.comparingInt(queuedUpdate -> queuedUpdate.timesSent));
    List<MemberUpdate> taken = new ArrayList<>();
    int remaining = maxBytes;
    for (QueuedUpdate queuedUpdate : all) {
      int size = Datagram.encodedSize(queuedUpdate.update);
      if (size > remaining) {
        continue;
      }
      remaining -= size;
      taken.add(queuedUpdate.update);
      if (++queuedUpdate.timesSent >= maxTransmissions) {
        queued.remove(queuedUpdate.update.member().number());
      }
    }
    return taken;
  }
}
