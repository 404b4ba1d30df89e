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
    private final MemberUpdate news;
    private int told;

    private QueuedUpdate(MemberUpdate news) {
      this.news = news;
    }
  }

  private final Map<Integer, QueuedUpdate> rumours = new TreeMap<>();

  void add(MemberUpdate news) {
    rumours.put(news.member().number(), new QueuedUpdate(news));
  }

  int size() {
    return rumours.size();
  }

  /** What fits into so many bytes, each counted as told; those told so often leave. */
  List<MemberUpdate> take(int room, int times) {
    List<QueuedUpdate> all = new ArrayList<>(rumours.values());
    all.sort(Comparator.comparingInt(r -> r.told));
    List<MemberUpdate> out = new ArrayList<>();
    int left = room;
    for (QueuedUpdate r : all) {
      int size = Datagram.size(r.news);
      if (size > left) {
        continue;
      }
      left -= size;
      out.add(r.news);
      if (++r.told >= times) {
        rumours.remove(r.news.member().number());
      }
    }
    return out;
  }
}
