package linengauge.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Outside;
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
  public record ListedBox(
      long id,
      String address,
      double weight,
      int cell,
      int kind,
      State state,
      int building,
      Moment startedAt) {}

  /** One media box: the module's line to it and what the carrier needs to reach it. */
  public static final class Entry implements Outside.Line {
    private final long id;
    private final Consumer<Entry> prober;
    private Policy.MediaBox mediaBox;
    private State state = State.GONE;
    private String address;
    private boolean kept;
    private ListedBox row;

    /** When the box itself says that it started; later than the list's word where that is late. */
    private Moment startedTold = Moment.DISTANT_PAST;

    /**
     * How often it was heard to have started anew, or lost from sight: what was chosen before is
     * chosen again.
     */
    private int incarnation;

    private Entry(long id, Consumer<Entry> prober) {
      this.id = id;
      this.prober = prober;
    }

    @Override
    public long id() {
      return id;
    }

    public Policy.MediaBox mediaBox() {
      return mediaBox;
    }

    public String address() {
      return address;
    }

    public State state() {
      return state;
    }

    int incarnation() {
      return incarnation;
    }

    /** It may have started anew. */
    void contactLost() {
      incarnation++;
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
  public Entry getOrAdd(long id) {
    return entries.computeIfAbsent(
        id,
        n -> {
          Entry e = new Entry(n, prober);
          e.mediaBox = policy.box(e);
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
  public void apply(boolean whole, List<ListedBox> rows) {
    Set<Long> rest = new HashSet<>();
    for (ListedBox row : rows) {
      rest.add(row.id());
      Entry e = getOrAdd(row.id());
      put(e, row);
    }
    if (whole) {
      for (Entry e : entries.values()) {
        if (e.kept && !rest.contains(e.id)) {
          go(e);
        }
      }
    }
    leaving.values().removeIf(e -> e.kept || e.mediaBox.forgotten() && entries.remove(e.id, e));
  }

  private void put(Entry e, ListedBox row) {
    e.address = row.address() == null ? e.address : row.address();
    e.incarnation +=
        e.row != null && e.row.startedAt().orLater(e.startedTold).before(row.startedAt()) ? 1 : 0;
    switch (row.state()) {
      case SERVING ->
          e.mediaBox.serving(
              row.weight(),
              row.cell(),
              row.kind(),
              row.building(),
              row.startedAt().orLater(e.startedTold));
      case DRAINING -> e.mediaBox.draining();
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
  void startReported(Entry e, Moment at, Span slack) {
    Moment known = e.row == null ? e.startedTold : e.row.startedAt().orLater(e.startedTold);
    if (known.plus(slack).before(at)) {
      e.startedTold = at;
      e.incarnation++;
      if (e.state == State.SERVING) {
        put(e, e.row);
      }
    }
  }

  private void go(Entry e) {
    e.state = State.GONE;
    e.kept = false;
    e.mediaBox.gone();
    leaving.put(e.id, e);
  }
}
