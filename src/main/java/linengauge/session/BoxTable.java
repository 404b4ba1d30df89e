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
 * The media boxes known to this front, by id: what discovery last reported of each, and the
 * module's handle. A box is removed once discovery no longer lists it and the module no longer
 * needs it ({@link Policy.MediaBox#isDiscardable}).
 */
public final class BoxTable {
  /** The state of a box in discovery. GONE: removed, or no longer named by a full list. */
  public enum State {
    SERVING,
    DRAINING,
    GONE
  }

  /**
   * One box as discovery lists it. The address is null where the box is not reached through a
   * {@link Transport}.
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

  /**
   * One media box: the port through which the module probes it, and what the transport needs to
   * reach it.
   */
  public static final class Entry implements Environment.BoxPort {
    private final long id;
    private final Consumer<Entry> prober;
    private Policy.MediaBox mediaBox;
    private State state = State.GONE;
    private String address;
    private boolean listed;

    /** The address is another box's now, which is newer there. */
    private boolean replaced;

    /** The box that had the address before, if the list has named both; else {@link #NO_BOX}. */
    private long predecessorId = NO_BOX;

    private ListedBox listing;

    /**
     * The start time that the box itself reported; later than the listed one while discovery is out
     * of date.
     */
    private Moment reportedStart = Moment.DISTANT_PAST;

    /**
     * Counts the restarts that were reported, and the losses of contact after which the box may
     * have restarted. A choice of box made under an earlier number is made again.
     */
    private int incarnation;

    /** Viewings that were handed over as playing here and of which the box has reported nothing. */
    private int unverifiedViewings;

    /** The box has reported the rung of a viewing that was handed over, as it does for each. */
    private boolean reportsHandOvers;

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

    /** Whether the box is gone because the list names another one at its address. */
    public boolean isReplaced() {
      return replaced;
    }

    @Override
    public long predecessorId() {
      return predecessorId;
    }

    /** When the box's process started: the latest of the times listed and reported so far. */
    public Moment startedAt() {
      return listing == null ? reportedStart : listing.startedAt().max(reportedStart);
    }

    int incarnation() {
      return incarnation;
    }

    boolean reportsHandOvers() {
      return reportsHandOvers;
    }

    void rungOfHandOverReported() {
      reportsHandOvers = true;
    }

    int unverifiedViewings() {
      return unverifiedViewings;
    }

    void unverifiedViewingAdded() {
      unverifiedViewings++;
    }

    /** One of them has ended, or the box has reported on it. */
    void unverifiedViewingEnded() {
      unverifiedViewings--;
    }

    /** Contact with the box is lost, so it may have restarted. */
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

  /** The listed box at each address. A process that listens there proves nothing about others. */
  private final Map<String, Entry> byAddress = new HashMap<>();

  /**
   * Boxes that are not listed: they still held viewings when they left discovery, or a viewing
   * named them before discovery did. An update removes those that may be discarded by then.
   */
  private final Map<Long, Entry> unlisted = new HashMap<>();

  public BoxTable(Policy policy, Consumer<Entry> prober) {
    this.policy = policy;
    this.prober = prober;
  }

  /** The box of that id, or null where it is not known. */
  public Entry get(long id) {
    return entries.get(id);
  }

  /** The box of that id; it is added where a viewing names it before discovery does. */
  public Entry getOrAdd(long id) {
    return entries.computeIfAbsent(
        id,
        newId -> {
          Entry entry = new Entry(newId, prober);
          entry.mediaBox = policy.createBox(entry);
          unlisted.put(newId, entry);
          return entry;
        });
  }

  public int size() {
    return entries.size();
  }

  /** The known boxes, in the order in which they were added. */
  public Iterable<Entry> all() {
    return entries.values();
  }

  /** Applies changes or a full list. Boxes that a full list does not name are gone. */
  public void apply(boolean full, List<ListedBox> listings) {
    Set<Long> listedIds = new HashSet<>();
    for (ListedBox listing : listings) {
      listedIds.add(listing.id());
      Entry entry = getOrAdd(listing.id());
      update(entry, listing);
    }
    if (full) {
      for (Entry entry : entries.values()) {
        if (entry.listed && !listedIds.contains(entry.id)) {
          remove(entry);
        }
      }
    }
    unlisted
        .values()
        .removeIf(
            entry ->
                entry.listed || entry.mediaBox.isDiscardable() && entries.remove(entry.id, entry));
  }

  private void update(Entry entry, ListedBox listing) {
    if (listing.state() != State.GONE && listing.address() != null) {
      if (!takeAddress(entry, listing)) {
        remove(entry);
        entry.replaced = true;
        return;
      }
      entry.replaced = false;
    }
    entry.incarnation +=
        entry.listing != null && entry.startedAt().isBefore(listing.startedAt()) ? 1 : 0;
    switch (listing.state()) {
      case SERVING ->
          entry.mediaBox.markServing(
              listing.weight(),
              listing.cell(),
              listing.kind(),
              listing.building(),
              listing.startedAt().max(entry.reportedStart));
      case DRAINING -> entry.mediaBox.markDraining();
      case GONE -> {
        remove(entry);
        return;
      }
    }
    entry.state = listing.state();
    entry.listing = listing;
    entry.listed = true;
    unlisted.remove(entry.id);
  }

  /**
   * A box has reported when it started. Without this, a box that restarted meanwhile would pass as
   * warm while discovery is out of date. Moments that differ by no more than the tolerance are the
   * same start, reported with a little noise.
   */
  void startReported(Entry entry, Moment startedAt, Span tolerance) {
    if (entry.startedAt().plus(tolerance).isBefore(startedAt)) {
      entry.reportedStart = startedAt;
      entry.incarnation++;
      if (entry.state == State.SERVING) {
        update(entry, entry.listing);
      }
    }
  }

  /**
   * Records that the box stands at the listed address. The list may name a new box there before it
   * reports that the earlier one has gone, and repeat the earlier one later. Of two boxes with one
   * address the one that started later is there, and of two that started at the same time the one
   * that came there later; false if that is another box.
   */
  private boolean takeAddress(Entry entry, ListedBox listing) {
    Entry holder = byAddress.get(listing.address());
    if (holder != null && holder != entry) {
      int order = listing.startedAt().compareTo(holder.startedAt());
      boolean isRepeated = entry.replaced && listing.address().equals(entry.address);
      if (order < 0 || order == 0 && isRepeated) {
        entry.address = listing.address();
        return false;
      }
      remove(holder);
      holder.replaced = true;
      entry.predecessorId = holder.id;
    }
    if (entry.address != null) {
      byAddress.remove(entry.address, entry);
    }
    entry.address = listing.address();
    byAddress.put(entry.address, entry);
    return true;
  }

  private void remove(Entry entry) {
    byAddress.remove(entry.address, entry);
    entry.state = State.GONE;
    entry.listed = false;
    entry.mediaBox.markGone();
    unlisted.put(entry.id, entry);
  }
}
