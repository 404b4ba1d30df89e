package linengauge.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/** Who votes, and who is being brought up to vote, by front number. */
public record Voters(SortedMap<Integer, Chair> chairs) {
  /** Voters and those brought up, at the most. */
  public static final int MOST = 15;

  private static final int MOST_ADDRESS = 64;

  /**
   * One place.
   *
   * @param store that speaks for the number: a front whose folder was emptied has another and is
   *     not heard in this place
   * @param address where it is reached, host:port in numbers
   * @param votes false: it is sent everything and counts for nothing yet (Ongaro 2014, 4.2.1)
   */
  public record Chair(long store, String address, boolean votes) {}

  public static final Voters NONE = new Voters(new TreeMap<>());

  public Voters {
    chairs = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(chairs));
    if (chairs.size() > MOST) {
      throw new IllegalArgumentException(chairs.size() + " places");
    }
  }

  public boolean votes(int number) {
    Chair c = chairs.get(number);
    return c != null && c.votes();
  }

  /** That store speaks for that number. */
  public boolean holds(int number, long store) {
    Chair c = chairs.get(number);
    return c != null && c.store() == store;
  }

  public List<Integer> voting() {
    List<Integer> all = new ArrayList<>();
    chairs.forEach(
        (n, c) -> {
          if (c.votes()) {
            all.add(n);
          }
        });
    return all;
  }

  /** More than half of those who vote are such. */
  public boolean most(IntPredicate such) {
    List<Integer> all = voting();
    return !all.isEmpty() && all.stream().filter(such::test).count() * 2 > all.size();
  }

  public Voters with(int number, Chair chair) {
    SortedMap<Integer, Chair> next = new TreeMap<>(chairs);
    next.put(number, chair);
    return new Voters(next);
  }

  public Voters without(int number) {
    SortedMap<Integer, Chair> next = new TreeMap<>(chairs);
    next.remove(number);
    return new Voters(next);
  }

  /**
   * No two majorities, one of each, are apart: one voter more, one less, or the same ones (Ongaro
   * 2014, 4.1).
   */
  boolean isOneStepFrom(Voters before) {
    int differ = 0;
    for (Map.Entry<Integer, Chair> c : chairs.entrySet()) {
      Chair was = before.chairs.get(c.getKey());
      boolean votedSo = was != null && was.votes() && was.store() == c.getValue().store();
      differ += c.getValue().votes() && !votedSo ? 1 : 0;
    }
    for (Map.Entry<Integer, Chair> c : before.chairs.entrySet()) {
      Chair is = chairs.get(c.getKey());
      boolean votesSo = is != null && is.votes() && is.store() == c.getValue().store();
      differ += c.getValue().votes() && !votesSo ? 1 : 0;
    }
    return differ <= 1;
  }

  public byte[] bytes() {
    MessageWriter to = new MessageWriter();
    write(to);
    return to.done();
  }

  void write(MessageWriter to) {
    to.num(chairs.size());
    chairs.forEach((n, c) -> to.num(n).num(c.store()).text(c.address()).flag(c.votes()));
  }

  public static Voters of(byte[] bytes) {
    MessageReader from = new MessageReader(bytes);
    Voters v = read(from);
    from.end();
    return v;
  }

  static Voters read(MessageReader from) {
    SortedMap<Integer, Chair> all = new TreeMap<>();
    for (int n = from.num(0, MOST); n > 0; n--) {
      all.put(from.num(0, 0xffff), new Chair(from.num(), from.text(MOST_ADDRESS), from.flag()));
    }
    return new Voters(all);
  }
}
