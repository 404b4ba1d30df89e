package linengauge.zones;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import linengauge.consensus.MessageReader;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.StateMachine;

/**
 * The numbered table of places that decisions change: the same at every front after the same
 * decisions. A change names the number that it goes out from and does nothing to any other: two
 * that were thought of at once are one, and the second is thought of again. A row that an operator
 * holds changes by an operator's word alone.
 */
public final class ZoneTable implements StateMachine {
  /** Places at the most; one that no table names stands near. */
  public static final int MOST_PLACES = 256;

  private enum Kind {
    CHANGE,
    HOLD,
    RELEASE
  }

  private final SortedMap<Integer, ZoneEntry> rows = new TreeMap<>();
  private long number;

  /** Rises with every change that did something. */
  public long number() {
    return number;
  }

  public ZoneEntry row(int place) {
    return rows.getOrDefault(place, ZoneEntry.AT_REST);
  }

  /** All that do not simply stand near. */
  public SortedMap<Integer, ZoneEntry> rows() {
    return java.util.Collections.unmodifiableSortedMap(rows);
  }

  /** Nothing is on its way from one standing to another, and nobody leans on another. */
  public boolean isAtRest() {
    return rows.values().stream().allMatch(r -> r.standing() == ZoneState.NEAR);
  }

  /* ---- decisions ---- */

  /** All that changes at one moment, in one decision. */
  public static byte[] change(long from, Map<Integer, ZoneEntry> rows) {
    MessageWriter to = new MessageWriter().num(Kind.CHANGE.ordinal()).num(from).num(rows.size());
    new TreeMap<>(rows)
        .forEach(
            (place, row) -> {
              to.num(place);
              row.write(to);
            });
    return to.done();
  }

  /** An operator holds a place as it says there, until it is released. */
  public static byte[] hold(
      int place, ZoneState standing, double stays, double goes, String order) {
    if (order.isBlank()) {
      throw new IllegalArgumentException("an order without its author");
    }
    MessageWriter to = new MessageWriter().num(Kind.HOLD.ordinal()).num(place);
    new ZoneEntry(standing, stays, goes, 0, order, 0).write(to);
    return to.done();
  }

  /**
   * That order ends, by an operator or as its time is over; what the place stands in goes on from
   * there.
   */
  public static byte[] release(int place, String order) {
    return new MessageWriter().num(Kind.RELEASE.ordinal()).num(place).text(order).done();
  }

  @Override
  public void apply(long index, long author, byte[] decision) {
    try {
      MessageReader from = new MessageReader(decision);
      switch (from.one(Kind.values())) {
        case CHANGE -> changed(from);
        case HOLD -> {
          int place = from.num(0, MOST_PLACES - 1);
          ZoneEntry r = ZoneEntry.read(from);
          from.end();
          set(
              place,
              new ZoneEntry(
                  r.standing(), r.stays(), r.goes(), row(place).relapses(), r.order(), ++number));
        }
        default -> {
          int place = from.num(0, MOST_PLACES - 1);
          String order = from.text(1024);
          from.end();
          ZoneEntry r = row(place);
          if (!r.order().isEmpty() && r.order().equals(order)) {
            set(
                place,
                new ZoneEntry(r.standing(), r.stays(), r.goes(), r.relapses(), "", ++number));
          }
        }
      }
    } catch (IllegalArgumentException e) {
      return; // makes no sense, to every front alike
    }
  }

  private void changed(MessageReader from) {
    long base = from.num();
    SortedMap<Integer, ZoneEntry> next = new TreeMap<>();
    for (int n = from.num(0, MOST_PLACES); n > 0; n--) {
      int place = from.num(0, MOST_PLACES - 1);
      next.put(place, ZoneEntry.read(from));
    }
    from.end();
    next.entrySet()
        .removeIf(
            e ->
                !row(e.getKey()).order().isEmpty()
                    || !row(e.getKey()).standing().mayBecome(e.getValue().standing()));
    if (base != number || next.isEmpty()) {
      return;
    }
    number++;
    next.forEach(
        (place, r) -> {
          boolean asBefore = r.standing() == row(place).standing();
          set(
              place,
              new ZoneEntry(
                  r.standing(),
                  r.stays(),
                  r.goes(),
                  r.relapses(),
                  "",
                  asBefore ? row(place).since() : number));
        });
  }

  private void set(int place, ZoneEntry r) {
    if (r.standing() == ZoneState.NEAR && r.relapses() == 0 && r.order().isEmpty()) {
      rows.remove(place);
    } else {
      rows.put(place, r);
    }
  }

  @Override
  public byte[] whole() {
    MessageWriter to = new MessageWriter().num(number).num(rows.size());
    rows.forEach(
        (place, r) -> {
          to.num(place);
          r.write(to);
        });
    return to.done();
  }

  @Override
  public void restore(byte[] whole) {
    rows.clear();
    number = 0;
    if (whole.length > 0) {
      MessageReader from = new MessageReader(whole);
      number = from.num();
      for (int n = from.num(0, MOST_PLACES); n > 0; n--) {
        int place = from.num(0, MOST_PLACES - 1);
        rows.put(place, ZoneEntry.read(from));
      }
      from.end();
    }
  }
}
