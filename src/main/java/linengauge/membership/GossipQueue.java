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
  List<MemberUpdate> take(int room, int times) {
    List<QueuedUpdate> all = new ArrayList<>(queued.values());
    all.sort(Comparator.comparingInt(r -> r.timesSent));
    List<MemberUpdate> out = new ArrayList<>();
    int left = room;
    for (QueuedUpdate r : all) {
      int size = Datagram.encodedSize(r.update);
      if (size > left) {
        continue;
      }
      left -= size;
      out.add(r.update);
      if (++r.timesSent >= times) {
        queued.remove(r.update.member().number());
      }
    }
    return out;
  }
}
