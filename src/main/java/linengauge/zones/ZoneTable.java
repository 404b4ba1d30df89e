package linengauge.zones;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import linengauge.consensus.MessageReader;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.StateMachine;

/**
 * The versioned table of zones, replicated by the council: every front that has applied the same
 * decisions has the same table. A change names the version that it is based on and is ignored for
 * any other, so of two concurrent changes one takes effect and the other has to be derived again.
 * An entry held by an operator changes only by operator commands.
 */
public final class ZoneTable implements StateMachine {
  /** Maximum number of zones; a zone without an entry has the state {@code NEAR}. */
  public static final int MAX_ZONES = 256;

  private enum Kind {
    CHANGE,
    HOLD,
    RELEASE
  }

  private final SortedMap<Integer, ZoneEntry> entries = new TreeMap<>();
  private long version;

  /** Increases with every effective change. */
  public long version() {
    return version;
  }

  public ZoneEntry entry(int zone) {
    return entries.getOrDefault(zone, ZoneEntry.DEFAULT);
  }

  /** All entries but those in the default state. */
  public SortedMap<Integer, ZoneEntry> entries() {
    return java.util.Collections.unmodifiableSortedMap(entries);
  }

  /** Whether every zone serves all of its own viewers. */
  public boolean isAllNear() {
    return entries.values().stream().allMatch(entry -> entry.state() == ZoneState.NEAR);
  }

  /* ---- decisions ---- */

  /** Encodes changes of several entries as one decision. */
  public static byte[] change(long baseVersion, Map<Integer, ZoneEntry> entries) {
    MessageWriter writer =
        new MessageWriter().num(Kind.CHANGE.ordinal()).num(baseVersion).num(entries.size());
    new TreeMap<>(entries)
        .forEach(
            (zone, entry) -> {
              writer.num(zone);
              entry.write(writer);
            });
    return writer.done();
  }

  /** Encodes an operator's hold: the entry stays as given until it is released. */
  public static byte[] hold(
      int zone, ZoneState state, double localShare, double remoteShare, String holdReason) {
    if (holdReason.isBlank()) {
      throw new IllegalArgumentException("operator hold without a reason");
    }
    MessageWriter writer = new MessageWriter().num(Kind.HOLD.ordinal()).num(zone);
    new ZoneEntry(state, localShare, remoteShare, 0, holdReason, 0).write(writer);
    return writer.done();
  }

  /**
   * Encodes the end of a hold, by an operator or because it has expired; the zone continues from
   * its current state.
   */
  public static byte[] release(int zone, String holdReason) {
    return new MessageWriter().num(Kind.RELEASE.ordinal()).num(zone).text(holdReason).done();
  }

  @Override
  public void apply(long index, long author, byte[] decision) {
    try {
      MessageReader reader = new MessageReader(decision);
      switch (reader.one(Kind.values())) {
        case CHANGE -> applyChange(reader);
        case HOLD -> {
          int zone = reader.num(0, MAX_ZONES - 1);
          ZoneEntry entry = ZoneEntry.read(reader);
          reader.end();
          putEntry(
              zone,
              new ZoneEntry(
                  entry.state(),
                  entry.localShare(),
                  entry.remoteShare(),
                  entry(zone).relapses(),
                  entry.holdReason(),
                  ++version));
        }
        default -> {
          int zone = reader.num(0, MAX_ZONES - 1);
          String holdReason = reader.text(1024);
          reader.end();
          ZoneEntry entry = entry(zone);
          if (!entry.holdReason().isEmpty() && entry.holdReason().equals(holdReason)) {
            putEntry(
                zone,
                new ZoneEntry(
                    entry.state(),
                    entry.localShare(),
                    entry.remoteShare(),
                    entry.relapses(),
                    "",
                    ++version));
          }
        }
      }
    } catch (IllegalArgumentException e) {
      return; // a malformed decision is ignored, in the same way on every front
    }
  }

  private void applyChange(MessageReader reader) {
    long baseVersion = reader.num();
    SortedMap<Integer, ZoneEntry> next = new TreeMap<>();
    for (int remaining = reader.num(0, MAX_ZONES); remaining > 0; remaining--) {
      int zone = reader.num(0, MAX_ZONES - 1);
      next.put(zone, ZoneEntry.read(reader));
    }
    reader.end();
    next.entrySet()
        .removeIf(
            change ->
                !entry(change.getKey()).holdReason().isEmpty()
                    || !entry(change.getKey()).state().mayBecome(change.getValue().state()));
    if (baseVersion != version || next.isEmpty()) {
      return;
    }
    version++;
    next.forEach(
        (zone, entry) -> {
          boolean isStateUnchanged = entry.state() == entry(zone).state();
          putEntry(
              zone,
              new ZoneEntry(
                  entry.state(),
                  entry.localShare(),
                  entry.remoteShare(),
                  entry.relapses(),
                  "",
                  isStateUnchanged ? entry(zone).stateSinceVersion() : version));
        });
  }

  private void putEntry(int zone, ZoneEntry entry) {
    if (entry.state() == ZoneState.NEAR && entry.relapses() == 0 && entry.holdReason().isEmpty()) {
      entries.remove(zone);
    } else {
      entries.put(zone, entry);
    }
  }

  @Override
  public byte[] whole() {
    MessageWriter writer = new MessageWriter().num(version).num(entries.size());
    entries.forEach(
        (zone, entry) -> {
          writer.num(zone);
          entry.write(writer);
        });
    return writer.done();
  }

  @Override
  public void restore(byte[] whole) {
    entries.clear();
    version = 0;
    if (whole.length > 0) {
      MessageReader reader = new MessageReader(whole);
      version = reader.num();
      for (int remaining = reader.num(0, MAX_ZONES); remaining > 0; remaining--) {
        int zone = reader.num(0, MAX_ZONES - 1);
        entries.put(zone, ZoneEntry.read(reader));
      }
      reader.end();
    }
  }
}
