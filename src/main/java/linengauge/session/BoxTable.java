package linengauge.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import linengauge.Environment;
import linengauge.Moment;
import linengauge.Policy;
import linengauge.Span;

/**
 * The box list as this front last heard it: ids to the module's handles. A box leaves once the list
 * no longer names it and no viewing is held there.
 */
public final class BoxTable {
  /** What the list says of a box; GONE: removed, or no longer named by a whole list. */
  public enum State {
    SERVING,
    DRAINING,
    GONE
  }

  /**
   * One line of the list. The address is null where something else than a carrier reaches the box.
   */
  public record Row(
      long id,
      String address,
      double weight,
      int cell,
      int kind,
      State state,
      int building,
      Moment startedAt) {}

  /** One media box: the module's line to it and what the carrier needs to reach it. */
  public static final class Entry implements Environment.BoxPort {
    private final long id;
    private final Consumer<Entry> prober;
    private Policy.MediaBox handle;
    private State state = State.GONE;
    private String address;
    private boolean kept;
    private Row row;

    /** When the box itself says that it started; later than the list's word where that is late. */
    private Moment startedTold = Moment.DISTANT_PAST;

    /**
     * How often it was heard to have started anew, or lost from sight: what was chosen before is
     * chosen again.
     */
    private int lives;

    private Entry(long id, Consumer<Entry> prober) {
      this.id = id;
      this.prober = prober;
    }

    @Override
    public long id() {
      return id;
    }

    public Policy.MediaBox handle() {
      return handle;
    }

    public String address() {
      return address;
    }

    public State state() {
      return state;
    }

    int lives() {
      return lives;
    }

    /** It may have started anew. */
    void lostSight() {
      lives++;
    }

    @Override
    public void probe() {
      prober.accept(this);
    }

    @Override
    public String toString() {
      return "box " + id;
    }
  }

  private final Policy policy;
  private final Consumer<Entry> prober;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /**
   * Boxes no longer listed that still held viewings when they left; the next list empties what has
   * ended.
   */
  private final Map<Long, Entry> leaving = new HashMap<>();

  public BoxTable(Policy policy, Consumer<Entry> prober) {
    this.policy = policy;
    this.prober = prober;
  }

  /** The box of that id, or null where none is known. */
  public Entry get(long id) {
    return entries.get(id);
  }

  /** The box of that id, made known where a viewing names it before the list does. */
  public Entry named(long id) {
    return entries.computeIfAbsent(
        id,
        n -> {
          Entry e = new Entry(n, prober);
          e.handle = policy.createBox(e);
          leaving.put(n, e);
          return e;
        });
  }

  public int size() {
    return entries.size();
  }

  /** The boxes known, in the order in which they were first heard of. */
  public Iterable<Entry> all() {
    return entries.values();
  }

  /** Applies changes, or a whole list: what that does not name is gone. */
  public void apply(boolean whole, List<Row> rows) {
    Set<Long> rest = new HashSet<>();
    for (Row row : rows) {
      rest.add(row.id());
      Entry e = named(row.id());
      put(e, row);
    }
    if (whole) {
      for (Entry e : entries.values()) {
        if (e.kept && !rest.contains(e.id)) {
          go(e);
        }
      }
    }
    leaving.values().removeIf(e -> e.kept || e.handle.isDiscardable() && entries.remove(e.id, e));
  }

  private void put(Entry e, Row row) {
    e.address = row.address() == null ? e.address : row.address();
    e.lives +=
        e.row != null && e.row.startedAt().max(e.startedTold).isBefore(row.startedAt()) ? 1 : 0;
    switch (row.state()) {
      case SERVING ->
          e.handle.markServing(
              row.weight(),
              row.cell(),
              row.kind(),
              row.building(),
              row.startedAt().max(e.startedTold));
      case DRAINING -> e.handle.markDraining();
      case GONE -> {
        go(e);
        return;
      }
    }
    e.state = row.state();
    e.row = row;
    e.kept = true;
    leaving.remove(e.id);
  }

  /**
   * A box has told when it started. Guards against a list that is late: a box that came back
   * meanwhile would be taken for warm. Moments that differ by less than the slack are the same
   * start, told with a little noise.
   */
  void started(Entry e, Moment at, Span slack) {
    Moment known = e.row == null ? e.startedTold : e.row.startedAt().max(e.startedTold);
    if (known.plus(slack).isBefore(at)) {
      e.startedTold = at;
      e.lives++;
      if (e.state == State.SERVING) {
        put(e, e.row);
      }
    }
  }

  private void go(Entry e) {
    e.state = State.GONE;
    e.kept = false;
    e.handle.markGone();
    leaving.put(e.id, e);
  }
}
