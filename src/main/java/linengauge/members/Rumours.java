package linengauge.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What is to be sent on, one piece a member, each so many times; the least told goes first (SWIM,
 * 4.1). Bounded by the number of members; emptied by telling, and by later news of the same member.
 */
final class Rumours {
  private static final class Rumour {
    private final News news;
    private int told;

    private Rumour(News news) {
      this.news = news;
    }
  }

  private final Map<Integer, Rumour> rumours = new TreeMap<>();

  void add(News news) {
    rumours.put(news.member().number(), new Rumour(news));
  }

  int size() {
    return rumours.size();
  }

  /** What fits into so many bytes, each counted as told; those told so often leave. */
  List<News> take(int room, int times) {
    List<Rumour> all = new ArrayList<>(rumours.values());
    all.sort(Comparator.comparingInt(r -> r.told));
    List<News> out = new ArrayList<>();
    int left = room;
    for (Rumour r : all) {
      int size = Words.size(r.news);
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
