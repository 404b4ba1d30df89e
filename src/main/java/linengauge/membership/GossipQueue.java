package linengauge.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Updates waiting to be disseminated, at most one per member. Each is sent a limited number of
 * times, those sent least often first (SWIM, 4.1). The size is bounded by the number of members; an
 * update is dropped when it has been sent often enough or a later update of the same member
 * replaces it.
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

  /**
   * Takes updates that fit into {@code maxBytes} and counts each as sent once. An update sent
   * {@code maxTransmissions} times leaves the queue.
   */
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
